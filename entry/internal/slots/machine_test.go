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

func warmReport(boot string, lag time.Duration) target.LoadReport {
	return target.LoadReport{State: target.StateWarm, Boot: boot, Age: units.Duration(lag)}
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
		c.handleReport(warmReport("b1", 300*time.Millisecond), now)
	})

	// Guards against a target that counts as warm by a report from before its cold
	// start.
	It("is cold until reports have said warm for longer than their lag", func() {
		Expect(c.currentLimit()).To(Equal(2), "after one report")
		c.handleReport(warmReport("b1", 300*time.Millisecond), after(200*time.Millisecond))
		Expect(c.currentLimit()).To(Equal(2))
		c.handleReport(warmReport("b1", 300*time.Millisecond), after(200*time.Millisecond))
		Expect(c.currentLimit()).To(Equal(8))
		Expect(c.observe(target.StateCold, "b1", after(time.Second))).To(BeTrue())
		Expect(c.currentLimit()).To(Equal(2))
		c.handleReport(warmReport("b1", 300*time.Millisecond), after(200*time.Millisecond))
		Expect(c.warmSince.IsZero()).To(BeTrue(), "the report was taken before the target became cold")
	})

	// Guards against late answers of an earlier boot: one must neither replace the
	// present boot ID nor, if this home doesn't know that boot, stay in its place.
	It("tracks boot IDs despite late answers", func() {
		c.handleReport(warmReport("b1", 0), after(time.Second))
		Expect(c.phase).To(Equal(warm))
		Expect(c.observe(target.StateWarm, "b2", after(time.Second))).To(BeTrue(), "a new boot")
		Expect(c.observe(target.StateWarm, "b1", after(time.Millisecond))).To(BeFalse(), "a late answer")
		Expect(c.boot).To(Equal("b2"))
		c.handleReport(warmReport("b1", 300*time.Millisecond), after(100*time.Millisecond))
		Expect(c.boot).To(Equal("b2"), "a report taken before the new boot")
		c.observe(target.StateWarm, "b0", after(time.Millisecond)) // a boot from before this host was home
		c.handleReport(warmReport("b2", 0), after(time.Second))
		Expect(c.boot).To(Equal("b2"))
		c.handleReport(warmReport("b2", 0), after(time.Second))
		Expect(c.phase).To(Equal(ramping))
	})

	// Guards against a limit that grows without calls or despite failures.
	It("grows by half each second only if all calls succeed", func() {
		c.observe(target.StateCold, "b1", now)
		c.handleReport(warmReport("b1", 0), after(time.Second))
		Expect(c.phase).To(Equal(ramping))
		c.adjustLimit(after(time.Second))
		Expect(c.currentLimit()).To(Equal(2), "without calls")
		c.recordCalls(20, 0, 2000, after(time.Second))
		Expect(c.currentLimit()).To(Equal(3))
		c.recordCalls(20, 1, 2000, after(time.Second))
		Expect(c.currentLimit()).To(Equal(3), "with a failure")
		c.recordCalls(20, 0, 20000, after(time.Second))
		Expect(c.currentLimit()).To(BeNumerically("<", 3), "with slow calls")
	})

	// Guards against a limit that stays high while a target fails or slows down.
	It("lowers the warm limit on failures and latency and raises it step by step", func() {
		c.handleReport(warmReport("b1", 0), after(time.Second))
		c.recordCalls(100, 0, 10000, after(time.Second))
		Expect(c.currentLimit()).To(Equal(8))
		c.recordCalls(50, 50, 5000, after(time.Second))
		Expect(c.currentLimit()).To(Equal(5))
		c.recordCalls(100, 0, 50000, after(time.Second))
		Expect(c.currentLimit()).To(Equal(3))
		for range 20 {
			c.recordCalls(0, 10, 0, after(time.Second))
		}
		Expect(c.currentLimit()).To(Equal(2), "never below the cold limit")
		c.recordCalls(100, 0, 10000, after(time.Second))
		Expect(c.currentLimit()).To(Equal(3))
	})

	// Guards against a target that restarts while its load reports can't be read.
	It("is cold when no reports arrive", func() {
		c.handleReport(warmReport("b1", 0), after(time.Second))
		Expect(c.expireReport(after(2*time.Second), 3*time.Second)).To(BeFalse())
		Expect(c.expireReport(after(2*time.Second), 3*time.Second)).To(BeTrue())
		Expect(c.currentLimit()).To(Equal(2))
	})
})

// soleHost is the Membership of the only host, which has been home since homeSince.
type soleHost struct {
	homeSince time.Time
	stale     bool
}

func (*soleHost) Home(string, string, string) (hosts.Host, bool) { return hosts.Host{Name: "h"}, true }

func (a *soleHost) HomeDuration(string, string, string) (time.Duration, bool) {
	return time.Since(a.homeSince), !a.stale
}

func (a *soleHost) IsFresh() bool { return !a.stale }

func (*soleHost) TargetState(string) hosts.State { return hosts.StateLive }

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

// newWarmHome returns a home whose targets are all warm.
func newWarmHome(l *layout) *home {
	h := newHome(Options{Host: "h"}.withDefaults(), &soleHost{homeSince: time.Now().Add(-time.Hour)})
	for _, t := range h.tick(l) {
		t.firstSeen = time.Now().Add(-time.Hour)
		t.phase, t.limit, t.reportedAt = warm, t.maxLimit(), time.Now()
	}
	return h
}

var _ = Describe("messages out of order", func() {
	// Guards against a late request that frees slots which a later one keeps.
	It("are refused by the home", func() {
		l := layoutOf(1, 1)
		h := newWarmHome(l)
		a, b := holderID{"a", 1}, holderID{"b", 1}
		request := func(id holderID, seq uint64, keep int) Grant {
			req := Request{Group: "pool/dc/0", Seq: seq, Want: 1}
			if keep > 0 {
				req.Targets = []TargetRequest{{Name: "target-0000", Keep: keep}}
			}
			return h.handleRequest(id, req, l)
		}
		Expect(request(a, 1, 0).Targets).To(HaveLen(1))
		Expect(request(a, 3, 1).Targets).To(HaveLen(1))
		Expect(request(a, 2, 0).Refused).To(Equal(RefusedStale))
		Expect(request(b, 1, 0).Targets).To(BeEmpty())
		Expect(request(holderID{"a", 2}, 1, 0).Targets).To(BeEmpty(), "a restarted holder may still have a call running")
	})

	// Guards against a late grant of slots that a later request has returned.
	It("are dropped by the holder", func() {
		l := layoutOf(1, 8)
		h := newHolder(Options{Host: "a"}.withDefaults(), &soleHost{})
		h.setWaiting("pool", 2)
		first, _ := h.dueRequests(l)
		Expect(first).To(HaveLen(1))
		h.handleGrant(first[0], Grant{}, errors.New("timed out"))
		h.groups["pool/dc/0"].urgent = true
		time.Sleep(6 * time.Millisecond)
		second, _ := h.dueRequests(l)
		Expect(second).To(HaveLen(1))
		grant := func(o outgoingRequest) Grant {
			return Grant{Seq: o.request.Seq, Lease: time.Second, Targets: []TargetGrant{{Name: "target-0000", Slots: 2, Fence: 5, State: target.StateWarm}}}
		}
		h.handleGrant(first[0], grant(first[0]), nil)
		_, ok := h.take("target-0000", l)
		Expect(ok).To(BeFalse(), "from a grant for an earlier request")
		h.revoke(Revoke{Target: "target-0000", Fence: 6, Reason: target.StateCold})
		h.handleGrant(second[0], grant(second[0]), nil)
		_, ok = h.take("target-0000", l)
		Expect(ok).To(BeFalse(), "from a grant that arrives after its revocation")
	})
})

var _ = Describe("a home", func() {
	const group = "pool/dc/0"
	var (
		l *layout
		h *home
		m *soleHost
	)
	request := func(host string, seq uint64, want, keep int) int {
		a := Request{Group: group, Seq: seq, Want: want, Targets: []TargetRequest{{Name: "target-0000", Keep: keep}}}
		n := 0
		for _, gt := range h.handleRequest(holderID{host, 1}, a, l).Targets {
			n += gt.Slots
		}
		return n
	}
	BeforeEach(func() {
		l = layoutOf(1, 1)
		h = newWarmHome(l)
		m = h.members.(*soleHost)
	})

	// Guards against a slot kept free for a holder that no longer wants it.
	It("skips a holder that no longer sends requests", func() {
		Expect(request("c", 1, 1, 0)).To(Equal(1))
		Expect(request("a", 1, 1, 0)).To(BeZero())
		Expect(request("c", 2, 0, 0)).To(BeZero())
		Expect(request("b", 1, 1, 0)).To(BeZero(), "it is another holder's turn")
		time.Sleep(400 * time.Millisecond)
		Expect(request("b", 2, 1, 0)).To(Equal(1))
	})

	// Guards against grants for targets of a data centre that was taken out.
	It("grants nothing in a data centre that is out", func() {
		out, err := l.bundle.WithDataCentreOut("dc", true)
		Expect(err).NotTo(HaveOccurred())
		l = newLayout(out, 32)
		Expect(request("a", 1, 1, 0)).To(BeZero())
	})

	// Guards against slots granted twice: a grant that takes some away may be lost, so
	// they count until the holder's next request.
	It("counts what a holder kept until its next request", func() {
		l = layoutOf(1, 2)
		h = newWarmHome(l)
		Expect(request("a", 1, 2, 0)).To(Equal(2))
		Expect(request("b", 1, 2, 0)).To(BeZero())
		Expect(request("a", 2, 2, 2)).To(Equal(1))
		Expect(request("b", 2, 2, 0)).To(BeZero())
		Expect(request("a", 3, 2, 1)).To(Equal(1))
		Expect(request("b", 3, 2, 0)).To(Equal(1))
	})

	// Guards against grants right after a pause in which another host was home.
	It("waits again after an unnoticed break", func() {
		Expect(request("a", 1, 1, 0)).To(Equal(1))
		m.homeSince = time.Now()
		Expect(request("a", 2, 1, 0)).To(BeZero())
	})

	// Guards against a handover that a host applies only after a pause, during which
	// another host may have been home.
	DescribeTable("takes a handover only in a fresh view", func(stale bool, slots int) {
		ho := h.buildHandover(h.groups[group])
		h = newHome(h.opts, m)
		m.homeSince, m.stale = time.Now(), stale
		h.handleHandover(ho, l)
		m.stale = false
		Expect(request("a", 1, 1, 0)).To(Equal(slots))
	}, Entry("stale", true, 0), Entry("fresh", false, 1))
})

// Guards against many targets that change homes when one is added.
var _ = It("moves at most one target per group when one is added", func() {
	small, large := layoutOf(100, 8), layoutOf(101, 8)
	moved := 0
	for name, g := range small.byTarget {
		if large.byTarget[name].key != g.key {
			moved++
		}
	}
	Expect(moved).To(BeNumerically("<=", 4))
	Expect(large.groups).To(HaveLen(4))
})

// Guards against idle slots that are held while other holders could use them.
var _ = DescribeTable("returns idle slots", func(shared bool, after time.Duration) {
	l := layoutOf(1, 8)
	h := newHolder(Options{Host: "a", DataCentre: "dc"}.withDefaults(), &soleHost{})
	h.setWaiting("pool", 2)
	requests, _ := h.dueRequests(l)
	h.handleGrant(requests[0], Grant{Seq: requests[0].request.Seq, Lease: time.Second, Contended: shared, Targets: []TargetGrant{
		{Name: "target-0000", Slots: 2, Fence: 1, State: target.StateWarm},
	}}, nil)
	h.setWaiting("pool", 0)
	time.Sleep(after)
	requests, _ = h.dueRequests(l)
	Expect(requests).To(HaveLen(1))
	Expect(requests[0].request.Want).To(BeZero())
	Expect(requests[0].request.Targets).To(BeEmpty(), "nothing is kept")
}, Entry("at once when others wait", true, 6*time.Millisecond), Entry("after a while when nobody does", false, 260*time.Millisecond))

// Guards against requesting the whole demand from every group, which would hold
// slots in far groups and multiply messages.
var _ = It("requests from far groups only what near ones don't grant", func() {
	doc := bundle.Doc{Pools: []bundle.PoolDoc{{Name: "pool", Limit: 8, ColdLimit: 1}}}
	for _, dc := range []string{"far", "here", "near"} {
		doc.Targets = append(doc.Targets, bundle.TargetDoc{Name: dc, Pool: "pool", DataCentre: dc, Region: map[string]string{"far": "other"}[dc], Address: dc})
	}
	b, err := bundle.New(doc)
	Expect(err).NotTo(HaveOccurred())
	l := newLayout(b, 32)
	h := newHolder(Options{Host: "a", DataCentre: "here"}.withDefaults(), &soleHost{})
	h.setWaiting("pool", 10)
	for _, step := range []struct {
		group string
		want  int
	}{{"pool/here/0", 10}, {"pool/near/0", 6}, {"pool/far/0", 2}} {
		requests, _ := h.dueRequests(l)
		Expect(requests).To(HaveLen(1))
		Expect(requests[0].request.Group).To(Equal(step.group))
		Expect(requests[0].request.Want).To(Equal(step.want))
		h.handleGrant(requests[0], Grant{Seq: requests[0].request.Seq, Lease: time.Second, Contended: true, RetryAfter: time.Second, Targets: []TargetGrant{
			{Name: requests[0].group.targets[0].Name, Slots: min(4, step.want), Fence: 1, State: target.StateWarm},
		}}, nil)
	}
	requests, _ := h.dueRequests(l)
	Expect(requests).To(BeEmpty())
})

func BenchmarkHandleAsk(b *testing.B) {
	for _, targets := range []int{10, 130, 1300} {
		for _, want := range []int{4, 400} {
			b.Run(fmt.Sprintf("targets=%d/want=%d", targets, want), func(b *testing.B) {
				l := layoutOf(targets, 8)
				h := newWarmHome(l)
				seq := uint64(0)
				for b.Loop() {
					seq++
					id := holderID{host: fmt.Sprint("host", seq%34), incarnation: 1}
					group := fmt.Sprintf("pool/dc/%d", int(seq)%len(l.groups))
					h.handleRequest(id, Request{Group: group, Seq: seq, Want: want, Targets: []TargetRequest{{Name: "target-0000", Keep: 1, InUse: 1, Succeeded: 5}}}, l)
				}
			})
		}
	}
}

func BenchmarkBytes(b *testing.B) {
	for _, targets := range []int{1, 8, 32} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			req := Request{Group: "engine/kolkata/0", Seq: 100000, Want: 64}
			grant := Grant{Seq: 100000, Lease: 2 * time.Second, Contended: true}
			for i := range targets {
				name := fmt.Sprintf("engine-%04d", i)
				req.Targets = append(req.Targets, TargetRequest{Name: name, Keep: 2, InUse: 2, Fence: 1 << 24, Succeeded: 5, LatencySumMs: 900})
				grant.Targets = append(grant.Targets, TargetGrant{Name: name, Slots: 2, Fence: 1 << 24, State: target.StateWarm})
			}
			for b.Loop() {
				a, _ := cbor.Marshal(req)
				g, _ := cbor.Marshal(grant)
				b.ReportMetric(float64(len(a)), "ask_bytes")
				b.ReportMetric(float64(len(g)), "give_bytes")
			}
		})
	}
}

func BenchmarkHolder(b *testing.B) {
	for _, targets := range []int{10, 130, 1300} {
		l := layoutOf(targets, 8)
		h := newHolder(Options{Host: "a", DataCentre: "dc"}.withDefaults(), &soleHost{})
		h.setWaiting("pool", 10)
		h.dueRequests(l)
		b.Run(fmt.Sprintf("due/targets=%d", targets), func(b *testing.B) {
			for b.Loop() {
				h.dueRequests(l)
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
