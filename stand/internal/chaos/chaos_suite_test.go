package chaos_test

import (
	"fmt"
	"testing"
	"time"

	"chivepost/share/hosts"
	"chivepost/stand/internal/chaos"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestChaos(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "chaos")
}

// deployment lists three data centres with three entry hosts and six targets each.
// base sets the ports, which differ from run to run.
func deployment(base int) []hosts.Host {
	var list []hosts.Host
	for _, dc := range []string{"thies", "kaolack", "ziguinchor"} {
		for i := range 3 {
			base++
			list = append(list, hosts.Host{
				Name: fmt.Sprintf("%s-entry-%d", dc, i+1), Address: fmt.Sprintf("127.0.0.1:%d", base),
				DataCentre: dc, Region: dc, Role: hosts.RoleEntry,
			})
		}
		for i := range 6 {
			base++
			list = append(list, hosts.Host{
				Name: fmt.Sprintf("%s-lorry_booking-%02d", dc, i+1), Address: fmt.Sprintf("127.0.0.1:%d", base),
				DataCentre: dc, Region: dc, Role: hosts.RoleTarget,
			})
		}
	}
	return list
}

func schedule(seed uint64, list []hosts.Host) []chaos.Step {
	steps, err := chaos.Plan(chaos.Options{Seed: seed, Duration: 3 * time.Minute, Tracks: 3, Hosts: list})
	Expect(err).NotTo(HaveOccurred())
	return steps
}

var _ = Describe("the schedule", func() {
	// Guards against a failure that its seed doesn't reproduce.
	It("depends on the seed, not on ports or the order of the list", func() {
		list := deployment(10000)
		reversed := deployment(20000)
		for i := range len(reversed) / 2 {
			reversed[i], reversed[len(reversed)-1-i] = reversed[len(reversed)-1-i], reversed[i]
		}
		a, b, other := schedule(7, list), schedule(7, reversed), schedule(8, list)
		Expect(b).To(HaveLen(len(a)))
		for i := range a {
			Expect(b[i].At).To(Equal(a[i].At))
			Expect(b[i].Action).To(Equal(a[i].Action))
			if a[i].Action != chaos.HostAdd { // Its argument contains the host's addresses.
				Expect(b[i].Args).To(Equal(a[i].Args))
			}
		}
		Expect(other).NotTo(Equal(a))
	})

	// Guards against a fault that is still in force at the end of a run, and against steps on
	// a host that another fault has killed or suspended.
	It("ends each fault within the duration and applies one fault at a time to a host", func() {
		ends := map[chaos.Action]chaos.Action{
			chaos.Kill: chaos.Start, chaos.Terminate: chaos.Start, chaos.Stop: chaos.Continue, chaos.TakeOut: chaos.BringBack,
		}
		for seed := range uint64(50) {
			open := map[string]chaos.Action{}
			for _, s := range schedule(seed, deployment(10000)) {
				Expect(s.At).To(BeNumerically("<=", 3*time.Minute))
				switch s.Action {
				case chaos.Kill, chaos.Terminate, chaos.Stop, chaos.TakeOut:
					Expect(open).NotTo(HaveKey(s.Args[0]), "seed %d: %v", seed, s)
					open[s.Args[0]] = ends[s.Action]
				case chaos.Start, chaos.Continue, chaos.BringBack:
					Expect(open).To(HaveKeyWithValue(s.Args[0], s.Action), "seed %d: %v", seed, s)
					delete(open, s.Args[0])
				}
			}
			Expect(open).To(BeEmpty(), "seed %d", seed)
		}
	})

	// Guards against a kind of fault that is never drawn.
	It("draws every action over a few seeds", func() {
		seen := map[chaos.Action]int{}
		for seed := range uint64(5) {
			for _, s := range schedule(seed, deployment(10000)) {
				seen[s.Action]++
			}
		}
		for _, a := range []chaos.Action{
			chaos.Kill, chaos.Start, chaos.Stop, chaos.Continue, chaos.Terminate, chaos.LogFaults, chaos.HostListFaults, chaos.HostAdd,
			chaos.HostRemove, chaos.HostState, chaos.TargetFaults, chaos.TakeOut, chaos.BringBack, chaos.PublishRace,
		} {
			Expect(seen).To(HaveKey(a))
		}
	})

	It("refuses a deployment without hosts", func() {
		_, err := chaos.Plan(chaos.Options{Seed: 1, Duration: time.Minute, Tracks: 3})
		Expect(err).To(MatchError(ContainSubstring("want entry hosts, targets and at least one track")))
	})
})
