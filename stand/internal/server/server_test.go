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

// inVirtualTime runs a spec in virtual time.
func inVirtualTime(f func()) func() {
	return func() {
		synctest.Test(suite, func(*testing.T) {
			defer GinkgoRecover()
			f()
		})
	}
}

var ctx = context.Background()

var _ = Describe("a target", func() {
	// Guards against a stand-in that tolerates more calls than its cold limit.
	It("runs calls up to its cold limit, fails beyond it and restarts cold", inVirtualTime(func() {
		env := start(bundle.KindEngine, false)
		defer env.close()
		for _, res := range env.runTogether("a", "b") {
			Expect(res.Err).NotTo(HaveOccurred())
			Expect(res.State).To(Equal(target.StateCold))
		}
		boot := env.Status().Boot
		for _, res := range env.runTogether("c", "d", "e") {
			Expect(res.Err).To(HaveOccurred())
		}
		Expect(env.run(ctx, "f").Err).To(HaveOccurred())
		time.Sleep(3 * time.Second)
		res := env.run(ctx, "g")
		Expect(res.Err).NotTo(HaveOccurred())
		Expect(res.State).To(Equal(target.StateCold))
		Expect(res.Boot).NotTo(Equal(boot))
		time.Sleep(4 * time.Second)
		Expect(env.run(ctx, "h").State).To(Equal(target.StateWarm))
	}))

	// Guards against routing that recognises a cold target only by a new boot ID.
	It("turns cold on request within the same boot", inVirtualTime(func() {
		env := start(bundle.KindStage, true)
		defer env.close()
		before := env.run(ctx, "a")
		env.faults(`{"cold":true}`)
		after := env.run(ctx, "b")
		Expect(after.State).To(Equal(target.StateCold))
		Expect(after.Boot).To(Equal(before.Boot))
	}))

	// Guards against calls that survive a restart of their target.
	It("ends running and waiting calls when it restarts", inVirtualTime(func() {
		env := start(bundle.KindService, true)
		defer env.close()
		done := make(chan target.Result)
		for i := range 6 {
			go func() { done <- env.run(ctx, fmt.Sprint(i)) }()
		}
		synctest.Wait()
		env.faults(`{"restart":true}`)
		for range 6 {
			res := <-done
			Expect(reason(res)).To(Equal(target.ReasonConnectionLost))
			Expect(res.Execution).To(Equal(target.MayHaveExecuted))
		}
		Expect(env.Ledger().Entries).To(BeEmpty())
		Expect(env.Status().Calls).To(Equal(0))
	}))

	// Guards against accelerator time spent on answers that no caller waits for, and against
	// services that abandon work when their caller disconnects.
	It("cancels an engine's call when the caller disconnects, but not a service's", inVirtualTime(func() {
		for kind, executed := range map[bundle.Kind]int{bundle.KindEngine: 0, bundle.KindService: 1} {
			env := start(kind, true)
			gone, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
			Expect(reason(env.run(gone, "a"))).To(Equal(target.ReasonTimeout))
			cancel()
			synctest.Wait()
			Expect(env.Status().Calls).To(Equal(executed))
			time.Sleep(time.Second)
			Expect(env.Status().Calls).To(Equal(0))
			Expect(env.Ledger().Entries).To(HaveLen(executed))
			env.close()
		}
	}))

	// Guards against a ledger that misses a second execution or one whose answer is lost.
	It("counts each execution of the same work", inVirtualTime(func() {
		env := start(bundle.KindService, true)
		defer env.close()
		input := target.NewInput("p", "w", "q")
		Expect(env.runInput(ctx, "r1", input).Output).To(Equal(target.ExpectedOutput(env.kind, "pool", input)))
		env.faults(`{"lose_answers":1}`)
		Expect(reason(env.runInput(ctx, "r2", input))).To(Equal(target.ReasonConnectionLost))
		env.faults(`{"lose_answers":0,"fail":1}`)
		Expect(reason(env.runInput(ctx, "r3", input))).To(Equal(target.ReasonStatus))
		Expect(env.Ledger().Entries).To(Equal([]target.LedgerEntry{{ID: "w", Pool: "pool", Count: 2}}))
	}))

	DescribeTable("exposes each fault to the client",
		func(faults string, want ...target.Reason) {
			inVirtualTime(func() {
				for _, kind := range []bundle.Kind{bundle.KindEngine, bundle.KindStage} {
					env := start(kind, true)
					env.run(ctx, "before")
					env.faults(faults)
					for i := range 8 {
						Expect(reason(env.run(ctx, fmt.Sprint(i)))).To(BeElementOf(want), "%s, call %d", kind, i)
					}
					env.close()
				}
			})()
		},
		Entry("crossed answers", `{"crossed":1}`, target.ReasonWrongID),
		Entry("truncated answers", `{"truncated":1}`, target.ReasonIncomplete),
		Entry("failures", `{"fail":1}`, target.ReasonStatus),
		Entry("refusals", `{"refuse":1}`, target.ReasonNotRun),
		Entry("down", `{"down":true}`, target.ReasonConnectionLost),
		Entry("cut off", `{"cut":["near"]}`, target.ReasonConnectionLost),
	)

	// Guards against faults that depend on the order of calls.
	It("applies faults to the same calls each time", inVirtualTime(func() {
		hits := map[string]int{}
		for range 2 {
			env := start(bundle.KindStage, true)
			env.faults(`{"fail":0.5}`)
			for i := range 40 {
				id := fmt.Sprint(i)
				if env.run(ctx, id).Err != nil {
					hits[id]++
				}
			}
			env.close()
		}
		Expect(len(hits)).To(And(BeNumerically(">", 10), BeNumerically("<", 30)))
		for id, n := range hits {
			Expect(n).To(Equal(2), "call %s", id)
		}
	}))

	// Guards against a rejected order that still moves the fence.
	It("refuses orders with an old fence", inVirtualTime(func() {
		env := start(bundle.KindEngine, true)
		defer env.close()
		Expect(env.post("/v1/orders", `{"fence":5,"kind":"load","model":"m"}`)).To(Equal(http.StatusOK))
		Expect(env.Status().State).To(Equal(target.StateCold))
		Expect(env.post("/v1/orders", `{"fence":4,"kind":"load","model":"n"}`)).To(Equal(http.StatusConflict))
		Expect(env.post("/v1/orders", `{"fence":5,"kind":"unload"}`)).To(Equal(http.StatusOK))
	}))

	// Guards against engines that continue a cancelled call or resume at a wrong token.
	It("cancels and resumes streams", inVirtualTime(func() {
		env := start(bundle.KindEngine, true)
		defer env.close()
		done := make(chan target.Result)
		go func() { done <- env.run(ctx, "a") }()
		time.Sleep(150 * time.Millisecond)
		Expect(env.do(http.MethodDelete, "/v1/completions/a/stage/1", "").Code).To(Equal(http.StatusNoContent))
		Expect(reason(<-done)).To(Equal(target.ReasonIncomplete))
		Expect(env.do(http.MethodDelete, "/v1/completions/a/stage/1", "").Code).To(Equal(http.StatusNotFound))
		whole := target.OutputTokens(env.kind, "pool", "in")
		resumed := env.do(http.MethodPost, "/v1/completions", `{"prompt":"in","stream":true,"resume_from":3}`).Body.String()
		Expect(strings.Count(resumed, `"finish_reason":null`)).To(Equal(len(whole) - 3))
		Expect(resumed).To(HavePrefix(`data: {"id":"cmpl-","object":"text_completion","choices":[{"index":0,"text":"` + whole[3]))
	}))

	// Guards against an import that saves no work.
	It("imports exported cache blocks", inVirtualTime(func() {
		from, to := start(bundle.KindEngine, true), start(bundle.KindEngine, true)
		defer from.close()
		defer to.close()
		prompt := strings.Repeat("p", 3*target.PrefixBlockBytes) + "|q"
		from.runInput(ctx, "a", prompt)
		exported := from.do(http.MethodPost, "/v1/cache/export", `{"prompt":"`+prompt+`"}`).Body.String()
		Expect(to.post("/v1/cache/import", exported)).To(Equal(http.StatusNoContent))
		Expect(to.runInput(ctx, "b", prompt).CachedTokens).To(Equal(3 * target.PrefixBlockBytes / target.TokenBytes))
	}))

	// Guards against routing that treats a load report as current.
	It("reports its load with a lag", inVirtualTime(func() {
		env := start(bundle.KindStage, true)
		defer env.close()
		time.Sleep(time.Second)
		env.faults(`{"cold":true,"slow":100}`)
		go env.run(ctx, "a")
		synctest.Wait()
		for _, want := range []struct {
			after   time.Duration
			state   target.State
			running int
		}{{0, target.StateWarm, 0}, {600 * time.Millisecond, target.StateCold, 1}} {
			time.Sleep(want.after)
			load, err := env.client.LoadReport(ctx, "t:1")
			Expect(err).NotTo(HaveOccurred())
			Expect(load.State).To(Equal(want.state))
			Expect(load.Running).To(Equal(want.running))
			Expect(load.Age.Std()).To(Equal(500 * time.Millisecond))
		}
		time.Sleep(30 * time.Second)
	}))
})

// elapsed returns how long a call takes in virtual time.
func elapsed(call func()) time.Duration {
	began := time.Now()
	call()
	return time.Since(began)
}

var _ = Describe("pace", func() {
	// Guards against stand-ins whose durations don't grow with load, which would hide the cost
	// of a bad choice of target.
	It("grows with the calls running and shrinks with cached prefixes", inVirtualTime(func() {
		env := start(bundle.KindEngine, true)
		defer env.close()
		input := target.NewInput(string(make([]byte, 640)), "w", "question")
		first := elapsed(func() { env.runInput(ctx, "a", input) })
		second := elapsed(func() { env.runInput(ctx, "b", input) })
		Expect(first - second).To(Equal(160 * time.Millisecond))
		alone := elapsed(func() { env.run(ctx, "c") })
		crowded := elapsed(func() { env.runTogether("c", "c", "c", "c") })
		Expect(crowded).To(BeNumerically(">", alone*3/2))
	}))

	// Guards against links between data centres without delay.
	It("includes the delay of the link both ways", inVirtualTime(func() {
		env := start(bundle.KindStage, true)
		defer env.close()
		near := elapsed(func() { env.run(ctx, "a") })
		r, err := http.NewRequest(http.MethodGet, "/v1/load", http.NoBody)
		Expect(err).NotTo(HaveOccurred())
		Expect(near).To(Equal(100 * time.Millisecond))
		r.Header.Set(target.HeaderDataCentre, "far")
		Expect(elapsed(func() { env.get(r) })).To(Equal(40 * time.Millisecond))
	}))
})
