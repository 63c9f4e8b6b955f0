package server_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"chivepost/share/bundle"
	"chivepost/share/target"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var suite *testing.T

func TestServer(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "server")
}

// virtual runs a spec in virtual time.
func virtual(f func()) func() {
	return func() {
		synctest.Test(suite, func(*testing.T) {
			defer GinkgoRecover()
			f()
		})
	}
}

var ctx = context.Background()

var _ = Describe("a target", func() {
	// Guards against a stand-in that forgives too much work in cold start.
	It("bears its cold limit, falls over beyond it and starts anew", virtual(func() {
		b := start(bundle.KindEngine, false)
		defer b.close()
		for _, res := range b.together("a", "b") {
			Expect(res.Err).NotTo(HaveOccurred())
			Expect(res.State).To(Equal(target.StateCold))
		}
		boot := b.Status().Boot
		for _, res := range b.together("c", "d", "e") {
			Expect(res.Err).To(HaveOccurred())
		}
		Expect(b.run(ctx, "f").Err).To(HaveOccurred())
		time.Sleep(3 * time.Second)
		res := b.run(ctx, "g")
		Expect(res.Err).NotTo(HaveOccurred())
		Expect(res.State).To(Equal(target.StateCold))
		Expect(res.Boot).NotTo(Equal(boot))
		time.Sleep(4 * time.Second)
		Expect(b.run(ctx, "h").State).To(Equal(target.StateWarm))
	}))

	// Guards against routing that takes the boot id for the only sign of a cold target.
	It("turns cold on command, in the same boot", virtual(func() {
		b := start(bundle.KindStage, true)
		defer b.close()
		before := b.run(ctx, "a")
		b.faults(`{"cold":true}`)
		after := b.run(ctx, "b")
		Expect(after.State).To(Equal(target.StateCold))
		Expect(after.Boot).To(Equal(before.Boot))
	}))

	// Guards against calls that outlive the process they ran in.
	It("breaks running and waiting calls off when it restarts", virtual(func() {
		b := start(bundle.KindService, true)
		defer b.close()
		done := make(chan target.Result)
		for i := range 6 {
			go func() { done <- b.run(ctx, fmt.Sprint(i)) }()
		}
		synctest.Wait()
		b.faults(`{"restart":true}`)
		for range 6 {
			res := <-done
			Expect(reason(res)).To(Equal(target.ReasonBroken))
			Expect(res.Sent).To(Equal(target.SentMaybe))
		}
		Expect(b.Ledger().Entries).To(BeEmpty())
		Expect(b.Status().Calls).To(Equal(0))
	}))

	// Guards against accelerator time spent on answers that nobody waits for, and
	// against services that forget work when their caller goes away.
	It("stops an engine's call when the caller goes away, but not a service's", virtual(func() {
		for kind, executed := range map[bundle.Kind]int{bundle.KindEngine: 0, bundle.KindService: 1} {
			b := start(kind, true)
			gone, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
			Expect(reason(b.run(gone, "a"))).To(Equal(target.ReasonTimeout))
			cancel()
			synctest.Wait()
			Expect(b.Status().Calls).To(Equal(executed))
			time.Sleep(time.Second)
			Expect(b.Status().Calls).To(Equal(0))
			Expect(b.Ledger().Entries).To(HaveLen(executed))
			b.close()
		}
	}))

	// Guards against a ledger that misses a second execution or one without an answer.
	It("counts each execution of the same work", virtual(func() {
		b := start(bundle.KindService, true)
		defer b.close()
		input := target.NewInput("p", "w", "q")
		Expect(b.runInput(ctx, "r1", input).Output).To(Equal(target.Expected(b.kind, "pool", input)))
		b.faults(`{"lose_answers":1}`)
		Expect(reason(b.runInput(ctx, "r2", input))).To(Equal(target.ReasonBroken))
		b.faults(`{"lose_answers":0,"fail":1}`)
		Expect(reason(b.runInput(ctx, "r3", input))).To(Equal(target.ReasonStatus))
		Expect(b.Ledger().Entries).To(Equal([]target.LedgerEntry{{ID: "w", Pool: "pool", Count: 2}}))
	}))

	DescribeTable("shows each fault to the client",
		func(faults string, want ...target.Reason) {
			virtual(func() {
				for _, kind := range []bundle.Kind{bundle.KindEngine, bundle.KindStage} {
					b := start(kind, true)
					b.run(ctx, "before")
					b.faults(faults)
					for i := range 8 {
						Expect(reason(b.run(ctx, fmt.Sprint(i)))).To(BeElementOf(want), "%s, call %d", kind, i)
					}
					b.close()
				}
			})()
		},
		Entry("crossed answers", `{"crossed":1}`, target.ReasonEcho),
		Entry("truncated answers", `{"truncated":1}`, target.ReasonIncomplete),
		Entry("failures", `{"fail":1}`, target.ReasonStatus),
		Entry("refusals", `{"refuse":1}`, target.ReasonNotRun),
		Entry("down", `{"down":true}`, target.ReasonBroken),
		Entry("cut off", `{"cut":["near"]}`, target.ReasonBroken),
	)

	// Guards against faults that depend on the order of calls.
	It("strikes the same calls each time", virtual(func() {
		hits := map[string]int{}
		for range 2 {
			b := start(bundle.KindStage, true)
			b.faults(`{"fail":0.5}`)
			for i := range 40 {
				id := fmt.Sprint(i)
				if b.run(ctx, id).Err != nil {
					hits[id]++
				}
			}
			b.close()
		}
		Expect(len(hits)).To(And(BeNumerically(">", 10), BeNumerically("<", 30)))
		for id, n := range hits {
			Expect(n).To(Equal(2), "call %s", id)
		}
	}))

	// Guards against a rejected order that still moves the fence.
	It("refuses orders with an old fence", virtual(func() {
		b := start(bundle.KindEngine, true)
		defer b.close()
		Expect(b.post("/v1/orders", `{"fence":5,"kind":"load","model":"m"}`)).To(Equal(http.StatusOK))
		Expect(b.Status().State).To(Equal(target.StateCold))
		Expect(b.post("/v1/orders", `{"fence":4,"kind":"load","model":"n"}`)).To(Equal(http.StatusConflict))
		Expect(b.post("/v1/orders", `{"fence":5,"kind":"unload"}`)).To(Equal(http.StatusOK))
	}))

	// Guards against engines that go on with a cancelled call or resume at another token.
	It("cancels and resumes streams", virtual(func() {
		b := start(bundle.KindEngine, true)
		defer b.close()
		done := make(chan target.Result)
		go func() { done <- b.run(ctx, "a") }()
		time.Sleep(150 * time.Millisecond)
		Expect(b.do(http.MethodDelete, "/v1/completions/a/stage/1", "").Code).To(Equal(http.StatusNoContent))
		Expect(reason(<-done)).To(Equal(target.ReasonIncomplete))
		Expect(b.do(http.MethodDelete, "/v1/completions/a/stage/1", "").Code).To(Equal(http.StatusNotFound))
		whole := target.Pieces(b.kind, "pool", "in")
		resumed := b.do(http.MethodPost, "/v1/completions", `{"prompt":"in","stream":true,"resume_from":3}`).Body.String()
		Expect(strings.Count(resumed, `"finish_reason":null`)).To(Equal(len(whole) - 3))
		Expect(resumed).To(HavePrefix(`data: {"id":"cmpl-","object":"text_completion","choices":[{"index":0,"text":"` + whole[3]))
	}))

	// Guards against an import that saves no work.
	It("takes over exported cache blocks", virtual(func() {
		from, to := start(bundle.KindEngine, true), start(bundle.KindEngine, true)
		defer from.close()
		defer to.close()
		prompt := strings.Repeat("p", 3*target.PrefixBlock) + "|q"
		from.runInput(ctx, "a", prompt)
		exported := from.do(http.MethodPost, "/v1/cache/export", `{"prompt":"`+prompt+`"}`).Body.String()
		Expect(to.post("/v1/cache/import", exported)).To(Equal(http.StatusNoContent))
		Expect(to.runInput(ctx, "b", prompt).Cached).To(Equal(3 * target.PrefixBlock / target.TokenBytes))
	}))

	// Guards against routing that takes a load report for the present.
	It("reports its load with a lag", virtual(func() {
		b := start(bundle.KindStage, true)
		defer b.close()
		time.Sleep(time.Second)
		b.faults(`{"cold":true,"slow":100}`)
		go b.run(ctx, "a")
		synctest.Wait()
		for _, want := range []struct {
			after   time.Duration
			state   target.State
			running int
		}{{0, target.StateWarm, 0}, {600 * time.Millisecond, target.StateCold, 1}} {
			time.Sleep(want.after)
			load, err := b.client.Load(ctx, "t:1")
			Expect(err).NotTo(HaveOccurred())
			Expect(load.State).To(Equal(want.state))
			Expect(load.Running).To(Equal(want.running))
			Expect(load.AsOf.Std()).To(Equal(500 * time.Millisecond))
		}
		time.Sleep(30 * time.Second)
	}))
})

// took returns how long the call took in virtual time.
func took(call func()) time.Duration {
	began := time.Now()
	call()
	return time.Since(began)
}

var _ = Describe("pace", func() {
	// Guards against stand-ins whose times don't grow with load, which would hide
	// the cost of a bad choice of target.
	It("grows with the calls running and shrinks with cached prefixes", virtual(func() {
		b := start(bundle.KindEngine, true)
		defer b.close()
		input := target.NewInput(string(make([]byte, 640)), "w", "question")
		first := took(func() { b.runInput(ctx, "a", input) })
		second := took(func() { b.runInput(ctx, "b", input) })
		Expect(first - second).To(Equal(160 * time.Millisecond))
		alone := took(func() { b.run(ctx, "c") })
		crowded := took(func() { b.together("c", "c", "c", "c") })
		Expect(crowded).To(BeNumerically(">", alone*3/2))
	}))

	// Guards against links between data centres that cost nothing.
	It("includes the link both ways", virtual(func() {
		b := start(bundle.KindStage, true)
		defer b.close()
		near := took(func() { b.run(ctx, "a") })
		r, err := http.NewRequest(http.MethodGet, "/v1/load", http.NoBody)
		Expect(err).NotTo(HaveOccurred())
		Expect(near).To(Equal(100 * time.Millisecond))
		r.Header.Set(target.HeaderDataCentre, "far")
		Expect(took(func() { b.get(r) })).To(Equal(40 * time.Millisecond))
	}))
})
