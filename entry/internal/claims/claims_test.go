package claims_test

import (
	"context"
	"expvar"
	"strings"
	"time"

	"github.com/go-logr/logr/funcr"

	"chivepost/entry/internal/claims"
	"chivepost/entry/internal/invar"
	"chivepost/entry/internal/memlog"
	"chivepost/share/logsvc"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	random = "abcdefgh"
	stream = logsvc.StreamClaims
)

var _ claims.Log = (*logsvc.Client)(nil)

func counter(name string) int64 { return expvar.Get(name).(*expvar.Int).Value() }

// grant claims a new id on n, which nobody else does.
func grant(n *claims.Controller) (claims.Request, *claims.Ticket) {
	GinkgoHelper()
	req := request(id(n, random))
	d := acquire(n, req)
	Expect(d.Kind).To(Equal(claims.Granted))
	return req, d.Ticket
}

var _ = Describe("a claim", func() {
	bg := context.Background()

	It("runs once and answers a repeat on another node with the result", virtual(func(w *world, a, b *claims.Controller) {
		req, ticket := grant(a)
		Expect(acquire(b, req).Kind).To(Equal(claims.Taken), "before the result is recorded")
		Expect(ticket.Finish(bg, "early")).To(MatchError(claims.ErrInvalidState))
		Expect(ticket.Confirm()).To(Succeed())
		Expect(ticket.Release(bg)).To(MatchError(claims.ErrInvalidState), "a sent call can't be released")
		Expect(ticket.Finish(bg, "booked")).To(Succeed())
		time.Sleep(50 * time.Millisecond)
		again := acquire(b, req)
		Expect([]any{again.Kind, again.Result, again.Host}).To(Equal([]any{claims.Done, "booked", "a"}))
	}))

	// Guards against acting on an append that is not the first of its key.
	It("is granted to one of several nodes that race", virtual(func(w *world, a, b *claims.Controller) {
		c := w.start(claims.Options{Host: "c"})
		got := kinds(acquireAll(request(id(a, random)), a, b, c))
		Expect(got).To(ConsistOf(claims.Granted, claims.Taken, claims.Taken))
	}))

	// Guards against two calls for one key on one node, where the second would find
	// nothing in the stream yet.
	It("is not shared by two calls on one node", virtual(func(w *world, a, _ *claims.Controller) {
		req := request(id(a, random))
		Expect(kinds(acquireAll(req, a, a))).To(ConsistOf(claims.Granted, claims.Taken))
		Expect(w.log.Records(stream)).To(HaveLen(1), "the second is decided without the log")
	}))

	DescribeTable("conflicts with a claim of the same id and another body", func(open bool) {
		virtual(func(w *world, a, b *claims.Controller) {
			req, other := request(id(a, random)), request(id(a, random))
			other.BodyHash = "h2"
			other.Stage = "pay"
			if open {
				w.log.SetDown(true)
				go acquire(a, req)
				time.Sleep(time.Millisecond)
			} else {
				Expect(acquire(b, req).Kind).To(Equal(claims.Granted))
				time.Sleep(50 * time.Millisecond)
			}
			Expect(acquire(a, other).Kind).To(Equal(claims.Conflict))
		})()
	},
		Entry("that is open on the same node", true),
		Entry("that another node has written", false),
	)

	// Guards against two stages that run for two bodies of one id: each claim is the
	// first of its stage.
	It("conflicts with one of another body that is written at the same moment", virtual(func(w *world, a, b *claims.Controller) {
		req, other := request(id(a, random)), request(id(a, random))
		other.BodyHash, other.Stage = "h2", "pay"
		done := make(chan claims.Kind)
		go func() { done <- acquire(a, req).Kind }()
		go func() { done <- acquire(b, other).Kind }()
		Expect([]claims.Kind{<-done, <-done}).To(ConsistOf(claims.Granted, claims.Conflict))
	}))

	It("of another stage of the same request is separate", virtual(func(w *world, a, _ *claims.Controller) {
		req, _ := grant(a)
		req.Stage = "pay"
		Expect(acquire(a, req).Kind).To(Equal(claims.Granted))
	}))

	// Guards against a restarted process that takes its predecessor's claim for its own.
	It("of an earlier incarnation of the host is taken", virtual(func(w *world, _, _ *claims.Controller) {
		a := w.start(claims.Options{Host: "a", Incarnation: 1})
		req, _ := grant(a)
		a.Close()
		for _, incarnation := range []uint64{2, 1} {
			again := w.start(claims.Options{Host: "a", Incarnation: incarnation})
			Expect(acquire(again, req).Kind).To(Equal(claims.Taken))
		}
	}))

	It("keeps the node at 50 appends a second", virtual(func(w *world, a, _ *claims.Controller) {
		prefix, began := id(a, ""), time.Now()
		done := make(chan claims.Kind)
		const calls = 2000
		for i := range calls {
			go func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				done <- acquire(a, request(prefix+random+strings.Repeat("x", i%50)+string(rune('a'+i/50%26))+string(rune('a'+i/1300)))).Kind
			}()
		}
		for range calls {
			Expect(<-done).To(Equal(claims.Granted))
		}
		seconds := time.Since(began).Seconds()
		Expect(float64(w.log.Appends(stream))).To(BeNumerically("<=", 50*seconds+1))
	}))
})

var _ = Describe("a ticket", func() {
	bg := context.Background()

	// Guards against a call that is made twice under one claim.
	It("can be confirmed once only", virtual(func(w *world, a, _ *claims.Controller) {
		_, ticket := grant(a)
		Expect(ticket.Confirm()).To(Succeed())
		Expect(func() { _ = ticket.Confirm() }).To(PanicWith(BeAssignableToTypeOf(invar.BreachError{})))
	}))

	// Guards against a process that was paused between the claim and the send.
	It("is refused after the deadline, then released for good", virtual(func(w *world, a, b *claims.Controller) {
		req, ticket := grant(a)
		time.Sleep(5 * time.Second)
		Expect(ticket.Confirm()).To(MatchError(claims.ErrDeadline))
		Expect(ticket.Release(bg)).To(Succeed())
		Expect(ticket.Confirm()).To(MatchError(claims.ErrReleased))
		time.Sleep(50 * time.Millisecond)
		Expect(acquire(b, req).Kind).To(Equal(claims.Released))
	}))

	It("is refused once the controller is closed", virtual(func(w *world, a, _ *claims.Controller) {
		_, ticket := grant(a)
		a.Close()
		Expect(ticket.Confirm()).To(MatchError(claims.ErrClosed))
		Expect(acquire(a, request("1-"+random)).Kind).To(Equal(claims.LogDown))
	}))

	It("records the digest of a result that is too large", virtual(func(w *world, a, _ *claims.Controller) {
		req, ticket := grant(a)
		Expect(ticket.Confirm()).To(Succeed())
		Expect(ticket.Finish(bg, strings.Repeat("x", 4097))).To(Succeed())
		time.Sleep(50 * time.Millisecond)
		again := acquire(a, req)
		Expect(again.Kind).To(Equal(claims.Done))
		Expect(again.Result).To(BeEmpty())
		Expect(again.Digest).To(HavePrefix("sha256:"))
	}))

	// Guards against a result that is lost with an append, so that a repeat gets unknown.
	It("has its done record written again when a read to the end does not show it", virtual(func(w *world, a, b *claims.Controller) {
		req, ticket := grant(a)
		Expect(ticket.Confirm()).To(Succeed())
		w.log.Inject(memlog.LoseAppend)
		ctx, cancel := context.WithTimeout(bg, 5*time.Second)
		defer cancel()
		Expect(ticket.Finish(ctx, "booked")).To(Succeed())
		time.Sleep(50 * time.Millisecond)
		Expect(acquire(b, req).Kind).To(Equal(claims.Done))
	}))
})

var _ = Describe("with a faulty log", func() {
	bg := context.Background()

	It("an outage refuses claims as not run, and the key stays free", virtual(func(w *world, a, _ *claims.Controller) {
		req := request(id(a, random))
		w.log.SetDown(true)
		Expect(acquire(a, req).Kind).To(Equal(claims.LogDown))
		time.Sleep(10 * time.Second)
		began := time.Now()
		Expect(acquire(a, req).Kind).To(Equal(claims.LogDown))
		Expect(time.Since(began)).To(BeZero(), "a long outage is refused at once")
		w.log.SetDown(false)
		time.Sleep(time.Second)
		Expect(acquire(a, req).Kind).To(Equal(claims.Granted))
	}))

	// Guards against writing a claim twice because the answer to the append was lost.
	It("a lost answer is settled by reading the claim back", virtual(func(w *world, a, _ *claims.Controller) {
		w.log.Inject(memlog.LoseAnswer)
		Expect(acquire(a, request(id(a, random))).Kind).To(Equal(claims.Granted))
		Expect(w.log.Records(stream)).To(HaveLen(1))
	}))

	// Guards against acting on a claim whose caller has been told that nothing was run.
	It("a claim that lands after the refusal is never granted and is released", virtual(func(w *world, a, b *claims.Controller) {
		req := request(id(a, random))
		w.log.Inject(memlog.LandLate)
		d := acquire(a, req)
		Expect([]any{d.Kind, d.Ticket}).To(Equal([]any{claims.LogDown, (*claims.Ticket)(nil)}))
		time.Sleep(3 * time.Second)
		Expect(acquire(a, req).Kind).To(Equal(claims.Released))
		Expect(acquire(b, req).Kind).To(Equal(claims.Released))
	}))

	It("a restart in an outage gives out no position and claims nothing", virtual(func(w *world, _, _ *claims.Controller) {
		w.log.SetDown(true)
		a := w.start(claims.Options{Host: "a", Incarnation: 2})
		_, ok := a.Position()
		Expect(ok).To(BeFalse())
		Expect(acquire(a, request("1-"+random)).Kind).To(Equal(claims.LogDown))
		Expect(a.Status().Ready).To(BeTrue(), "requests without a claim can be served")
		w.log.SetDown(false)
		time.Sleep(time.Second)
		Expect(acquire(a, request("1-"+random)).Kind).To(Equal(claims.Granted))
	}))

	// Guards against a node that missed the first claim of a key because its record
	// expired, and takes its own later claim for the first.
	DescribeTable("an id from before the records kept is unknown", func(restart bool) {
		virtual(func(w *world, a, b *claims.Controller) {
			link := w.links[1]
			req := request(id(a, random))
			link.SetCut(true)
			time.Sleep(2 * time.Second)
			Expect(acquire(a, req).Kind).To(Equal(claims.Granted))
			for range 3 {
				w.log.Put(stream, []byte("other"))
			}
			w.log.Trim(stream, 3)
			if restart {
				b.Close()
				b = w.start(claims.Options{Host: "b"})
			}
			link.SetCut(false)
			time.Sleep(time.Second)
			records := w.log.Records(stream)
			Expect(acquire(b, req).Kind).To(Equal(claims.Expired))
			Expect(w.log.Records(stream)).To(Equal(records), "nothing is claimed")
			Expect(acquire(b, request(id(b, random))).Kind).To(Equal(claims.Granted), "a new id is fine")
		})()
	},
		Entry("to a reader that lagged", false),
		Entry("to a reader that starts", true),
	)

	// Guards against an open claim whose key was claimed by another node in records
	// that expired before this node read them.
	DescribeTable("a gap ends the open claims from before it as unknown", func(first int64) {
		virtual(func(w *world, a, b *claims.Controller) {
			link := w.links[1]
			req := request(id(a, random))
			link.SetPaused(true)
			time.Sleep(1200 * time.Millisecond) // The read in flight has ended without a record.
			Expect(acquire(a, req).Kind).To(Equal(claims.Granted))
			done := make(chan claims.Decision)
			go func() { done <- acquire(b, req) }()
			time.Sleep(50 * time.Millisecond)
			w.log.Put(stream, []byte("other"))
			w.log.Trim(stream, first)
			link.SetPaused(false)
			Expect((<-done).Kind).To(Equal(claims.Expired))
			time.Sleep(50 * time.Millisecond)
			Expect(acquire(b, req).Kind).To(Equal(claims.Expired), "the claim read back is not taken for the first")
		})()
	},
		Entry("that holds only the other claim", int64(2)),
		Entry("that holds the own claim too", int64(3)),
	)

	// Guards against an outage that fills the log with the same line.
	It("failures are logged once in 10 s", virtual(func(w *world, _, _ *claims.Controller) {
		lines, link := 0, w.log.Handle()
		n := claims.New(claims.Options{Host: "c"}, link, funcr.New(func(string, string) { lines++ }, funcr.Options{}))
		for i := range 20 {
			time.Sleep(time.Second)
			link.SetCut(i%2 == 0 || i < 10)
		}
		n.Close()
		Expect(lines).To(Equal(4), "the start and end of the long failure and of one short one")
	}))

	// Guards against a reader that asks again without a pause.
	It("pages without the records due are refused", virtual(func(w *world, _, _ *claims.Controller) {
		before := counter("claims_bad_pages_count")
		w.log.SetHollow(1)
		w.log.Put(stream, nil)
		time.Sleep(2 * time.Second)
		Expect(counter("claims_bad_pages_count")-before).To(BeNumerically("~", 40, 4), "two nodes, each at RetryPause")
	}))

	// Guards against a first claim that is missing from a page without being expired.
	It("a hole in a page makes the ids from before it unknown", virtual(func(w *world, a, b *claims.Controller) {
		w.links[1].SetCut(true)
		time.Sleep(1500 * time.Millisecond)
		req, _ := grant(a)
		w.log.SetHollow(1)
		w.log.Put(stream, nil)
		w.links[1].SetCut(false)
		time.Sleep(time.Second)
		w.log.SetHollow(0)
		Expect(acquire(b, req).Kind).To(Equal(claims.Expired))
	}))

	It("unreadable records are skipped and a stream that starts again is refused", virtual(func(w *world, a, b *claims.Controller) {
		b.Close() // The count is that of the whole process.
		before := counter("claims_unreadable_count")
		w.log.Put(stream, []byte("{}"), nil, []byte{0xa1})
		req, ticket := grant(a)
		Expect(counter("claims_unreadable_count")-before).To(BeEquivalentTo(3), "counted")
		w.log.Reset(stream)
		time.Sleep(3 * time.Second)
		Expect(acquire(a, request("1-ijklmnop")).Kind).To(Equal(claims.LogDown))
		Expect(acquire(a, req).Kind).To(Equal(claims.Taken), "what was read is kept")
		Expect(ticket.Release(bg)).To(Succeed())
	}))
})

var _ = Describe("a position", func() {
	It("that another node has given out is waited for", virtual(func(w *world, a, b *claims.Controller) {
		link := w.links[1]
		link.SetPaused(true)
		time.Sleep(1200 * time.Millisecond) // The read in flight has ended without a record.
		Expect(acquire(a, request(id(a, random))).Kind).To(Equal(claims.Granted))
		done := make(chan claims.Decision)
		go func() { done <- acquire(b, request(id(a, "ijklmnop"))) }()
		time.Sleep(500 * time.Millisecond)
		link.SetPaused(false)
		Expect((<-done).Kind).To(Equal(claims.Granted))
	}))

	// Guards against an id whose claims could lie below its position, which the index
	// would not cover.
	It("that was never given out is invalid", virtual(func(w *world, _, _ *claims.Controller) {
		a := w.start(claims.Options{Host: "a", AcquireTimeout: 3 * time.Second})
		Expect(acquire(a, request("2-"+random)).Kind).To(Equal(claims.Invalid))
		Expect(w.log.Records(stream)).To(BeEmpty())
	}))

	It("below the bounds of the index is expired", virtual(func(w *world, _, _ *claims.Controller) {
		a := w.start(claims.Options{Host: "a", MaxHistory: 4})
		b := w.start(claims.Options{Host: "b", MaxIndexBytes: 1})
		req, _ := grant(a)
		w.log.Put(stream, nil, nil, nil, nil)
		time.Sleep(50 * time.Millisecond)
		Expect([]claims.Kind{acquire(a, req).Kind, acquire(b, req).Kind}).To(Equal([]claims.Kind{claims.Expired, claims.Expired}))
		for _, n := range []*claims.Controller{a, b} {
			d := n.Status().Detail.(claims.Detail)
			Expect([]int{d.Keys, d.Bytes}).To(HaveEach(0), "nothing is kept")
		}
	}))

	DescribeTable("is read strictly", func(id string, want int64) {
		position, err := claims.ParseID(id)
		Expect(position).To(Equal(want))
		Expect(err == nil).To(Equal(want > 0))
	},
		Entry("plain", "17-abcDEF09", int64(17)),
		Entry("leading zero", "017-abcdefgh", int64(0)),
		Entry("sign", "+17-abcdefgh", int64(0)),
		Entry("zero", "0-abcdefgh", int64(0)),
		Entry("overflow", "9223372036854775808-abcdefgh", int64(0)),
		Entry("short random part", "17-abcdefg", int64(0)),
		Entry("two hyphens", "17-abcd-efgh", int64(0)),
		Entry("no position", "-abcdefgh", int64(0)),
		Entry("no random part", "17", int64(0)),
		Entry("not ASCII", "17-abcdefgé", int64(0)),
	)
})
