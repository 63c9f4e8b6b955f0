package admit_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"chivepost/entry/internal/admit"
	"chivepost/entry/internal/chain"
	"chivepost/share/apiv1"
	"chivepost/share/bundle"
	"chivepost/share/units"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var suite *testing.T

func TestAdmit(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "admit")
}

func inVirtualTime(body func()) { synctest.Test(suite, func(*testing.T) { body() }) }

// fakeQueue is a queue in which calls of several accounts wait, each for the given time.
type fakeQueue struct{ wait time.Duration }

func (f *fakeQueue) Waiting(string, string) (all, own int)          { return 10, 5 }
func (f *fakeQueue) ExpectedWait(string, string, int) time.Duration { return f.wait }

func request(account string) *chain.Request {
	b, err := bundle.New(bundle.Doc{
		Pools: []bundle.PoolDoc{{Name: "p", Limit: 1, ColdLimit: 1}},
		Pipelines: []bundle.PipelineDoc{{
			Name: "x", Deadline: units.Duration(time.Second), Stages: []bundle.StageDoc{{Name: "s", Pool: "p", Timeout: units.Duration(time.Second)}},
		}},
	})
	Expect(err).NotTo(HaveOccurred())
	p, _ := b.Pipeline("x")
	return &chain.Request{Pipeline: p, Account: bundle.AccountDoc{Name: account, Share: 1}, Deadline: time.Now().Add(time.Second)}
}

var _ = Describe("the estimator", func() {
	// Guards against a short overload after which all requests are refused forever.
	It("follows the last seconds and drops older observations", func() {
		inVirtualTime(func() {
			e := admit.NewEstimator()
			for i := range 100 {
				e.Observe("p", 100*time.Millisecond, time.Duration(i+1)*10*time.Millisecond)
			}
			q := e.ServiceTime("p")
			Expect(q.P50).To(BeNumerically("~", 500*time.Millisecond, 10*time.Millisecond))
			Expect(q.P95).To(BeNumerically("~", 950*time.Millisecond, 10*time.Millisecond))
			Expect(e.ExpectedTime([]string{"p", "unknown"}) - e.ExpectedServiceTime([]string{"p"})).To(BeNumerically("~", 100*time.Millisecond, 10*time.Millisecond))
			time.Sleep(6 * time.Second)
			Expect(e.ExpectedTime([]string{"p"})).To(BeZero())
		})
	})
})

var _ = Describe("the filter", func() {
	setup := func(wait time.Duration) (*admit.Estimator, *int, func(account string) chain.Outcome) {
		e, ran := admit.NewEstimator(), new(int)
		next := chain.New([]chain.Filter{admit.NewFilter(admit.Options{}, e, &fakeQueue{wait}, logr.Discard())},
			func(_ context.Context, req *chain.Request) chain.Outcome {
				*ran++
				time.Sleep(500 * time.Millisecond)
				return chain.Answered(req.Body.ID, "")
			})
		return e, ran, func(account string) chain.Outcome { return next(context.Background(), request(account)) }
	}
	observe := func(e *admit.Estimator, n int, took time.Duration) {
		for range n {
			e.Observe("p", 0, took)
		}
	}

	// Guards against running stages of a request that can't be answered in time.
	DescribeTable("refuses before any stage runs",
		func(wait, took time.Duration, problem string, status int) {
			inVirtualTime(func() {
				e, ran, send := setup(wait)
				observe(e, 50, took)
				out := send("x")
				Expect(out.Kind).To(Equal(apiv1.Refused))
				Expect(out.Problem.Type).To(Equal(problem))
				Expect(out.Problem.Status).To(Equal(status))
				Expect(out.Problem.RetryAfter.Std()).To(BeNumerically(">=", 500*time.Millisecond))
				Expect(*ran).To(BeZero())
			})
		},
		Entry("when the stages take too long", time.Duration(0), 1100*time.Millisecond, apiv1.ProblemDeadline, 504),
		Entry("when stages and waits together take too long", 600*time.Millisecond, 500*time.Millisecond, apiv1.ProblemOverload, 503),
	)

	// Guards against an estimate that is never updated because all requests are refused.
	It("lets probes through while there are few observations", func() {
		inVirtualTime(func() {
			e, ran, send := setup(0)
			observe(e, 10, 2*time.Second)
			for range 100 {
				send("x")
			}
			Expect(*ran).To(Equal(2))
		})
	})

	// Guards against a large account that crowds out the others.
	It("refuses an account above its fair share while others wait", func() {
		inVirtualTime(func() {
			e, _, send := setup(300 * time.Millisecond)
			observe(e, 50, 500*time.Millisecond)
			var kinds [5]apiv1.Outcome
			var all sync.WaitGroup
			for i, account := range []string{"large", "large", "large", "small", "large"} {
				all.Go(func() { kinds[i] = send(account).Kind })
				synctest.Wait()
			}
			all.Wait()
			Expect(kinds).To(Equal([5]apiv1.Outcome{apiv1.Answered, apiv1.Answered, apiv1.Answered, apiv1.Answered, apiv1.Refused}))
		})
	})
})
