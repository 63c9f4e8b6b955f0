package route_test

import (
	"fmt"
	"testing"
	"time"

	"chivepost/entry/internal/route"
	"chivepost/share/target"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestRoute(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "route")
}

func warm(name, dataCentre string, free, inUse int) route.Target {
	return route.Target{Name: name, DataCentre: dataCentre, Region: dataCentre[:1], State: target.StateWarm, Free: free, InUse: inUse, Limit: 8}
}

func withState(state target.State, t route.Target) route.Target { t.State = state; return t }

func policy(name string) route.Policy {
	p, err := route.New(name, route.Options{})
	Expect(err).NotTo(HaveOccurred())
	return p
}

// Data centres are named by region and number; the entry host is in a1.
var _ = DescribeTable("chivepost picks the nearest suitable target",
	func(wait time.Duration, exclude route.Set, want int, targets ...route.Target) {
		req := route.Request{Pool: "p", Prefix: 7, DataCentre: "a1", Region: "a", Wait: wait, Exclude: exclude}
		Expect(policy("").Pick(req, targets)).To(Equal(want))
	},
	Entry("the host's own data centre, to avoid traffic between data centres", time.Second, nil, 1, warm("w", "a2", 8, 0), warm("x", "a1", 1, 0), warm("y", "b1", 8, 0)),
	Entry("the host's region, to avoid billed traffic", time.Second, nil, 1, warm("x", "b1", 8, 0), warm("y", "a2", 1, 0)),
	Entry("no other region before the spill wait has passed", 50*time.Millisecond, nil, -1, warm("x", "a1", 0, 8), warm("y", "b1", 8, 0)),
	Entry("another region after the spill wait", 150*time.Millisecond, nil, 1, warm("x", "a1", 0, 8), warm("y", "b1", 8, 0)),
	Entry("no busy target of another region, so that regions don't exchange load", time.Second, nil, -1, warm("x", "a1", 0, 8), route.Target{Name: "y", Region: "b", State: target.StateWarm, Free: 1, Limit: 16}),
	Entry("another region at once if this region has no target", time.Duration(0), nil, 0, warm("y", "b1", 1, 7)),
	Entry("a warm target before a cold one, to avoid overload during a cold start", time.Duration(0), nil, 1, withState(target.StateCold, warm("x", "a1", 2, 0)), warm("y", "a2", 1, 7)),
	Entry("a cold target when nothing better is free", time.Duration(0), nil, 0, withState(target.StateCold, warm("x", "a1", 2, 0)), warm("y", "a2", 0, 8)),
	Entry("never a leaving target", time.Second, nil, -1, withState(target.StateLeaving, warm("x", "a1", 8, 0))),
	Entry("not the target that failed the call", time.Second, route.Set{"x"}, 1, warm("x", "a1", 8, 0), warm("y", "b1", 8, 0)),
	Entry("the target that failed the call if there is no other", time.Second, route.Set{"x"}, 0, warm("x", "a1", 8, 0)),
)

var _ = Describe("the preferred target of a prefix", func() {
	pool := func(n int) (targets []route.Target) {
		for i := range n {
			targets = append(targets, warm(fmt.Sprint("t", i), "a1", 8, 0))
		}
		return targets
	}
	pick := func(prefix uint64, targets []route.Target) string {
		i := policy("").Pick(route.Request{Prefix: prefix, DataCentre: "a1", Region: "a"}, targets)
		Expect(i).To(BeNumerically(">=", 0))
		return targets[i].Name
	}

	// Guards against recomputing the cached prefixes of the whole pool when one target
	// leaves.
	It("changes only when that target leaves", func() {
		targets := pool(10)
		used := map[string]bool{}
		for prefix := uint64(1); prefix <= 200; prefix++ {
			before := pick(prefix, targets)
			used[before] = true
			after := pick(prefix, targets[:9])
			if before != "t9" {
				Expect(after).To(Equal(before))
			}
		}
		Expect(used).To(HaveLen(10))
	})

	// Guards against a popular prefix that overloads its preferred target.
	It("is not used above 1.25 times the mean load", func() {
		targets := pool(4)
		preferred := pick(1, targets)
		for i := range targets {
			targets[i].InUse = 4
			if targets[i].Name == preferred {
				targets[i].InUse = 6
			}
		}
		Expect(pick(1, targets)).NotTo(Equal(preferred))
	})
})

var _ = Describe("the baseline policies", func() {
	targets := []route.Target{warm("a", "b1", 1, 7), withState(target.StateCold, warm("b", "a1", 8, 3)), warm("c", "a1", 0, 8)}

	// Guards against comparisons with a weakened baseline, which would spend turns on
	// full targets.
	It("round_robin cycles through free targets only", func() {
		p := policy(route.RoundRobin)
		var got []int
		for range 4 {
			got = append(got, p.Pick(route.Request{}, targets))
		}
		Expect(got).To(Equal([]int{0, 1, 0, 1}))
	})

	It("least_outstanding picks the target with the fewest calls in flight", func() {
		p := policy(route.LeastOutstanding)
		for range targets {
			Expect(p.Pick(route.Request{}, targets)).To(Equal(1))
		}
	})
})

// Guards against a choice that exceeds a limit, for random pools.
var _ = It("picks only free targets that aren't leaving, and untried ones first", func() {
	dataCentres := []string{"a1", "a2", "b1"}
	states := []target.State{target.StateWarm, target.StateCold, target.StateLeaving}
	rapid.Check(GinkgoT(), func(t *rapid.T) {
		targets := make([]route.Target, rapid.IntRange(0, 6).Draw(t, "n"))
		for i := range targets {
			targets[i] = warm(fmt.Sprint("t", i), rapid.SampledFrom(dataCentres).Draw(t, "place"), rapid.IntRange(-1, 4).Draw(t, "free"), rapid.IntRange(0, 8).Draw(t, "in_use"))
			targets[i].State = rapid.SampledFrom(states).Draw(t, "state")
		}
		req := route.Request{Prefix: rapid.Uint64().Draw(t, "prefix"), DataCentre: "a1", Region: "a", Exclude: route.Set{"t0"}, Wait: time.Second}
		i := policy("").Pick(req, targets)
		if i < 0 {
			return
		}
		Expect(targets[i].Free).To(BeNumerically(">", 0))
		Expect(targets[i].State).NotTo(Equal(target.StateLeaving))
		if i == 0 {
			for _, o := range targets[1:] {
				Expect(o.State).To(Equal(target.StateLeaving))
			}
		}
	})
})

// BenchmarkPick measures how the time of a decision grows with the number of targets,
// for a first call and for a retry. The budget is 20 us at 1,300 targets, without
// allocations.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{10, 130, 1300} {
		for name, exclude := range map[string]route.Set{"first": nil, "retry": {"target-1"}} {
			b.Run(fmt.Sprint(name, "/", n), func(b *testing.B) {
				targets := make([]route.Target, n)
				for i := range targets {
					targets[i] = warm(fmt.Sprint("target-", i), []string{"a1", "a2", "b1"}[i%3], i%3, i%8)
					targets[i].Prepare("a1", "a")
				}
				p, _ := route.New("", route.Options{})
				req := route.Request{DataCentre: "a1", Region: "a", Exclude: exclude}
				b.ReportAllocs()
				for b.Loop() {
					req.Prefix++
					p.Pick(req, targets)
				}
			})
		}
	}
}
