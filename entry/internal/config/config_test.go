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
	It("puts a change in force on all hosts and confirms it", inVirtualTime(func(_ *testEnv, a, b, c *testHost) {
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

	// Guards against accepting two changes of the same base.
	It("has one winner when operators race, and reports it to the others", inVirtualTime(func(_ *testEnv, a, b, _ *testHost) {
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

	It("refuses a stale base and a bad document without the log", inVirtualTime(func(env *testEnv, a, _, _ *testHost) {
		Expect(a.publish(0, "x").Kind).To(Equal(Accepted))
		Expect(a.publish(0, "y").Kind).To(Equal(Lost))
		bad := bundle.Doc{Accounts: []bundle.AccountDoc{{Name: "x"}}}
		Expect(a.Publish(context.Background(), 1, "me", "z", bad).Kind).To(Equal(Rejected))
		Expect(env.log.Appends(stream)).To(Equal(1))
	}))

	// Guards against a lost response to the append. The change must be found by its ID,
	// never be written again, and never be reported as not written while the append may
	// still take effect.
	DescribeTable("with a lost answer is decided by reading the stream", func(fault memlog.Fault, want, later PublishKind) {
		inVirtualTime(func(env *testEnv, a, _, _ *testHost) {
			env.log.AppendDelay = 3 * time.Second
			env.log.Inject(fault)
			Expect(a.publish(0, "x").Kind).To(Equal(want))
			time.Sleep(2 * time.Second)
			Expect(a.publish(0, "x").Kind).To(Equal(later))
			Expect(env.log.Records(stream)).To(HaveLen(1))
		})()
	},
		Entry("after the append", memlog.LoseResponse, Accepted, Accepted),
		Entry("without the append", memlog.LoseAppend, Unknown, Accepted),
		Entry("before a late append", memlog.DelayAppend, Unknown, Accepted),
	)

	It("is refused as not written during an outage of the log", inVirtualTime(func(env *testEnv, a, b, _ *testHost) {
		Expect(a.publish(0, "x").Kind).To(Equal(Accepted))
		env.log.SetDown(true)
		Expect(a.publish(1, "y").Kind).To(Equal(LogDown))
		Expect(b.MayServe()).To(Succeed())
	}))
})

var _ = Describe("reading", func() {
	// Guards against a version change by a copy, an unreadable record or a change with
	// another base.
	It("ignores copies of older versions and records that can't be accepted", inVirtualTime(func(env *testEnv, a, _, _ *testHost) {
		env.log.Put(stream, changeRecord(0, "x"), changeRecord(1, "y"), copyRecord(1, 1, "x"), []byte("?"), changeRecord(1, "z"),
			copyRecord(9, 9, "ahead of itself"), copyRecord(4, 5, "never accepted"),
			encodeRecord(record{Kind: kindChange, Base: 2, PublishID: "bad", Bundle: []byte("?")}))
		time.Sleep(100 * time.Millisecond)
		Expect([]any{a.name(), a.version()}).To(Equal([]any{"y", int64(2)}))
		Expect(a.publish(2, "w").Version).To(BeEquivalentTo(9))
	}))

	// Guards against a reader that decides changes although records before them have
	// expired unread.
	DescribeTable("from a trimmed log", func(lagged, canDecide bool, name string, records ...[]byte) {
		inVirtualTime(func(env *testEnv, a, b, c *testHost) {
			for _, h := range []*testHost{a, b, c} {
				h.disconnectedFromPeers.Store(true)
			}
			b.client.SetDisconnected(true)
			time.Sleep(2 * time.Second)
			env.log.Put(stream, changeRecord(0, "x"), changeRecord(1, "y"))
			env.log.Put(stream, records...)
			env.log.Trim(stream, 3)
			if !lagged {
				b.restart(1)
			}
			b.client.SetDisconnected(false)
			time.Sleep(3 * time.Second)
			Expect(b.name()).To(Equal(name))
			Expect(b.Status().Detail.(Detail).Settled).To(Equal(canDecide))
			if !canDecide {
				Expect(b.MayServe()).To(MatchError(ErrVersionUnknown))
				Expect(b.publish(2, "v").Kind).To(Equal(LogDown), "a change that can't be decided is not written")
				return
			}
			Expect(b.MayServe()).To(Succeed())
			Expect(a.name()).To(Equal(name), "same as on a host that has read everything")
		})()
	},
		Entry("starts from a copy as of the expired records", false, true, "y", copyRecord(2, 2, "y")),
		Entry("decides the changes before the copy", false, true, "z", changeRecord(1, "w"), changeRecord(2, "z"), copyRecord(2, 2, "y")),
		Entry("skips the changes that the copy includes", false, true, "z", changeRecord(2, "z"), copyRecord(3, 3, "z"), changeRecord(2, "w")),
		Entry("does not start from an older copy", false, false, "", copyRecord(1, 1, "x")),
		Entry("does not start from a copy ahead of itself", false, false, "", copyRecord(9, 9, "z")),
		Entry("does not start from a change", false, false, "", changeRecord(2, "z")),
		Entry("catches up after a gap", true, true, "z", changeRecord(2, "z"), copyRecord(2, 2, "y")),
		Entry("can't decide changes after a gap", true, false, "", changeRecord(2, "z")),
	)

	It("refuses a stream that restarts from 1", inVirtualTime(func(env *testEnv, a, _, _ *testHost) {
		Expect(a.publish(0, "x").Kind).To(Equal(Accepted))
		env.log.Put(stream, []byte("?"))
		time.Sleep(50 * time.Millisecond)
		env.log.Reset(stream)
		env.log.Put(stream, changeRecord(1, "y"))
		time.Sleep(4 * time.Second)
		Expect(a.name()).To(Equal("x"))
		Expect(a.LogAge()).To(BeNumerically(">", 3*time.Second))
	}))

	// Guards against a reader that repeats a failed read without a pause.
	It("refuses pages that lack the requested records", inVirtualTime(func(env *testEnv, _, _, _ *testHost) {
		before := badPages.Value()
		env.log.OmitFirst(1)
		env.log.Put(stream, changeRecord(0, "x"))
		time.Sleep(2 * time.Second)
		Expect(badPages.Value()-before).To(BeNumerically("~", 30, 3), "three hosts, each at RetryPause")
	}))
})

var _ = Describe("a peer's offer", func() {
	// Guards against a host that starts during an outage, or after records have expired,
	// and never gets the version that its peers have.
	It("starts a host during an outage, which then follows the log", inVirtualTime(func(env *testEnv, a, _, c *testHost) {
		Expect(a.publish(0, "x").Kind).To(Equal(Accepted))
		env.log.SetDown(true)
		c.restart(2)
		time.Sleep(4 * time.Second)
		Expect([]any{c.name(), c.LogAge()}).To(Equal([]any{"x", NeverRead}))
		Expect(c.MayServe()).To(Succeed())
		env.log.Trim(stream, 2)
		env.log.SetDown(false)
		time.Sleep(time.Second)
		Expect(c.publish(1, "y").Version).To(BeEquivalentTo(2))
	}))

	// Guards against deciding a change from an offer that is older than the expired
	// records.
	It("from before the records kept is in force but does not make changes decidable", inVirtualTime(func(env *testEnv, a, b, c *testHost) {
		Expect(a.publish(0, "x").Kind).To(Equal(Accepted))
		time.Sleep(50 * time.Millisecond)
		b.disconnectedFromPeers.Store(true)
		a.client.SetDisconnected(true)
		c.client.SetDisconnected(true)
		time.Sleep(1500 * time.Millisecond)
		env.log.Put(stream, changeRecord(1, "y"), changeRecord(1, "z"))
		time.Sleep(50 * time.Millisecond)
		env.log.Trim(stream, 3)
		c.restart(2)
		time.Sleep(time.Second)
		c.client.SetDisconnected(false)
		time.Sleep(time.Second)
		Expect([]any{c.name(), c.publish(1, "w").Kind}).To(Equal([]any{"x", LogDown}))
		c.disconnectedFromPeers.Store(true)
		time.Sleep(4 * time.Second)
		Expect(c.MayServe()).To(MatchError(ErrIsolated), "reading the log is not enough")
		c.disconnectedFromPeers.Store(false)
		b.disconnectedFromPeers.Store(false)
		time.Sleep(time.Second)
		Expect([]any{c.name(), a.name(), c.publish(2, "w").Kind}).To(Equal([]any{"y", "y", Accepted}))
	}))

	// Guards against a host that has missed expired records and never decides changes
	// again, although its peers have the same version and have read everything.
	It("of the same version lets a lagging host decide changes again", inVirtualTime(func(env *testEnv, a, _, c *testHost) {
		Expect(a.publish(0, "x").Kind).To(Equal(Accepted))
		time.Sleep(50 * time.Millisecond)
		c.client.SetDisconnected(true)
		time.Sleep(1500 * time.Millisecond)
		env.log.Put(stream, []byte("?"), []byte("?"))
		time.Sleep(50 * time.Millisecond)
		env.log.Trim(stream, 3)
		c.client.SetDisconnected(false)
		time.Sleep(3 * time.Second)
		Expect(c.publish(1, "y").Kind).To(Equal(Accepted))
	}))

	// Guards against reporting a change as lost that a copy includes.
	It("or a copy that includes a change reports no outcome for it", func() {
		t, reported := newTracker(), 0
		t.onDecided = func(record, bool, int64) { reported++ }
		t.skipTo(3)
		t.applyChange(3, record{Base: 2, Bundle: encodedBundle("z")})
		Expect(t.applyCopy(4, record{Copied: 3, AsOf: 3, Bundle: encodedBundle("z")})).To(Succeed())
		Expect([]any{t.inForce.version, reported}).To(Equal([]any{int64(3), 0}))
		Expect(t.applyCopy(9, record{Copied: 5, AsOf: 6, Bundle: encodedBundle("w")})).To(MatchError(errContradictoryCopy))
	})

	DescribeTable("is checked against the known versions", func(o Offer, good bool, version int64) {
		t := newTracker()
		t.applyChange(1, record{Base: 0, Bundle: encodedBundle("x")})
		t.applyChange(2, record{Base: 1, Bundle: encodedBundle("y")})
		t.applyChange(3, record{Base: 1, Bundle: encodedBundle("lost")})
		Expect(t.adopt(o) == nil).To(Equal(good))
		Expect(t.inForce.version).To(Equal(version))
	},
		Entry("older", Offer{Version: 1, Through: 1, Data: encodedBundle("x")}, true, int64(2)),
		Entry("equal", Offer{Version: 2, Through: 9}, true, int64(2)),
		Entry("ahead", Offer{Version: 4, Through: 5, Data: encodedBundle("z")}, true, int64(4)),
		Entry("ahead, unreadable", Offer{Version: 4, Through: 5, Data: []byte("?")}, false, int64(2)),
		Entry("of a change that lost", Offer{Version: 3, Through: 3, Data: encodedBundle("lost")}, false, int64(2)),
		Entry("older, as of a later offset", Offer{Version: 1, Through: 9, Data: encodedBundle("x")}, false, int64(2)),
		Entry("not yet written", Offer{Version: 9, Through: 5, Data: encodedBundle("z")}, false, int64(2)),
	)

	DescribeTable("or a record that breaks an invariant stops the process", func(violate func(t *tracker)) {
		t := newTracker()
		t.applyChange(1, record{Base: 0, Bundle: encodedBundle("x")})
		Expect(func() { violate(t) }).To(PanicWith(BeAssignableToTypeOf(invar.ViolationError{})))
	},
		Entry("by other bytes of one version", func(t *tracker) { _ = t.adopt(Offer{Version: 1, Through: 1, Data: encodedBundle("y")}) }),
		Entry("by other bytes in a copy", func(t *tracker) { _ = t.applyCopy(2, record{Copied: 1, AsOf: 1, Bundle: encodedBundle("y")}) }),
		Entry("by an older version", func(t *tracker) { t.setInForce(configVersion{version: 1}) }),
		Entry("by a version that the log contradicts", func(t *tracker) {
			_ = t.adopt(Offer{Version: 2, Through: 3, Data: encodedBundle("y")})
			t.applyChange(2, record{Base: 7, Bundle: encodedBundle("y")})
			t.markDecided(3)
		}),
	)
})

var _ = Describe("a host that may not be up to date", func() {
	// Guards against accepting work under a configuration that may have been replaced.
	DescribeTable("serves", func(logDisconnected, disconnectedFromPeers, failPulls, newer bool, want error) {
		inVirtualTime(func(_ *testEnv, a, b, _ *testHost) {
			Expect(a.publish(0, "x").Kind).To(Equal(Accepted))
			time.Sleep(50 * time.Millisecond)
			b.client.SetDisconnected(logDisconnected)
			b.disconnectedFromPeers.Store(disconnectedFromPeers)
			b.failPulls.Store(failPulls)
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
	// Guards against a stream from which new readers can't determine the version, either
	// because records expired or because it holds only changes, and against a copy from
	// every host.
	DescribeTable("are written by one host at a time and early enough, also after an outage", func(every int) {
		inVirtualTimeWith(9, Options{ReadWait: 20 * time.Second, MaxAge: time.Minute}, func(env *testEnv) {
			first := env.hosts[0]
			Expect(first.publish(0, "x").Kind).To(Equal(Accepted))
			changes := 1
			for minute := range 12 * 60 {
				env.log.SetDown(minute >= 300 && minute < 330)
				time.Sleep(time.Minute)
				env.log.Expire(stream, time.Hour)
				if minute == 600 {
					first.restart(0)
					time.Sleep(time.Second)
				}
				if minute%every == 0 && first.publish(first.version(), fmt.Sprint(minute)).Kind == Accepted {
					changes++
				}
			}
			Expect(env.log.Appends(stream)-changes).To(BeNumerically("~", 32, 4), "one in 20 to 25 min for all hosts")
			version := first.version()
			for i, h := range env.hosts {
				h.restart(i)
			}
			time.Sleep(time.Second)
			for _, h := range env.hosts {
				Expect([]any{h.version(), h.MayServe()}).To(Equal([]any{version, nil}))
			}
		})()
	},
		Entry("with few changes", 500),
		Entry("with a change each 8 min", 8),
	)

	// Guards against losing the version when all hosts restart more often than copies are
	// due.
	It("are written early when the last copy is the next record to expire", inVirtualTime(func(env *testEnv, a, b, c *testHost) {
		env.log.Put(stream, changeRecord(0, "x"), copyRecord(1, 1, "x"))
		env.log.Trim(stream, 2)
		for i, h := range []*testHost{a, b, c} {
			h.restart(i)
		}
		time.Sleep(6 * time.Minute)
		Expect(env.log.Records(stream)).To(HaveLen(2))
	}))
})
