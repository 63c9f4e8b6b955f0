package config

import (
	"context"
	"fmt"
	"time"

	"chivepost/entry/internal/invar"
	"chivepost/entry/internal/memlog"
	"chivepost/share/bundle"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("publishing", func() {
	It("puts a change in force on all nodes and confirms it", virtual(func(_ *world, a, b, c *node) {
		changed := c.Changed()
		Expect(c.MayServe()).To(MatchError(ErrNoConfig))
		Expect(a.publish(0, "x")).To(Equal(PublishResult{Kind: Accepted, Version: 1, Author: "by x"}))
		time.Sleep(500 * time.Millisecond)
		Expect(changed).To(BeClosed())
		Expect([]string{a.name(), b.name(), c.name()}).To(HaveEach("x"))
		a.ObservePeer("node0", 1, 0) // Its own heartbeat confirms nothing.
		var confirmed []string
		for _, conf := range a.Confirmations() {
			Expect(conf.Version).To(BeEquivalentTo(1))
			confirmed = append(confirmed, conf.Host)
		}
		Expect(confirmed).To(Equal([]string{"node1", "node2"}))
		Expect(c.MayServe()).To(Succeed())
	}))

	// Guards against two changes of one base that are both accepted.
	It("has one winner when operators race, whom the others are told", virtual(func(_ *world, a, b, _ *node) {
		got := make(chan PublishResult)
		go func() { got <- a.publish(0, "x") }()
		go func() { got <- b.publish(0, "y") }()
		first, second := <-got, <-got
		if first.Kind == Lost {
			first, second = second, first
		}
		Expect(first.Kind).To(Equal(Accepted))
		Expect(second).To(Equal(PublishResult{Kind: Lost, Version: first.Version, Author: first.Author}))
	}))

	It("refuses a stale base and a bad document without the log", virtual(func(w *world, a, _, _ *node) {
		Expect(a.publish(0, "x").Kind).To(Equal(Accepted))
		Expect(a.publish(0, "y").Kind).To(Equal(Lost))
		bad := bundle.Doc{Accounts: []bundle.AccountDoc{{Name: "x"}}}
		Expect(a.Publish(context.Background(), 1, "me", "z", bad).Kind).To(Equal(Rejected))
		Expect(w.log.Appends(stream)).To(Equal(1))
	}))

	// Guards against an answer that is lost: the change must be found by its id, never
	// written again, and never be reported as not written while it may yet land.
	DescribeTable("with a lost answer is settled by reading", func(fault memlog.Fault, want, later PublishKind) {
		virtual(func(w *world, a, _, _ *node) {
			w.log.Late = 3 * time.Second
			w.log.Inject(fault)
			Expect(a.publish(0, "x").Kind).To(Equal(want))
			time.Sleep(2 * time.Second)
			Expect(a.publish(0, "x").Kind).To(Equal(later))
			Expect(w.log.Records(stream)).To(HaveLen(1))
		})()
	},
		Entry("after the append", memlog.LoseAnswer, Accepted, Accepted),
		Entry("without the append", memlog.LoseAppend, Unknown, Accepted),
		Entry("before a late append", memlog.LandLate, Unknown, Accepted),
	)

	It("is refused as not written in an outage", virtual(func(w *world, a, b, _ *node) {
		Expect(a.publish(0, "x").Kind).To(Equal(Accepted))
		w.log.SetDown(true)
		Expect(a.publish(1, "y").Kind).To(Equal(LogDown))
		Expect(b.MayServe()).To(Succeed())
	}))
})

var _ = Describe("reading", func() {
	// Guards against a copy, or an unreadable or badly based record, that moves the version.
	It("ignores copies of older versions and records that can't be accepted", virtual(func(w *world, a, _, _ *node) {
		w.log.Put(stream, change(0, "x"), change(1, "y"), copyOf(1, 1, "x"), []byte("?"), change(1, "z"),
			copyOf(9, 9, "ahead of itself"), copyOf(4, 5, "never accepted"),
			encodeRecord(record{Kind: kindChange, Base: 2, PublishID: "bad", Bundle: []byte("?")}))
		time.Sleep(100 * time.Millisecond)
		Expect([]any{a.name(), a.version()}).To(Equal([]any{"y", int64(2)}))
		Expect(a.publish(2, "w").Version).To(BeEquivalentTo(9))
	}))

	// Guards against a reader that judges changes although records before them are gone.
	DescribeTable("from a trimmed log", func(lagged, settled bool, name string, records ...[]byte) {
		virtual(func(w *world, a, b, c *node) {
			for _, n := range []*node{a, b, c} {
				n.deaf.Store(true)
			}
			b.link.SetCut(true)
			time.Sleep(2 * time.Second)
			w.log.Put(stream, change(0, "x"), change(1, "y"))
			w.log.Put(stream, records...)
			w.log.Trim(stream, 3)
			if !lagged {
				b.restart(1)
			}
			b.link.SetCut(false)
			time.Sleep(3 * time.Second)
			Expect(b.name()).To(Equal(name))
			Expect(b.Status().Detail.(Detail).Settled).To(Equal(settled))
			if !settled {
				Expect(b.MayServe()).To(MatchError(ErrVersionUnknown))
				Expect(b.publish(2, "v").Kind).To(Equal(LogDown), "a change that can't be judged is not written")
				return
			}
			Expect(b.MayServe()).To(Succeed())
			Expect(a.name()).To(Equal(name), "as a node that has read everything")
		})()
	},
		Entry("starts from a copy as of the records gone", false, true, "y", copyOf(2, 2, "y")),
		Entry("judges the changes before the copy", false, true, "z", change(1, "w"), change(2, "z"), copyOf(2, 2, "y")),
		Entry("skips the changes that the copy includes", false, true, "z", change(2, "z"), copyOf(3, 3, "z"), change(2, "w")),
		Entry("does not start from an older copy", false, false, "", copyOf(1, 1, "x")),
		Entry("does not start from a copy ahead of itself", false, false, "", copyOf(9, 9, "z")),
		Entry("does not start from a change", false, false, "", change(2, "z")),
		Entry("catches up after a gap", true, true, "z", change(2, "z"), copyOf(2, 2, "y")),
		Entry("is in doubt after a gap", true, false, "", change(2, "z")),
	)

	It("refuses a stream that starts again", virtual(func(w *world, a, _, _ *node) {
		Expect(a.publish(0, "x").Kind).To(Equal(Accepted))
		w.log.Put(stream, []byte("?"))
		time.Sleep(50 * time.Millisecond)
		w.log.Reset(stream)
		w.log.Put(stream, change(1, "y"))
		time.Sleep(4 * time.Second)
		Expect(a.name()).To(Equal("x"))
		Expect(a.LogAge()).To(BeNumerically(">", 3*time.Second))
	}))

	// Guards against a reader that asks again without a pause.
	It("refuses pages without the records due", virtual(func(w *world, _, _, _ *node) {
		before := badPages.Value()
		w.log.SetHollow(1)
		w.log.Put(stream, change(0, "x"))
		time.Sleep(2 * time.Second)
		Expect(badPages.Value()-before).To(BeNumerically("~", 30, 3), "three nodes, each at RetryPause")
	}))
})

var _ = Describe("a peer's offer", func() {
	// Guards against a node that starts in an outage, or whose records are gone, and
	// stays without the version that its peers have.
	It("starts a node in an outage, which then follows the log", virtual(func(w *world, a, _, c *node) {
		Expect(a.publish(0, "x").Kind).To(Equal(Accepted))
		w.log.SetDown(true)
		c.restart(2)
		time.Sleep(4 * time.Second)
		Expect([]any{c.name(), c.LogAge()}).To(Equal([]any{"x", NeverRead}))
		Expect(c.MayServe()).To(Succeed())
		w.log.Trim(stream, 2)
		w.log.SetDown(false)
		time.Sleep(time.Second)
		Expect(c.publish(1, "y").Version).To(BeEquivalentTo(2))
	}))

	// Guards against a change that is judged from an offer older than the records gone.
	It("from before the records kept is in force but does not settle the state", virtual(func(w *world, a, b, c *node) {
		Expect(a.publish(0, "x").Kind).To(Equal(Accepted))
		time.Sleep(50 * time.Millisecond)
		b.deaf.Store(true)
		a.link.SetCut(true)
		c.link.SetCut(true)
		time.Sleep(1500 * time.Millisecond)
		w.log.Put(stream, change(1, "y"), change(1, "z"))
		time.Sleep(50 * time.Millisecond)
		w.log.Trim(stream, 3)
		c.restart(2)
		time.Sleep(time.Second)
		c.link.SetCut(false)
		time.Sleep(time.Second)
		Expect([]any{c.name(), c.publish(1, "w").Kind}).To(Equal([]any{"x", LogDown}))
		c.deaf.Store(true)
		time.Sleep(4 * time.Second)
		Expect(c.MayServe()).To(MatchError(ErrIsolated), "reading the log is not enough")
		c.deaf.Store(false)
		b.deaf.Store(false)
		time.Sleep(time.Second)
		Expect([]any{c.name(), a.name(), c.publish(2, "w").Kind}).To(Equal([]any{"y", "y", Accepted}))
	}))

	// Guards against a node that lagged and never judges changes again while its peers,
	// which have the same version, have read everything.
	It("of the same version settles a node that lagged", virtual(func(w *world, a, _, c *node) {
		Expect(a.publish(0, "x").Kind).To(Equal(Accepted))
		time.Sleep(50 * time.Millisecond)
		c.link.SetCut(true)
		time.Sleep(1500 * time.Millisecond)
		w.log.Put(stream, []byte("?"), []byte("?"))
		time.Sleep(50 * time.Millisecond)
		w.log.Trim(stream, 3)
		c.link.SetCut(false)
		time.Sleep(3 * time.Second)
		Expect(c.publish(1, "y").Kind).To(Equal(Accepted))
	}))

	// Guards against a publisher who is told that a change was lost which a copy includes.
	It("or a copy that includes a change says nothing about its outcome", func() {
		t, told := newTrack(), 0
		t.onJudged = func(record, bool, int64) { told++ }
		t.skipTo(3)
		t.change(3, record{Base: 2, Bundle: encoded("z")})
		Expect(t.copied(4, record{Copied: 3, AsOf: 3, Bundle: encoded("z")})).To(Succeed())
		Expect([]any{t.force.version, told}).To(Equal([]any{int64(3), 0}))
		Expect(t.copied(9, record{Copied: 5, AsOf: 6, Bundle: encoded("w")})).To(MatchError(errCopy))
	})

	DescribeTable("is checked", func(o Offer, good bool, version int64) {
		t := newTrack()
		t.change(1, record{Base: 0, Bundle: encoded("x")})
		t.change(2, record{Base: 1, Bundle: encoded("y")})
		t.change(3, record{Base: 1, Bundle: encoded("lost")})
		Expect(t.adopt(o) == nil).To(Equal(good))
		Expect(t.force.version).To(Equal(version))
	},
		Entry("older", Offer{Version: 1, Through: 1, Data: encoded("x")}, true, int64(2)),
		Entry("equal", Offer{Version: 2, Through: 9}, true, int64(2)),
		Entry("ahead", Offer{Version: 4, Through: 5, Data: encoded("z")}, true, int64(4)),
		Entry("ahead, unreadable", Offer{Version: 4, Through: 5, Data: []byte("?")}, false, int64(2)),
		Entry("of a change that lost", Offer{Version: 3, Through: 3, Data: encoded("lost")}, false, int64(2)),
		Entry("older, known later", Offer{Version: 1, Through: 9, Data: encoded("x")}, false, int64(2)),
		Entry("not yet written", Offer{Version: 9, Through: 5, Data: encoded("z")}, false, int64(2)),
	)

	DescribeTable("or a record that breaks an invariant stops the process", func(break_ func(t *track)) {
		t := newTrack()
		t.change(1, record{Base: 0, Bundle: encoded("x")})
		Expect(func() { break_(t) }).To(PanicWith(BeAssignableToTypeOf(invar.BreachError{})))
	},
		Entry("by other bytes of one version", func(t *track) { _ = t.adopt(Offer{Version: 1, Through: 1, Data: encoded("y")}) }),
		Entry("by other bytes in a copy", func(t *track) { _ = t.copied(2, record{Copied: 1, AsOf: 1, Bundle: encoded("y")}) }),
		Entry("by an older version", func(t *track) { t.setForce(inForce{version: 1}) }),
		Entry("by a version that the log denies", func(t *track) {
			_ = t.adopt(Offer{Version: 2, Through: 3, Data: encoded("y")})
			t.change(2, record{Base: 7, Bundle: encoded("y")})
			t.passed(3)
		}),
	)
})

var _ = Describe("a node in doubt", func() {
	// Guards against new work under a configuration that may have been replaced.
	DescribeTable("serves", func(logCut, deaf, noPull, newer bool, want error) {
		virtual(func(_ *world, a, b, _ *node) {
			Expect(a.publish(0, "x").Kind).To(Equal(Accepted))
			time.Sleep(50 * time.Millisecond)
			b.link.SetCut(logCut)
			b.deaf.Store(deaf)
			b.noPull.Store(noPull)
			time.Sleep(1500 * time.Millisecond)
			if newer {
				Expect(a.publish(1, "y").Kind).To(Equal(Accepted))
			}
			time.Sleep(2500 * time.Millisecond)
			if want != nil {
				Expect(b.MayServe()).To(MatchError(want))
				Expect(b.Status().Ready).To(BeFalse())
				return
			}
			Expect(b.MayServe()).To(Succeed())
			Expect(b.name()).To(Equal(a.name()))
		})()
	},
		Entry("with the log alone", false, true, true, true, nil),
		Entry("with a majority alone", true, false, false, true, nil),
		Entry("not when isolated", true, true, false, true, ErrIsolated),
		Entry("not when it can't fetch a higher version", true, false, true, true, ErrBehind),
		Entry("with a majority of its own version", true, false, true, false, nil),
	)
})

var _ = Describe("copies", func() {
	// Guards against a state that fresh readers can't settle, be it that records expire
	// or that only changes are kept, and against a copy from each node.
	DescribeTable("are written by one node at a time, in time, also after an outage", func(every int) {
		virtualWith(9, Options{ReadWait: 20 * time.Second, MaxAge: time.Minute}, func(w *world) {
			first := w.nodes[0]
			Expect(first.publish(0, "x").Kind).To(Equal(Accepted))
			changes := 1
			for minute := range 12 * 60 {
				w.log.SetDown(minute >= 300 && minute < 330)
				time.Sleep(time.Minute)
				w.log.Expire(stream, time.Hour)
				if minute == 600 {
					first.restart(0)
					time.Sleep(time.Second)
				}
				if minute%every == 0 && first.publish(first.version(), fmt.Sprint(minute)).Kind == Accepted {
					changes++
				}
			}
			Expect(w.log.Appends(stream)-changes).To(BeNumerically("~", 32, 4), "one in 20 to 25 min for all nodes")
			version := first.version()
			for i, n := range w.nodes {
				n.restart(i)
			}
			time.Sleep(time.Second)
			for _, n := range w.nodes {
				Expect([]any{n.version(), n.MayServe()}).To(Equal([]any{version, nil}))
			}
		})()
	},
		Entry("with few changes", 500),
		Entry("with a change each 8 min", 8),
	)

	// Guards against a version that is lost when all nodes restart more often than copies are due.
	It("are written early when the last one is the next record to expire", virtual(func(w *world, a, b, c *node) {
		w.log.Put(stream, change(0, "x"), copyOf(1, 1, "x"))
		w.log.Trim(stream, 2)
		for i, n := range []*node{a, b, c} {
			n.restart(i)
		}
		time.Sleep(6 * time.Minute)
		Expect(w.log.Records(stream)).To(HaveLen(2))
	}))
})
