package member_test

import (
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"chivepost/entry/internal/member"
	"chivepost/share/hosts"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func names(all []hosts.Host) []string {
	var names []string
	for _, h := range all {
		names = append(names, h.Name)
	}
	return names
}

var three = []string{"a", "b", "c"}

// keyOf returns a group key whose home is the host called name.
func keyOf(c *member.Controller, name string) string {
	for i := range 1000 {
		key := fmt.Sprint("group", i)
		if h, _ := c.Home(key, "thies", "west"); h.Name == name {
			return key
		}
	}
	return ""
}

var _ = Describe("the view", func() {
	// Guards against grants in a view that is older than that of another host.
	It("is stale without both the host list and heartbeats of a majority", func() {
		inTestEnv(three, func(env *testEnv) {
			a := env.nodes["a"]
			Expect(a.IsFresh()).To(BeTrue())
			env.disconnect("a", "b")
			env.disconnect("a", "c")
			env.setListDown("a")
			time.Sleep(2 * time.Second)
			Expect(a.IsFresh()).To(BeTrue(), "2 s after the last read")
			time.Sleep(1600 * time.Millisecond)
			Expect(a.IsFresh()).To(BeFalse(), "3.6 s after the last read")
			Expect(a.HasMajority(3 * time.Second)).To(BeFalse())
		})
	})

	// Guards against homes that move when the host list is down for all hosts.
	It("stays fresh without the host list while a majority agrees", func() {
		inTestEnv(three, func(env *testEnv) {
			a := env.nodes["a"]
			key := keyOf(a, "a")
			a.HomeDuration(key, "thies", "west")
			env.setListDown(three...)
			env.disconnect("a", "c")
			time.Sleep(20 * time.Second)
			Expect(a.IsFresh()).To(BeTrue())
			duration, ok := a.HomeDuration(key, "thies", "west")
			Expect(ok).To(BeTrue())
			Expect(duration).To(BeNumerically(">=", 20*time.Second))
		})
	})

	// Guards against a host that keeps an old view as fresh because its peers answer.
	It("is stale without the host list when a peer has a higher version", func() {
		inTestEnv(three, func(env *testEnv) {
			env.setListDown("a")
			env.change(func(*hosts.List) {})
			time.Sleep(5 * time.Second)
			Expect(env.nodes["a"].IsFresh()).To(BeFalse())
			Expect(env.nodes["b"].IsFresh()).To(BeTrue())
		})
	})

	// Guards against a home duration that includes a time in which another host may
	// have been home.
	It("restarts the home duration after a break", func() {
		inTestEnv(three, func(env *testEnv) {
			a := env.nodes["a"]
			key := keyOf(a, "a")
			a.HomeDuration(key, "thies", "west")
			env.disconnect("a", "b")
			env.disconnect("a", "c")
			env.setListDown("a")
			time.Sleep(5 * time.Second)
			env.mu.Lock()
			clear(env.listDown)
			env.mu.Unlock()
			time.Sleep(time.Second)
			duration, ok := a.HomeDuration(key, "thies", "west")
			Expect(ok).To(BeTrue())
			Expect(duration).To(BeNumerically("<", time.Second))
		})
	})

	// Guards against a lagging copy of the list that replaces a newer one.
	It("never goes back to a lower version", func() {
		inTestEnv(three, func(env *testEnv) {
			env.change(func(l *hosts.List) { l.Version, l.Hosts = 0, nil })
			time.Sleep(time.Second)
			Expect(env.nodes["a"].ListVersion()).To(Equal(int64(1)))
			Expect(names(env.nodes["a"].Entries())).To(Equal(three))
		})
	})

	// Guards against calls to a target that was removed from the list.
	It("treats a target missing from a list with other targets as leaving", func() {
		inTestEnv(three, func(env *testEnv) {
			a := env.nodes["a"]
			Expect(a.TargetState("t")).To(BeEmpty())
			env.change(func(l *hosts.List) {
				l.Hosts = append(l.Hosts, hosts.Host{Name: "t", Role: hosts.RoleTarget, State: hosts.StateLive})
			})
			time.Sleep(time.Second)
			Expect(a.TargetState("t")).To(Equal(hosts.StateLive))
			Expect(a.TargetState("u")).To(Equal(hosts.StateLeaving))
		})
	})
})

var _ = Describe("a home", func() {
	// Guards against hosts that disagree on a home, and against homes outside the data
	// centre of their targets, which could fail while the targets run.
	It("is the same in all views, near its targets, and moves only if its host is removed", func() {
		inTestEnv(three, func(env *testEnv) {
			a, b := env.nodes["a"], env.nodes["b"]
			env.change(func(l *hosts.List) {
				l.Hosts = append(l.Hosts, entry("d", "kaolack", "south"), entry("e", "mbour", "west"))
			})
			time.Sleep(time.Second)
			moved := 0
			homes := map[string]string{}
			for i := range 300 {
				key := fmt.Sprint(i)
				h, _ := a.Home(key, "thies", "west")
				other, _ := b.Home(key, "thies", "west")
				Expect(other).To(Equal(h))
				Expect(h.DataCentre).To(Equal("thies"))
				homes[key] = h.Name
			}
			south, _ := a.Home("1", "nowhere", "south")
			Expect(south.Name).To(Equal("d"))
			anywhere, ok := a.Home("1", "nowhere", "nowhere")
			Expect(ok).To(BeTrue())
			Expect(anywhere.Name).NotTo(BeEmpty())
			env.change(func(l *hosts.List) {
				l.Hosts = slices.DeleteFunc(l.Hosts, func(h hosts.Host) bool { return h.Name == "c" })
			})
			time.Sleep(time.Second)
			for key, name := range homes {
				h, _ := a.Home(key, "thies", "west")
				if name != "c" {
					Expect(h.Name).To(Equal(name))
				} else {
					moved++
				}
			}
			Expect(moved).To(BeNumerically("~", 100, 40))
		})
	})

	// Guards against requests to a dead home, and against suspicion of a host that is
	// slow to start.
	It("gets no requests while suspected, but stays the home", func() {
		inTestEnv(three, func(env *testEnv) {
			a := env.nodes["a"]
			key := keyOf(a, "b")
			env.disconnect("a", "b")
			time.Sleep(5 * time.Second)
			_, ok := a.Home(key, "thies", "west")
			Expect(ok).To(BeTrue(), "within six intervals")
			time.Sleep(3 * time.Second)
			h, ok := a.Home(key, "thies", "west")
			Expect(ok).To(BeFalse(), "after six intervals")
			Expect(h.Name).To(Equal("b"))
			Expect(names(a.Entries())).To(ContainElement("b"))
			env.change(func(l *hosts.List) { l.Hosts = append(l.Hosts, entry("late", "mbour", "north")) })
			time.Sleep(9 * time.Second)
			_, ok = a.Home("1", "mbour", "north")
			Expect(ok).To(BeTrue(), "no heartbeat yet, within the start-up grace")
			time.Sleep(3 * time.Second)
			_, ok = a.Home("1", "mbour", "north")
			Expect(ok).To(BeFalse(), "no heartbeat within the start-up grace")
		})
	})

	// Guards against addresses of a host that is about to stop, and against a host
	// that stays excluded after it has restarted.
	It("is never a leaving host until that has restarted", func() {
		inTestEnv(three, func(env *testEnv) {
			a := env.nodes["a"]
			env.nodes["b"].SetLeaving()
			time.Sleep(10 * time.Millisecond)
			Expect(names(a.Entries())).To(Equal([]string{"a", "c"}))
			Expect(names(env.nodes["b"].Entries())).To(Equal([]string{"a", "c"}))
			Expect(names(a.Peers())).To(Equal([]string{"b", "c"}))
			a.HandleHeartbeat(member.Heartbeat{Host: "b", Incarnation: 2, State: member.StateServing, Interval: time.Second})
			Expect(names(a.Entries())).NotTo(ContainElement("b"), "a heartbeat from before the host was leaving")
			env.nodes["b"].Close()
			env.start("b", 9)
			time.Sleep(1100 * time.Millisecond)
			Expect(names(a.Entries())).To(Equal(three))
		})
	})

	// Guards against a host that restarted while unreachable and is home in its own
	// view, but stays excluded in the view of another.
	It("excludes a leaving host for a bounded time only", func() {
		inTestEnv(three, func(env *testEnv) {
			env.disconnect("a", "b")
			a := env.nodes["a"]
			a.HandleHeartbeat(member.Heartbeat{Host: "b", Incarnation: 2, State: member.StateLeaving, Interval: time.Second})
			time.Sleep(4900 * time.Millisecond)
			Expect(names(a.Entries())).NotTo(ContainElement("b"))
			time.Sleep(200 * time.Millisecond)
			Expect(names(a.Entries())).To(ContainElement("b"))
		})
	})
})

// Guards against peers that get no heartbeat in a large fleet, and against traffic
// that grows with the square of its size.
var _ = It("sends heartbeats to a few peers in turn above nine hosts", func() {
	var many []string
	for i := range 21 {
		many = append(many, fmt.Sprintf("h%02d", i))
	}
	inTestEnv(many, func(env *testEnv) {
		var received, wrong atomic.Int64
		env.nodes["h00"].OnHeartbeat(func(b member.Heartbeat) {
			received.Add(1)
			if b.Interval != 5*time.Second {
				wrong.Add(1)
			}
		})
		time.Sleep(20 * time.Second)
		Expect(wrong.Load()).To(BeZero(), "intervals that differ from the length of a cycle")
		// Four heartbeats a second are sent and as many received, each with an answer.
		Expect(received.Load()).To(BeNumerically("~", 160, 25))
		env.mu.Lock()
		defer env.mu.Unlock()
		for _, name := range many[1:] {
			Expect(env.sent[[2]string{"h00", name}]).To(BeNumerically("~", 4, 1), "to %s in four cycles", name)
		}
		Expect(env.nodes["h00"].Status().Detail.(member.Detail).Suspected).To(BeEmpty())
	})
})

// Guards against a large fleet that loses all homes when the host list is down, since
// a few heartbeats a second don't reach a majority in time.
var _ = It("reaches a majority of a large fleet when the host list is down", func() {
	var many []string
	for i := range 41 {
		many = append(many, fmt.Sprintf("h%02d", i))
	}
	inTestEnv(many, func(env *testEnv) {
		a := env.nodes["h00"]
		key := keyOf(a, "h00")
		a.HomeDuration(key, "thies", "west")
		Expect(a.HasMajority(3*time.Second)).To(BeFalse(), "while the list is read")
		a.RequireMajority(true)
		time.Sleep(100 * time.Millisecond)
		Expect(a.HasMajority(3 * time.Second)).To(BeTrue())
		a.RequireMajority(false)
		env.setListDown(many...)
		time.Sleep(20 * time.Second)
		duration, ok := a.HomeDuration(key, "thies", "west")
		Expect(ok).To(BeTrue())
		Expect(duration).To(BeNumerically(">=", 20*time.Second))
	})
})
