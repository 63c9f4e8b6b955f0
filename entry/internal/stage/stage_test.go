package stage_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"chivepost/entry/internal/queue"
	"chivepost/entry/internal/route"
	"chivepost/entry/internal/stage"
	"chivepost/share/bundle"
	"chivepost/share/events"
	"chivepost/share/target"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var suite *testing.T

func TestStage(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "stage")
}

// fake implements the queue, the slot, the target and the observers of a Runner.
type fake struct {
	result   target.Result
	takes    time.Duration
	checkErr error
	calls    []target.Call
	doneAt   atomic.Int64
	start    time.Time
	order    []string
}

func (f *fake) Acquire(context.Context, queue.Job) (queue.Slot, error) {
	return queue.Slot{Hold: f, Target: route.Target{Name: "t", Address: "t:1"}}, nil
}

func (f *fake) Check() error { f.order = append(f.order, "check"); return f.checkErr }
func (f *fake) Confirm() error {
	f.order = append(f.order, "confirm")
	return nil
}
func (f *fake) Fence() uint64 { return 7 }
func (f *fake) Done(target.Result, time.Duration) {
	f.doneAt.Store(int64(time.Since(f.start)))
}

func (f *fake) Run(ctx context.Context, call target.Call, _ func(int, string)) target.Result {
	f.order = append(f.order, "send")
	f.calls = append(f.calls, call)
	select {
	case <-time.After(f.takes):
		return f.result
	case <-ctx.Done():
		return target.Result{Execution: target.MayHaveExecuted, Err: ctx.Err()}
	}
}

func (f *fake) LoadReport(context.Context, string) (target.LoadReport, error) {
	return target.LoadReport{}, nil
}
func (f *fake) Observe(string, time.Duration, time.Duration) {}
func (f *fake) CountFirstCall(string)                        {}
func (f *fake) Add(events.Event)                             {}

func attempt(ctx context.Context, f *fake, kind bundle.Kind) stage.Result {
	f.start = time.Now()
	r := stage.New("host", f, f, f, f, f)
	return r.Attempt(ctx, stage.Attempt{
		Run: "run", Stage: "s", Pool: bundle.PoolDoc{Name: "p", Kind: kind, Retryable: kind != bundle.KindService},
		Timeout: 2 * time.Second, Job: queue.Job{Deadline: time.Now().Add(3 * time.Second)}, Ticket: f,
	})
}

// Guards against a slot that is reused while the target still runs a call whose end was
// not observed: a cold target with a limit of one would get two calls.
var _ = DescribeTable("when a slot is returned",
	func(kind bundle.Kind, result target.Result, takes, cancelAfter, wantDone time.Duration) {
		synctest.Test(suite, func(*testing.T) {
			defer GinkgoRecover()
			f := &fake{result: result, takes: takes}
			ctx, cancel := context.WithTimeout(context.Background(), cancelAfter)
			defer cancel()
			attempt(ctx, f, kind)
			time.Sleep(10 * time.Second)
			Expect(time.Duration(f.doneAt.Load())).To(Equal(wantDone))
		})
	},
	Entry("answered: at once", bundle.KindService, target.Result{Execution: target.Executed}, time.Second, time.Minute, time.Second),
	Entry("not sent: at once", bundle.KindService, target.Result{Err: errors.New("refused")}, time.Second, time.Minute, time.Second),
	Entry("service cancelled: when the call's timeout has passed", bundle.KindService, target.Result{}, time.Minute, time.Second,
		2*time.Second+stage.CancelDelay),
	Entry("engine cancelled: when the cancellation has reached it", bundle.KindEngine, target.Result{}, time.Minute, time.Second,
		time.Second+stage.CancelDelay),
	Entry("timeout: when the call's timeout has passed", bundle.KindStage, target.Result{}, time.Minute, time.Minute,
		2*time.Second+stage.CancelDelay),
)

// Guards against a check that is made too early to detect an expired lease or claim.
var _ = It("checks the slot, then the claim, immediately before the send", func() {
	synctest.Test(suite, func(*testing.T) {
		defer GinkgoRecover()
		f := &fake{result: target.Result{Execution: target.Executed}}
		Expect(attempt(context.Background(), f, bundle.KindService).Err).NotTo(HaveOccurred())
		Expect(f.order).To(Equal([]string{"check", "confirm", "send"}))
		Expect(f.calls[0].Fence).To(Equal(uint64(7)))
		Expect(f.calls[0].Once).To(BeTrue())
		Expect(f.calls[0].Timeout).To(Equal(2 * time.Second))

		f = &fake{checkErr: errors.New("lease expired")}
		res := attempt(context.Background(), f, bundle.KindService)
		Expect(res.Err).To(MatchError("stage s at t: lease expired"))
		Expect(res.Execution).To(Equal(target.NotExecuted))
		Expect(f.order).To(Equal([]string{"check"}))
	})
})
