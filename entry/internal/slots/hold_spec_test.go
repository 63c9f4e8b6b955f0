package slots_test

import (
	"context"
	"time"

	"chivepost/entry/internal/slots"
	"chivepost/share/hosts"
	"chivepost/share/target"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// takeSlot waits until the node has a slot of target 0 and takes it.
func takeSlot(n *node) *slots.Hold {
	GinkgoHelper()
	n.slots.SetWaiting("pool0", 1)
	defer n.slots.SetWaiting("pool0", 0)
	for range 100 {
		if h, ok := n.slots.Take("t0"); ok {
			return h
		}
		time.Sleep(10 * time.Millisecond)
	}
	Fail("no slot within a second")
	return nil
}

var _ = Describe("a slot in use", func() {
	// Guards against a call sent by a host that was paused or has lost its slot.
	DescribeTable("is refused immediately before the send", func(fault func(f *fleet, n *node), want error) {
		inFleet(3, 1, []int{8}, 4*time.Second, func(f *fleet) {
			n := f.nodes[without(f.names(), f.homeOfTarget0())[0]]
			h := takeSlot(n)
			n.slots.SetWaiting("pool0", 2) // so that the node holds free slots too
			time.Sleep(100 * time.Millisecond)
			Expect(h.Check()).To(Succeed())
			Expect(n.slots.View("pool0")[0].Free).To(Equal(2))
			fault(f, n)
			Expect(n.slots.View("pool0")[0].Free).To(BeZero())
			Expect(h.Check()).To(MatchError(want))
			_, ok := n.slots.Take("t0")
			Expect(ok).To(BeFalse(), "another slot was taken")
			h.Done(target.Result{Err: want}, 0)
		})
	},
		Entry("when the lease has expired", func(f *fleet, n *node) {
			for _, other := range f.names() {
				f.disconnect(n.name, other)
				f.nodes[other].pause()
			}
			time.Sleep(2100 * time.Millisecond)
		}, slots.ErrExpired),
		Entry("when the home has revoked it", func(f *fleet, n *node) {
			n.slots.HandleRevoke(slots.Revoke{Target: "t0", Reason: target.StateCold, Fence: 1 << 40})
		}, slots.ErrRevoked),
		Entry("when its data centre was taken out", func(f *fleet, _ *node) {
			b, err := f.bundle.WithDataCentreOut("kolkata", true)
			Expect(err).NotTo(HaveOccurred())
			f.locked(func() { f.bundle = b })
		}, slots.ErrDataCentreOut),
		Entry("when the host list has the target as leaving", func(f *fleet, _ *node) {
			list := f.versions[0].list
			leaving := host("t0")
			leaving.Role, leaving.State = hosts.RoleTarget, hosts.StateLeaving
			list.Hosts = append(list.Hosts[:len(list.Hosts):len(list.Hosts)], leaving)
			list.Version = 2
			f.locked(func() { f.versions = append(f.versions, listVersion{at: time.Now(), list: list}) })
			time.Sleep(600 * time.Millisecond)
		}, slots.ErrTargetLeaving),
	)

	// Guards against use of a slot granted while warm after an answer has shown the
	// target cold.
	It("is refused once another answer has shown the target cold", func() {
		inFleet(3, 1, []int{8}, 4*time.Second, func(f *fleet) {
			n := f.nodes["n0"]
			n.slots.SetWaiting("pool0", 2)
			time.Sleep(100 * time.Millisecond)
			a, ok := n.slots.Take("t0")
			Expect(ok).To(BeTrue())
			b, ok := n.slots.Take("t0")
			Expect(ok).To(BeTrue())
			a.Done(target.Result{State: target.StateCold, Boot: "boot0", Execution: target.Executed}, callTime)
			Expect(b.Check()).To(MatchError(slots.ErrRevoked))
			b.Done(target.Result{Err: slots.ErrRevoked}, 0)
		})
	})

	// Guards against calls to a target after an answer, also a refusal, has said that it
	// leaves, while neither the host list nor its home says so.
	DescribeTable("is refused once another answer has shown the target leaving", func(res target.Result) {
		inFleetWithTwo(func(n *node, a, b *slots.Hold) {
			a.Done(res, callTime)
			Expect(b.Check()).To(MatchError(slots.ErrTargetLeaving))
			b.Done(target.Result{Err: slots.ErrTargetLeaving}, 0)
			_, ok := n.slots.Take("t0")
			Expect(ok).To(BeFalse(), "another slot was taken")
		})
	},
		Entry("with a result", target.Result{State: target.StateLeaving, Execution: target.Executed}),
		Entry("with a refusal", target.Result{State: target.StateLeaving, Err: &target.CallError{Reason: target.ReasonNotRun}}),
		Entry("with a failure", target.Result{State: target.StateLeaving, Execution: target.MayHaveExecuted, Err: &target.CallError{Reason: target.ReasonStatus}}),
	)

	// Guards against calls to a target within the time for which it wants none: those that
	// were granted a slot before, and later ones.
	It("is refused for as long as the target wants no calls", func() {
		inFleetWithTwo(func(n *node, a, b *slots.Hold) {
			a.Done(target.Result{Pause: 3 * time.Second, Err: &target.CallError{Reason: target.ReasonNotRun}}, callTime)
			Expect(b.Check()).To(MatchError(slots.ErrTargetBusy))
			b.Done(target.Result{Err: slots.ErrTargetBusy}, 0)
			for range 29 {
				_, ok := n.slots.Take("t0")
				Expect(ok).To(BeFalse(), "a slot was taken within the pause")
				Expect(n.slots.View("pool0")[0].Free).To(BeZero())
				time.Sleep(100 * time.Millisecond)
			}
			changed := n.slots.Changed()
			time.Sleep(200 * time.Millisecond)
			Expect(changed).To(BeClosed(), "calls that wait aren't told of the end of the pause")
			h := takeSlot(n)
			Expect(h.Check()).To(Succeed())
			h.Done(target.Result{Execution: target.Executed}, callTime)
		})
	})
})

// inFleetWithTwo runs f with a node that holds two slots of target 0.
func inFleetWithTwo(f func(n *node, a, b *slots.Hold)) {
	inFleet(3, 1, []int{8}, 4*time.Second, func(fl *fleet) {
		n := fl.nodes["n0"]
		n.slots.SetWaiting("pool0", 2)
		time.Sleep(100 * time.Millisecond)
		a, ok := n.slots.Take("t0")
		Expect(ok).To(BeTrue())
		b, ok := n.slots.Take("t0")
		Expect(ok).To(BeTrue())
		f(n, a, b)
	})
}

// Guards against idle slots that are kept when only the load report shows the
// target cold.
var _ = It("loses idle slots when the load report says cold", func() {
	inFleet(3, 1, []int{8}, 4*time.Second, func(f *fleet) {
		n := f.nodes["n0"]
		n.slots.SetWaiting("pool0", 8)
		time.Sleep(500 * time.Millisecond)
		Expect(n.slots.View("pool0")[0].Limit).To(Equal(8))
		f.setState(0, target.StateCold, "boot0")
		time.Sleep(800 * time.Millisecond)
		Expect(n.slots.View("pool0")[0].Limit).To(BeNumerically("<=", 1))
	})
})

// homeOfTarget0 returns the name of the home of target 0.
func (f *fleet) homeOfTarget0() string { return f.nodes["n0"].slots.Targets()[0].Home }

// waitForSlot returns how long the node waits for a slot of target 0.
func waitForSlot(n *node) time.Duration {
	began := time.Now()
	n.slots.SetWaiting("pool0", 1)
	for time.Since(began) < time.Minute {
		if h, ok := n.slots.Take("t0"); ok {
			n.slots.SetWaiting("pool0", 0)
			h.Done(target.Result{Execution: target.Executed, State: target.StateCold, Boot: "boot0"}, callTime)
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(began)
}

// Guards against a slot granted again while a call of a killed holder is running.
var _ = It("counts a killed holder's slot until its call has ended", func() {
	inFleet(3, 1, []int{1}, 4*time.Second, func(f *fleet) {
		rest := without(f.names(), f.homeOfTarget0())
		Expect(takeSlot(f.nodes[rest[0]]).Check()).To(Succeed())
		f.kill(rest[0])
		Expect(waitForSlot(f.nodes[rest[1]])).To(BeNumerically(">", 6500*time.Millisecond), "lease, margin and attempt bound, less a renewal")
	})
})

var _ = Describe("a change of home", func() {
	other := func(f *fleet, home string) *node { return f.nodes[without(f.names(), home)[0]] }

	// Guards against cold slots granted while calls under grants of the previous home
	// are running.
	It("keeps cold slots back for the whole wait when the home was killed", func() {
		inFleet(4, 1, []int{8}, 0, func(f *fleet) {
			f.setState(0, target.StateCold, "boot0")
			time.Sleep(20 * time.Second)
			home := f.homeOfTarget0()
			n := other(f, home)
			Expect(waitForSlot(n)).To(BeNumerically("<", 50*time.Millisecond))
			time.Sleep(time.Second) // idle slots are returned
			f.kill(home)
			f.setHosts(f.names()...)
			Expect(waitForSlot(n)).To(BeNumerically("~", 12500*time.Millisecond, 600*time.Millisecond))
		})
	})

	// Guards against an unnecessary wait after a graceful shutdown of the home.
	It("has no wait when the home hands over", func() {
		inFleet(4, 1, []int{8}, 0, func(f *fleet) {
			f.setState(0, target.StateCold, "boot0")
			time.Sleep(20 * time.Second)
			home := f.homeOfTarget0()
			n := other(f, home)
			f.nodes[home].member.SetLeaving()
			f.nodes[home].slots.Leave(context.Background())
			time.Sleep(100 * time.Millisecond)
			Expect(f.homeOfTarget0()).NotTo(Equal(home))
			Expect(waitForSlot(n)).To(BeNumerically("<", 100*time.Millisecond))
		})
	})

	// Guards against a handover that counts fewer slots than were granted: with a
	// limit of one, the slot in use must prevent any other grant. At least one of the
	// two holders isn't the next home.
	DescribeTable("hands over the slots in use", func(holder int) {
		inFleet(4, 1, []int{1}, 20*time.Second, func(f *fleet) {
			home := f.homeOfTarget0()
			n := f.nodes[without(f.names(), home)[holder]]
			h := takeSlot(n)
			f.disconnect(n.name, home) // its renewals fail, so that only the handover reports the slot
			f.nodes[home].member.SetLeaving()
			f.nodes[home].slots.Leave(context.Background())
			for _, name := range f.names() {
				f.disconnect(n.name, name)
			}
			for _, name := range without(without(f.names(), home), n.name) {
				f.nodes[name].slots.SetWaiting("pool0", 1)
			}
			for range 50 {
				time.Sleep(100 * time.Millisecond)
				for _, name := range without(f.names(), n.name) {
					_, ok := f.nodes[name].slots.Take("t0")
					Expect(ok).To(BeFalse(), "%s has the slot too", name)
				}
			}
			h.Done(target.Result{Execution: target.Executed}, time.Second)
		})
	}, Entry("by one holder", 0), Entry("by another", 1))
})
