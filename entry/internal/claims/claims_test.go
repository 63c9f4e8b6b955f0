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
	randomPart = "abcdefgh"
	stream     = logsvc.StreamClaims
)

var _ claims.Log = (*logsvc.Client)(nil)

func counter(name string) int64 { return expvar.Get(name).(*expvar.Int).Value() }

// grant acquires the claim of a new ID on n without competition.
func grant(n *claims.Controller) (claims.Request, *claims.Ticket) {
	GinkgoHelper()
	req := request(id(n, randomPart))
	d := acquire(n, req)
	Expect(d.Kind).To(Equal(claims.Granted))
	return req, d.Ticket
}

var _ = Describe("a claim", func() {
	bg := context.Background()

	It("runs once and answers a repeat on another host with the result", inVirtualTime(func(env *testEnv, a, b *claims.Controller) {
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

	// Guards against granting a claim whose record is not the first of its key.
	It("is granted to one of several hosts that race", inVirtualTime(func(env *testEnv, a, b *claims.Controller) {
		c := env.start(claims.Options{Host: "c"})
		got := kinds(acquireAll(request(id(a, randomPart)), a, b, c))
		Expect(got).To(ConsistOf(claims.Granted, claims.Taken, claims.Taken))
	}))

	// Guards against granting both of two calls for one key on one host: no record is
	// in the stream yet when the second starts.
	It("is not shared by two calls on one host", inVirtualTime(func(env *testEnv, a, _ *claims.Controller) {
		req := request(id(a, randomPart))
		Expect(kinds(acquireAll(req, a, a))).To(ConsistOf(claims.Granted, claims.Taken))
		Expect(env.log.Records(stream)).To(HaveLen(1), "the second call is decided without the log")
	}))

	DescribeTable("conflicts with a claim of the same id and another body", func(open bool) {
		inVirtualTime(func(env *testEnv, a, b *claims.Controller) {
			req, other := request(id(a, randomPart)), request(id(a, randomPart))
			other.BodyHash = "h2"
			other.Stage = "pay"
			if open {
				env.log.SetDown(true)
				go acquire(a, req)
				time.Sleep(time.Millisecond)
			} else {
				Expect(acquire(b, req).Kind).To(Equal(claims.Granted))
				time.Sleep(50 * time.Millisecond)
			}
			Expect(acquire(a, other).Kind).To(Equal(claims.Conflict))
		})()
	},
		Entry("that is open on the same host", true),
		Entry("that another host has written", false),
	)

	// Guards against running two stages for two bodies of one ID, since each claim is
	// the first of its stage.
	It("conflicts with a claim for another body that is written at the same time", inVirtualTime(func(env *testEnv, a, b *claims.Controller) {
		req, other := request(id(a, randomPart)), request(id(a, randomPart))
		other.BodyHash, other.Stage = "h2", "pay"
		done := make(chan claims.Kind)
		go func() { done <- acquire(a, req).Kind }()
		go func() { done <- acquire(b, other).Kind }()
		Expect([]claims.Kind{<-done, <-done}).To(ConsistOf(claims.Granted, claims.Conflict))
	}))

	It("of another stage of the same request is separate", inVirtualTime(func(env *testEnv, a, _ *claims.Controller) {
		req, _ := grant(a)
		req.Stage = "pay"
		Expect(acquire(a, req).Kind).To(Equal(claims.Granted))
	}))

	// Guards against a restarted process that treats its predecessor's claim as its own.
	It("of an earlier incarnation of the host is taken", inVirtualTime(func(env *testEnv, _, _ *claims.Controller) {
		a := env.start(claims.Options{Host: "a", Incarnation: 1})
		req, _ := grant(a)
		a.Close()
		for _, incarnation := range []uint64{2, 1} {
			again := env.start(claims.Options{Host: "a", Incarnation: incarnation})
			Expect(acquire(again, req).Kind).To(Equal(claims.Taken))
		}
	}))

	It("limits the host to 50 appends a second", inVirtualTime(func(env *testEnv, a, _ *claims.Controller) {
		prefix, began := id(a, ""), time.Now()
		done := make(chan claims.Kind)
		const calls = 2000
		for i := range calls {
			go func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				done <- acquire(a, request(prefix+randomPart+strings.Repeat("x", i%50)+string(rune('a'+i/50%26))+string(rune('a'+i/1300)))).Kind
			}()
		}
		for range calls {
			Expect(<-done).To(Equal(claims.Granted))
		}
		seconds := time.Since(began).Seconds()
		Expect(float64(env.log.Appends(stream))).To(BeNumerically("<=", 50*seconds+1))
	}))
})

var _ = Describe("a ticket", func() {
	bg := context.Background()

	// Guards against making two calls under one claim.
	It("can be confirmed once only", inVirtualTime(func(env *testEnv, a, _ *claims.Controller) {
		_, ticket := grant(a)
		Expect(ticket.Confirm()).To(Succeed())
		Expect(func() { _ = ticket.Confirm() }).To(PanicWith(BeAssignableToTypeOf(invar.ViolationError{})))
	}))

	// Guards against a late call by a process that was paused between the claim and the
	// send.
	It("can't be confirmed after the deadline, nor once released", inVirtualTime(func(env *testEnv, a, b *claims.Controller) {
		req, ticket := grant(a)
		time.Sleep(5 * time.Second)
		Expect(ticket.Confirm()).To(MatchError(claims.ErrDeadline))
		Expect(ticket.Release(bg)).To(Succeed())
		Expect(ticket.Confirm()).To(MatchError(claims.ErrReleased))
		time.Sleep(50 * time.Millisecond)
		Expect(acquire(b, req).Kind).To(Equal(claims.Released))
	}))

	It("can't be confirmed once the controller is closed", inVirtualTime(func(env *testEnv, a, _ *claims.Controller) {
		_, ticket := grant(a)
		a.Close()
		Expect(ticket.Confirm()).To(MatchError(claims.ErrClosed))
		Expect(acquire(a, request("1-"+randomPart)).Kind).To(Equal(claims.LogDown))
	}))

	It("records the digest of a result that is too large", inVirtualTime(func(env *testEnv, a, _ *claims.Controller) {
		req, ticket := grant(a)
		Expect(ticket.Confirm()).To(Succeed())
		Expect(ticket.Finish(bg, strings.Repeat("x", 4097))).To(Succeed())
		time.Sleep(50 * time.Millisecond)
		again := acquire(a, req)
		Expect(again.Kind).To(Equal(claims.Done))
		Expect(again.Result).To(BeEmpty())
		Expect(again.Digest).To(HavePrefix("sha256:"))
	}))

	// Guards against losing a result with its append: a repeat would then get an unknown
	// outcome.
	It("has its done record written again when a read to the end does not find it", inVirtualTime(func(env *testEnv, a, b *claims.Controller) {
		req, ticket := grant(a)
		Expect(ticket.Confirm()).To(Succeed())
		env.log.Inject(memlog.LoseAppend)
		ctx, cancel := context.WithTimeout(bg, 5*time.Second)
		defer cancel()
		Expect(ticket.Finish(ctx, "booked")).To(Succeed())
		time.Sleep(50 * time.Millisecond)
		Expect(acquire(b, req).Kind).To(Equal(claims.Done))
	}))
})

var _ = Describe("with a faulty log", func() {
	bg := context.Background()

	It("refuses claims during an outage, and the key stays free", inVirtualTime(func(env *testEnv, a, _ *claims.Controller) {
		req := request(id(a, randomPart))
		env.log.SetDown(true)
		Expect(acquire(a, req).Kind).To(Equal(claims.LogDown))
		time.Sleep(10 * time.Second)
		began := time.Now()
		Expect(acquire(a, req).Kind).To(Equal(claims.LogDown))
		Expect(time.Since(began)).To(BeZero(), "a long outage is refused at once")
		env.log.SetDown(false)
		time.Sleep(time.Second)
		Expect(acquire(a, req).Kind).To(Equal(claims.Granted))
	}))

	// Guards against writing a claim twice because the response to the append was lost.
	It("a claim whose append response was lost is decided by reading it back", inVirtualTime(func(env *testEnv, a, _ *claims.Controller) {
		env.log.Inject(memlog.LoseResponse)
		Expect(acquire(a, request(id(a, randomPart))).Kind).To(Equal(claims.Granted))
		Expect(env.log.Records(stream)).To(HaveLen(1))
	}))

	// Guards against granting a claim after its caller was told that nothing was run.
	It("a claim that lands after the refusal is never granted and is released", inVirtualTime(func(env *testEnv, a, b *claims.Controller) {
		req := request(id(a, randomPart))
		env.log.Inject(memlog.DelayAppend)
		d := acquire(a, req)
		Expect([]any{d.Kind, d.Ticket}).To(Equal([]any{claims.LogDown, (*claims.Ticket)(nil)}))
		time.Sleep(3 * time.Second)
		Expect(acquire(a, req).Kind).To(Equal(claims.Released))
		Expect(acquire(b, req).Kind).To(Equal(claims.Released))
	}))

	It("a host restarted during an outage issues no position and claims nothing", inVirtualTime(func(env *testEnv, _, _ *claims.Controller) {
		env.log.SetDown(true)
		a := env.start(claims.Options{Host: "a", Incarnation: 2})
		_, ok := a.Position()
		Expect(ok).To(BeFalse())
		Expect(acquire(a, request("1-"+randomPart)).Kind).To(Equal(claims.LogDown))
		Expect(a.Status().Ready).To(BeTrue(), "requests without a claim can be served")
		env.log.SetDown(false)
		time.Sleep(time.Second)
		Expect(acquire(a, request("1-"+randomPart)).Kind).To(Equal(claims.Granted))
	}))

	// Guards against a host that missed the first claim of a key, because its record
	// expired, and treats its own later claim as the first.
	DescribeTable("an id from before the records kept is unknown", func(restart bool) {
		inVirtualTime(func(env *testEnv, a, b *claims.Controller) {
			client := env.clients[1]
			req := request(id(a, randomPart))
			client.SetDisconnected(true)
			time.Sleep(2 * time.Second)
			Expect(acquire(a, req).Kind).To(Equal(claims.Granted))
			for range 3 {
				env.log.Put(stream, []byte("other"))
			}
			env.log.Trim(stream, 3)
			if restart {
				b.Close()
				b = env.start(claims.Options{Host: "b"})
			}
			client.SetDisconnected(false)
			time.Sleep(time.Second)
			records := env.log.Records(stream)
			Expect(acquire(b, req).Kind).To(Equal(claims.Expired))
			Expect(env.log.Records(stream)).To(Equal(records), "nothing is claimed")
			Expect(acquire(b, request(id(b, randomPart))).Kind).To(Equal(claims.Granted), "a new id is not affected")
		})()
	},
		Entry("to a reader that lagged", false),
		Entry("to a reader that starts", true),
	)

	// Guards against granting an open claim whose key another host claimed in records
	// that expired before this host read them.
	DescribeTable("a gap expires the open claims from before it", func(first int64) {
		inVirtualTime(func(env *testEnv, a, b *claims.Controller) {
			client := env.clients[1]
			req := request(id(a, randomPart))
			client.SetPaused(true)
			time.Sleep(1200 * time.Millisecond) // The read in flight has ended without a record.
			Expect(acquire(a, req).Kind).To(Equal(claims.Granted))
			done := make(chan claims.Decision)
			go func() { done <- acquire(b, req) }()
			time.Sleep(50 * time.Millisecond)
			env.log.Put(stream, []byte("other"))
			env.log.Trim(stream, first)
			client.SetPaused(false)
			Expect((<-done).Kind).To(Equal(claims.Expired))
			time.Sleep(50 * time.Millisecond)
			Expect(acquire(b, req).Kind).To(Equal(claims.Expired), "the claim read back does not count as the first")
		})()
	},
		Entry("that holds only the other claim", int64(2)),
		Entry("that holds the own claim too", int64(3)),
	)

	// Guards against an outage that repeats the same log line.
	It("failures are logged at most once in 10 s", inVirtualTime(func(env *testEnv, _, _ *claims.Controller) {
		lines, client := 0, env.log.NewClient()
		n := claims.New(claims.Options{Host: "c"}, client, funcr.New(func(string, string) { lines++ }, funcr.Options{}))
		for i := range 20 {
			time.Sleep(time.Second)
			client.SetDisconnected(i%2 == 0 || i < 10)
		}
		n.Close()
		Expect(lines).To(Equal(4), "the start and end of the long failure and of one short one")
	}))

	// Guards against a reader that repeats a failed read without a pause.
	It("pages that lack the requested records are refused", inVirtualTime(func(env *testEnv, _, _ *claims.Controller) {
		before := counter("claims_bad_pages_count")
		env.log.OmitFirst(1)
		env.log.Put(stream, nil)
		time.Sleep(2 * time.Second)
		Expect(counter("claims_bad_pages_count")-before).To(BeNumerically("~", 40, 4), "two hosts, each at RetryPause")
	}))

	// Guards against a first claim that is missing from a page without being expired.
	It("a gap within a page expires the ids from before it", inVirtualTime(func(env *testEnv, a, b *claims.Controller) {
		env.clients[1].SetDisconnected(true)
		time.Sleep(1500 * time.Millisecond)
		req, _ := grant(a)
		env.log.OmitFirst(1)
		env.log.Put(stream, nil)
		env.clients[1].SetDisconnected(false)
		time.Sleep(time.Second)
		env.log.OmitFirst(0)
		Expect(acquire(b, req).Kind).To(Equal(claims.Expired))
	}))

	It("unreadable records are skipped and a stream that restarts from 1 is refused", inVirtualTime(func(env *testEnv, a, b *claims.Controller) {
		b.Close() // The counter covers the whole process.
		before := counter("claims_unreadable_count")
		env.log.Put(stream, []byte("{}"), nil, []byte{0xa1})
		req, ticket := grant(a)
		Expect(counter("claims_unreadable_count")-before).To(BeEquivalentTo(3), "counted")
		env.log.Reset(stream)
		time.Sleep(3 * time.Second)
		Expect(acquire(a, request("1-ijklmnop")).Kind).To(Equal(claims.LogDown))
		Expect(acquire(a, req).Kind).To(Equal(claims.Taken), "records read before stay indexed")
		Expect(ticket.Release(bg)).To(Succeed())
	}))
})

var _ = Describe("a position", func() {
	It("that another host has issued is waited for", inVirtualTime(func(env *testEnv, a, b *claims.Controller) {
		client := env.clients[1]
		client.SetPaused(true)
		time.Sleep(1200 * time.Millisecond) // The read in flight has ended without a record.
		Expect(acquire(a, request(id(a, randomPart))).Kind).To(Equal(claims.Granted))
		done := make(chan claims.Decision)
		go func() { done <- acquire(b, request(id(a, "ijklmnop"))) }()
		time.Sleep(500 * time.Millisecond)
		client.SetPaused(false)
		Expect((<-done).Kind).To(Equal(claims.Granted))
	}))

	// Guards against an ID whose claims could be recorded below its position, where the
	// index would not cover them.
	It("that was never issued is invalid", inVirtualTime(func(env *testEnv, _, _ *claims.Controller) {
		a := env.start(claims.Options{Host: "a", AcquireTimeout: 3 * time.Second})
		Expect(acquire(a, request("2-"+randomPart)).Kind).To(Equal(claims.Invalid))
		Expect(env.log.Records(stream)).To(BeEmpty())
	}))

	It("below the floor of the index is expired", inVirtualTime(func(env *testEnv, _, _ *claims.Controller) {
		a := env.start(claims.Options{Host: "a", MaxHistory: 4})
		b := env.start(claims.Options{Host: "b", MaxIndexBytes: 1})
		req, _ := grant(a)
		env.log.Put(stream, nil, nil, nil, nil)
		time.Sleep(50 * time.Millisecond)
		Expect([]claims.Kind{acquire(a, req).Kind, acquire(b, req).Kind}).To(Equal([]claims.Kind{claims.Expired, claims.Expired}))
		for _, n := range []*claims.Controller{a, b} {
			d := n.Status().Detail.(claims.Detail)
			Expect([]int{d.Keys, d.Bytes}).To(HaveEach(0), "the index is empty")
		}
	}))

	DescribeTable("is parsed strictly", func(id string, want int64) {
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
