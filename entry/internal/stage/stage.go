// Package stage makes single attempts to run a stage: it waits for a slot, checks the slot
// immediately before it sends the call, and records the result.
package stage

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"sync/atomic"
	"time"

	"chivepost/entry/internal/invar"
	"chivepost/entry/internal/queue"
	"chivepost/share/bundle"
	"chivepost/share/events"
	"chivepost/share/target"
)

// Queue assigns slots of targets.
type Queue interface {
	Acquire(ctx context.Context, job queue.Job) (queue.Slot, error)
}

// Observer receives the time that successful attempts spent in the queue and in service.
type Observer interface {
	Observe(pool string, waited, took time.Duration)
}

// Budget counts the first calls to each target, which limit the retries there.
type Budget interface {
	CountFirstCall(target string)
}

// Recorder receives events, which are checked independently of this process.
type Recorder interface {
	Add(e events.Event)
}

// Ticket permits sending a call that may run at most once. Confirm is called immediately
// before the call is sent and fails if the claim is no longer valid.
type Ticket interface {
	Confirm() error
}

// Attempt describes an attempt to run a stage. Number counts the attempts at the stage
// from 0. Ticket is nil for calls that may be repeated. OnToken, if not nil, receives the
// pieces of a streamed answer.
type Attempt struct {
	Run, Stage string
	Number     int
	Pool       bundle.PoolDoc
	Model      string
	Input      string
	Timeout    time.Duration
	Job        queue.Job
	Ticket     Ticket
	OnToken    func(index int, text string)
}

// Result is the result of an attempt. Output is valid only if Err is nil. Target is empty
// if the attempt got no slot.
type Result struct {
	Output    string
	Target    string
	Execution target.Execution
	Err       error
}

// ErrNoTime means that the deadline passed or the request was cancelled before the call
// was sent.
var ErrNoTime = errors.New("deadline passed before the call was sent")

var (
	opened    = expvar.NewInt("attempts_opened_count")
	succeeded = expvar.NewInt("attempts_succeeded_count")
	failed    = expvar.NewInt("attempts_failed_count")
)

// CancelDelay is how long a call whose answer was not received may keep running after it
// was cancelled or timed out here: the cancellation takes a while to reach the target.
const CancelDelay = 250 * time.Millisecond

// Runner makes attempts. It is safe for concurrent use.
type Runner struct {
	queue    Queue
	targets  target.Caller
	observer Observer
	budget   Budget
	recorder Recorder
	host     string

	opened, closed, inFlight atomic.Int64
}

// New returns a Runner of the entry host called host.
func New(host string, q Queue, targets target.Caller, observer Observer, budget Budget, recorder Recorder) *Runner {
	return &Runner{queue: q, targets: targets, observer: observer, budget: budget, recorder: recorder, host: host}
}

// InFlight returns the number of attempts in progress.
func (r *Runner) InFlight() int64 { return r.inFlight.Load() }

// Attempt waits for a slot and makes one call.
func (r *Runner) Attempt(ctx context.Context, a Attempt) Result {
	r.opened.Add(1)
	r.inFlight.Add(1)
	opened.Add(1)
	res := r.attempt(ctx, a)
	if res.Err == nil {
		succeeded.Add(1)
	} else {
		failed.Add(1)
	}
	inFlight := r.inFlight.Add(-1)
	r.closed.Add(1)
	invar.Check(inFlight >= 0, "attempts in flight: %d", inFlight)
	return res
}

func (r *Runner) attempt(ctx context.Context, a Attempt) Result {
	slot, err := r.queue.Acquire(ctx, a.Job)
	if err != nil {
		return Result{Err: fmt.Errorf("stage %s: wait for a target: %w", a.Stage, err)}
	}
	call := target.Call{
		ID:       fmt.Sprintf("%s/%s/%d", a.Run, a.Stage, a.Number),
		Kind:     a.Pool.Kind,
		Address:  slot.Target.Address,
		Input:    a.Input,
		Model:    a.Model,
		Fence:    slot.Fence(),
		Priority: a.Job.Priority,
		Once:     !a.Pool.Retryable,
	}
	res, took, timeout := r.send(ctx, a, slot, call)
	releaseSlot(slot.Hold, a.Pool.Kind, res, took, timeout)
	if res.Err == nil {
		r.observer.Observe(a.Pool.Name, slot.Waited, took)
	}
	r.recordResult(a, slot, call, res)
	if res.Err != nil {
		return Result{Target: slot.Target.Name, Execution: res.Execution, Err: fmt.Errorf("stage %s at %s: %w", a.Stage, slot.Target.Name, res.Err)}
	}
	return Result{Output: res.Output, Target: slot.Target.Name, Execution: res.Execution}
}

// send makes the last checks and the call. Nothing between the checks and the call may
// block: leases don't protect against a pause there. The returned timeout is the one that
// was sent with the call.
func (r *Runner) send(ctx context.Context, a Attempt, slot queue.Slot, call target.Call) (res target.Result, took, timeout time.Duration) {
	r.recorder.Add(events.Event{
		Kind: events.Sending, Host: r.host, DataCentre: slot.Target.DataCentre, Run: a.Run, Stage: a.Stage,
		Attempt: call.ID, Target: slot.Target.Name,
	})
	left := min(time.Until(a.Job.Deadline), a.Timeout)
	if left <= 0 || ctx.Err() != nil {
		return target.Result{Err: ErrNoTime}, 0, 0
	}
	call.Timeout = left
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	if a.Number == 0 {
		r.budget.CountFirstCall(slot.Target.Name)
	}
	if err := slot.Check(); err != nil {
		return target.Result{Err: err}, 0, 0
	}
	if a.Ticket != nil {
		if err := a.Ticket.Confirm(); err != nil {
			return target.Result{Err: err}, 0, 0
		}
	}
	start := time.Now()
	res = r.targets.Run(ctx, call, a.OnToken)
	return res, time.Since(start), left
}

// releaseSlot returns the slot. If the end of the call was not observed, the call may still
// be running, so its slot is returned later: engines stop a cancelled stream, other targets
// may continue until the timeout that was sent with the call has passed.
func releaseSlot(hold queue.Hold, kind bundle.Kind, res target.Result, took, timeout time.Duration) {
	var call *target.CallError
	isInvalidResponse := errors.As(res.Err, &call) && call.IsInvalidResponse()
	if res.Err == nil || res.Execution != target.MayHaveExecuted && !isInvalidResponse {
		hold.Done(res, took)
		return
	}
	wait := CancelDelay
	if kind != bundle.KindEngine {
		wait += max(0, timeout-took)
	}
	time.AfterFunc(wait, func() { hold.Done(res, took) })
}

func (r *Runner) recordResult(a Attempt, slot queue.Slot, call target.Call, res target.Result) {
	e := events.Event{
		Kind: events.Result, Host: r.host, Run: a.Run, Stage: a.Stage, Attempt: call.ID,
		Target: slot.Target.Name, Outcome: "ok",
	}
	if res.Err != nil {
		e.Outcome, e.Detail = "error", res.Err.Error()
	}
	r.recorder.Add(e)
}
