package slots

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"chivepost/share/bundle"
	"chivepost/share/hosts"
	"chivepost/share/target"
	"chivepost/share/units"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func warmReport(boot string, lag time.Duration) target.Load {
	return target.Load{State: target.StateWarm, Boot: boot, AsOf: units.Duration(lag)}
}

var _ = Describe("the condition of a target", func() {
	var (
		c   *condition
		now time.Time
	)
	after := func(d time.Duration) time.Time { now = now.Add(d); return now }
	BeforeEach(func() {
		now = time.Unix(1000, 0)
		c = &condition{pool: bundle.PoolDoc{Limit: 8, ColdLimit: 2}}
		c.report(warmReport("b1", 300*time.Millisecond), now)
	})

	// Guards against a target taken for warm on a report that is older than its cold start.
	It("is cold until reports have said warm for longer than their lag", func() {
		Expect(c.inForce()).To(Equal(2), "after one report")
		c.report(warmReport("b1", 300*time.Millisecond), after(200*time.Millisecond))
		Expect(c.inForce()).To(Equal(2))
		c.report(warmReport("b1", 300*time.Millisecond), after(200*time.Millisecond))
		Expect(c.inForce()).To(Equal(8))
		Expect(c.sign(target.StateCold, "b1", after(time.Second))).To(BeTrue())
		Expect(c.inForce()).To(Equal(2))
		c.report(warmReport("b1", 300*time.Millisecond), after(200*time.Millisecond))
		Expect(c.warmFrom.IsZero()).To(BeTrue(), "the report was taken before the sign")
	})

	// Guards against a late answer of an earlier boot that hides the present one,
	// and against being stuck with the wrong one.
	It("follows boot ids in spite of late answers", func() {
		c.report(warmReport("b1", 0), after(time.Second))
		Expect(c.phase).To(Equal(warm))
		Expect(c.sign(target.StateWarm, "b2", after(time.Second))).To(BeTrue(), "a new boot")
		Expect(c.sign(target.StateWarm, "b1", after(time.Millisecond))).To(BeFalse(), "a late answer")
		Expect(c.boot).To(Equal("b2"))
		c.report(warmReport("b1", 300*time.Millisecond), after(100*time.Millisecond))
		Expect(c.boot).To(Equal("b2"), "a report taken before the new boot")
		c.sign(target.StateWarm, "b0", after(time.Millisecond)) // from before this home knew the target
		c.report(warmReport("b2", 0), after(time.Second))
		Expect(c.boot).To(Equal("b2"))
		c.report(warmReport("b2", 0), after(time.Second))
		Expect(c.phase).To(Equal(opening))
	})

	// Guards against a limit that grows without evidence, or in spite of failures.
	It("opens by half a second on good calls only", func() {
		c.sign(target.StateCold, "b1", now)
		c.report(warmReport("b1", 0), after(time.Second))
		Expect(c.phase).To(Equal(opening))
		c.adapt(after(time.Second))
		Expect(c.inForce()).To(Equal(2), "without calls")
		c.calls(20, 0, 2000, after(time.Second))
		Expect(c.inForce()).To(Equal(3))
		c.calls(20, 1, 2000, after(time.Second))
		Expect(c.inForce()).To(Equal(3), "with a failure")
		c.calls(20, 0, 20000, after(time.Second))
		Expect(c.inForce()).To(BeNumerically("<", 3), "with slow calls")
	})

	// Guards against a limit that stays high while a target fails or slows down.
	It("lowers the warm limit on failures and latency and raises it step by step", func() {
		c.report(warmReport("b1", 0), after(time.Second))
		c.calls(100, 0, 10000, after(time.Second))
		Expect(c.inForce()).To(Equal(8))
		c.calls(50, 50, 5000, after(time.Second))
		Expect(c.inForce()).To(Equal(5))
		c.calls(100, 0, 50000, after(time.Second))
		Expect(c.inForce()).To(Equal(3))
		for range 20 {
			c.calls(0, 10, 0, after(time.Second))
		}
		Expect(c.inForce()).To(Equal(2), "never below the cold limit")
		c.calls(100, 0, 10000, after(time.Second))
		Expect(c.inForce()).To(Equal(3))
	})

	// Guards against a target that restarts while its load reports can't be read.
	It("is cold when reports stay away", func() {
		c.report(warmReport("b1", 0), after(time.Second))
		Expect(c.expire(after(2*time.Second), 3*time.Second)).To(BeFalse())
		Expect(c.expire(after(2*time.Second), 3*time.Second)).To(BeTrue())
		Expect(c.inForce()).To(Equal(2))
	})
})

// alone is a membership of one host that has been home since a time.
type alone struct {
	since time.Time
	stale bool
}

func (*alone) Home(string, string, string) (hosts.Host, bool) { return hosts.Host{Name: "h"}, true }

func (a *alone) HomeDuration(string, string, string) (time.Duration, bool) {
	return time.Since(a.since), !a.stale
}

func (a *alone) IsFresh() bool { return !a.stale }

func (*alone) TargetState(string) hosts.State { return hosts.StateLive }

func layoutOf(n, limit int) *layout {
	doc := bundle.Doc{Pools: []bundle.PoolDoc{{Name: "pool", Limit: limit, ColdLimit: 1}}}
	for i := range n {
		doc.Targets = append(doc.Targets, bundle.TargetDoc{
			Name: fmt.Sprintf("target-%04d", i), Pool: "pool", DataCentre: "dc", Region: "r", Address: fmt.Sprint("10.0.0.1:", i),
		})
	}
	b, err := bundle.New(doc)
	if err != nil {
		panic(err)
	}
	return newLayout(b, 32)
}

// warmHome is a home whose targets are all warm.
func warmHome(l *layout) *home {
	h := newHome(Options{Host: "h"}.withDefaults(), &alone{since: time.Now().Add(-time.Hour)})
	for _, t := range h.tick(l) {
		t.since = time.Now().Add(-time.Hour)
		t.phase, t.limit, t.reported = warm, t.max(), time.Now()
	}
	return h
}

var _ = Describe("messages out of order", func() {
	// Guards against an old ask that frees slots which a later one has kept.
	It("are refused by the home", func() {
		l := layoutOf(1, 1)
		h := warmHome(l)
		a, b := holderID{"a", 1}, holderID{"b", 1}
		ask := func(id holderID, seq uint64, keep int) Grant {
			ask := Request{Group: "pool/dc/0", Seq: seq, Want: 1}
			if keep > 0 {
				ask.Targets = []TargetRequest{{Name: "target-0000", Keep: keep}}
			}
			return h.ask(id, ask, l)
		}
		Expect(ask(a, 1, 0).Targets).To(HaveLen(1))
		Expect(ask(a, 3, 1).Targets).To(HaveLen(1))
		Expect(ask(a, 2, 0).Refused).To(Equal(RefusedStale))
		Expect(ask(b, 1, 0).Targets).To(BeEmpty())
		Expect(ask(holderID{"a", 2}, 1, 0).Targets).To(BeEmpty(), "a restarted holder may still have a call running")
	})

	// Guards against a late give that adds to slots which a later ask has returned.
	It("are dropped by the holder", func() {
		l := layoutOf(1, 8)
		h := newHolder(Options{Host: "a"}.withDefaults(), &alone{})
		h.setWant("pool", 2)
		first, _ := h.due(l)
		Expect(first).To(HaveLen(1))
		h.accept(first[0], Grant{}, errors.New("timed out"))
		h.groups["pool/dc/0"].urgent = true
		time.Sleep(6 * time.Millisecond)
		second, _ := h.due(l)
		Expect(second).To(HaveLen(1))
		give := func(o outgoing) Grant {
			return Grant{Seq: o.ask.Seq, Lease: time.Second, Targets: []TargetGrant{{Name: "target-0000", Slots: 2, Fence: 5, State: target.StateWarm}}}
		}
		h.accept(first[0], give(first[0]), nil)
		_, ok := h.take("target-0000", l)
		Expect(ok).To(BeFalse(), "from a give for an earlier ask")
		h.revoke(Revoke{Target: "target-0000", Fence: 6, Reason: target.StateCold})
		h.accept(second[0], give(second[0]), nil)
		_, ok = h.take("target-0000", l)
		Expect(ok).To(BeFalse(), "from a give that a revocation has overtaken")
	})
})

var _ = Describe("a home", func() {
	const group = "pool/dc/0"
	var (
		l *layout
		h *home
		m *alone
	)
	ask := func(host string, seq uint64, want, keep int) int {
		a := Request{Group: group, Seq: seq, Want: want, Targets: []TargetRequest{{Name: "target-0000", Keep: keep}}}
		n := 0
		for _, gt := range h.ask(holderID{host, 1}, a, l).Targets {
			n += gt.Slots
		}
		return n
	}
	BeforeEach(func() {
		l = layoutOf(1, 1)
		h = warmHome(l)
		m = h.members.(*alone)
	})

	// Guards against a slot that waits for a holder which has gone.
	It("passes over a holder that no longer asks", func() {
		Expect(ask("c", 1, 1, 0)).To(Equal(1))
		Expect(ask("a", 1, 1, 0)).To(BeZero())
		Expect(ask("c", 2, 0, 0)).To(BeZero())
		Expect(ask("b", 1, 1, 0)).To(BeZero(), "the turn is another's")
		time.Sleep(400 * time.Millisecond)
		Expect(ask("b", 2, 1, 0)).To(Equal(1))
	})

	// Guards against grants for a data centre that was taken out.
	It("grants nothing in a data centre that is out", func() {
		out, err := l.bundle.WithOut("dc", true)
		Expect(err).NotTo(HaveOccurred())
		l = newLayout(out, 32)
		Expect(ask("a", 1, 1, 0)).To(BeZero())
	})

	// Guards against slots granted twice: a give that takes some away may be lost,
	// so they count until the holder has confirmed it.
	It("counts what a holder kept until its next ask", func() {
		l = layoutOf(1, 2)
		h = warmHome(l)
		Expect(ask("a", 1, 2, 0)).To(Equal(2))
		Expect(ask("b", 1, 2, 0)).To(BeZero())
		Expect(ask("a", 2, 2, 2)).To(Equal(1))
		Expect(ask("b", 2, 2, 0)).To(BeZero())
		Expect(ask("a", 3, 2, 1)).To(Equal(1))
		Expect(ask("b", 3, 2, 0)).To(Equal(1))
	})

	// Guards against grants right after a pause in which another host was home.
	It("waits anew after a break that it hasn't noticed", func() {
		Expect(ask("a", 1, 1, 0)).To(Equal(1))
		m.since = time.Now()
		Expect(ask("a", 2, 1, 0)).To(BeZero())
	})

	// Guards against a handover that a host reads only after a pause, when another
	// may have been home since.
	DescribeTable("takes a handover only in a fresh view", func(stale bool, slots int) {
		ho := h.handoverOf(h.groups[group])
		h = newHome(h.opts, m)
		m.since, m.stale = time.Now(), stale
		h.handover(ho, l)
		m.stale = false
		Expect(ask("a", 1, 1, 0)).To(Equal(slots))
	}, Entry("stale", true, 0), Entry("fresh", false, 1))
})

// Guards against wide moves of targets between homes when one is added.
var _ = It("moves at most one target per group when one is added", func() {
	small, large := layoutOf(100, 8), layoutOf(101, 8)
	moved := 0
	for name, g := range small.of {
		if large.of[name].key != g.key {
			moved++
		}
	}
	Expect(moved).To(BeNumerically("<=", 4))
	Expect(large.groups).To(HaveLen(4))
})

// Guards against idle slots that nobody can use.
var _ = DescribeTable("returns idle slots", func(shared bool, after time.Duration) {
	l := layoutOf(1, 8)
	h := newHolder(Options{Host: "a", DataCentre: "dc"}.withDefaults(), &alone{})
	h.setWant("pool", 2)
	out, _ := h.due(l)
	h.accept(out[0], Grant{Seq: out[0].ask.Seq, Lease: time.Second, Contended: shared, Targets: []TargetGrant{
		{Name: "target-0000", Slots: 2, Fence: 1, State: target.StateWarm},
	}}, nil)
	h.setWant("pool", 0)
	time.Sleep(after)
	out, _ = h.due(l)
	Expect(out).To(HaveLen(1))
	Expect(out[0].ask.Want).To(BeZero())
	Expect(out[0].ask.Targets).To(BeEmpty(), "nothing is kept")
}, Entry("at once when others wait", true, 6*time.Millisecond), Entry("after a while when nobody does", false, 260*time.Millisecond))

// Guards against asking every group for the whole demand, which would tie up
// far slots and multiply messages.
var _ = It("asks far groups only for what near ones don't give", func() {
	doc := bundle.Doc{Pools: []bundle.PoolDoc{{Name: "pool", Limit: 8, ColdLimit: 1}}}
	for _, dc := range []string{"far", "here", "near"} {
		doc.Targets = append(doc.Targets, bundle.TargetDoc{Name: dc, Pool: "pool", DataCentre: dc, Region: map[string]string{"far": "other"}[dc], Address: dc})
	}
	b, err := bundle.New(doc)
	Expect(err).NotTo(HaveOccurred())
	l := newLayout(b, 32)
	h := newHolder(Options{Host: "a", DataCentre: "here"}.withDefaults(), &alone{})
	h.setWant("pool", 10)
	for _, step := range []struct {
		group string
		want  int
	}{{"pool/here/0", 10}, {"pool/near/0", 6}, {"pool/far/0", 2}} {
		out, _ := h.due(l)
		Expect(out).To(HaveLen(1))
		Expect(out[0].ask.Group).To(Equal(step.group))
		Expect(out[0].ask.Want).To(Equal(step.want))
		h.accept(out[0], Grant{Seq: out[0].ask.Seq, Lease: time.Second, Contended: true, RetryAfter: time.Second, Targets: []TargetGrant{
			{Name: out[0].group.targets[0].Name, Slots: min(4, step.want), Fence: 1, State: target.StateWarm},
		}}, nil)
	}
	out, _ := h.due(l)
	Expect(out).To(BeEmpty())
})

func BenchmarkHandleAsk(b *testing.B) {
	for _, targets := range []int{10, 130, 1300} {
		for _, want := range []int{4, 400} {
			b.Run(fmt.Sprintf("targets=%d/want=%d", targets, want), func(b *testing.B) {
				l := layoutOf(targets, 8)
				h := warmHome(l)
				seq := uint64(0)
				for b.Loop() {
					seq++
					id := holderID{host: fmt.Sprint("host", seq%34), incarnation: 1}
					group := fmt.Sprintf("pool/dc/%d", int(seq)%len(l.groups))
					h.ask(id, Request{Group: group, Seq: seq, Want: want, Targets: []TargetRequest{{Name: "target-0000", Keep: 1, InUse: 1, Succeeded: 5}}}, l)
				}
			})
		}
	}
}

func BenchmarkBytes(b *testing.B) {
	for _, targets := range []int{1, 8, 32} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			ask := Request{Group: "engine/kolkata/0", Seq: 100000, Want: 64}
			give := Grant{Seq: 100000, Lease: 2 * time.Second, Contended: true}
			for i := range targets {
				name := fmt.Sprintf("engine-%04d", i)
				ask.Targets = append(ask.Targets, TargetRequest{Name: name, Keep: 2, InUse: 2, Fence: 1 << 24, Succeeded: 5, LatencySumMs: 900})
				give.Targets = append(give.Targets, TargetGrant{Name: name, Slots: 2, Fence: 1 << 24, State: target.StateWarm})
			}
			for b.Loop() {
				a, _ := cbor.Marshal(ask)
				g, _ := cbor.Marshal(give)
				b.ReportMetric(float64(len(a)), "ask_bytes")
				b.ReportMetric(float64(len(g)), "give_bytes")
			}
		})
	}
}

func BenchmarkHolder(b *testing.B) {
	for _, targets := range []int{10, 130, 1300} {
		l := layoutOf(targets, 8)
		h := newHolder(Options{Host: "a", DataCentre: "dc"}.withDefaults(), &alone{})
		h.setWant("pool", 10)
		h.due(l)
		b.Run(fmt.Sprintf("due/targets=%d", targets), func(b *testing.B) {
			for b.Loop() {
				h.due(l)
			}
		})
		b.Run(fmt.Sprintf("view/targets=%d", targets), func(b *testing.B) {
			b.ReportAllocs()
			buf, _ := h.appendView(nil, "pool", time.Now())
			for b.Loop() {
				buf, _ = h.appendView(buf[:0], "pool", time.Now())
			}
		})
	}
}
