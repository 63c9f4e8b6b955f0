// Package stage runs single attempts at a stage: it waits for a slot, checks it
// immediately before the send, and accounts for what came back.
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

// Queue hands out slots of targets.
type Queue interface {
	Acquire(ctx context.Context, job queue.Job) (queue.Slot, error)
}

// Observer learns how long attempts waited and took.
type Observer interface {
	Observe(pool string, waited, took time.Duration)
}

// Budget counts first calls, towards which the retries at each target are measured.
type Budget interface {
	CountFirstCall(target string)
}

// Recorder takes events for an independent checker.
type Recorder interface {
	Add(e events.Event)
}

// Ticket is the right to send a call that may run at most once.
type Ticket interface {
	Confirm() error
}

// Attempt is one attempt to make. Ticket is nil for calls that may be repeated.
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

// Result is what came of an attempt. Output is valid only if Err is nil. Target
// is empty if no slot was had.
type Result struct {
	Output string
	Target string
	Sent   target.Sent
	Err    error
}

// ErrNoTime means that too little of the deadline was left to send the call.
var ErrNoTime = errors.New("deadline passed before the call was sent")

var (
	opened    = expvar.NewInt("attempts_opened_count")
	succeeded = expvar.NewInt("attempts_succeeded_count")
	failed    = expvar.NewInt("attempts_failed_count")
)

// CancelDelay is how long after its end a call whose answer was not seen may still be
// running: a cancellation or a timeout takes a while to reach the target.
const CancelDelay = 250 * time.Millisecond

// Runner makes attempts. It is safe for concurrent use.
type Runner struct {
	queue    Queue
	targets  target.Caller
	observer Observer
	budget   Budget
	record   Recorder
	host     string

	opened, closed, open atomic.Int64
}

// New returns a Runner of the entry host called host.
func New(host string, q Queue, targets target.Caller, observer Observer, budget Budget, record Recorder) *Runner {
	return &Runner{queue: q, targets: targets, observer: observer, budget: budget, record: record, host: host}
}

// InFlight returns the number of attempts under way.
func (r *Runner) InFlight() int64 { return r.open.Load() }

// Attempt waits for a slot and makes one call.
func (r *Runner) Attempt(ctx context.Context, w Attempt) Result {
	r.opened.Add(1)
	r.open.Add(1)
	opened.Add(1)
	res := r.attempt(ctx, w)
	if res.Err == nil {
		succeeded.Add(1)
	} else {
		failed.Add(1)
	}
	open := r.open.Add(-1)
	r.closed.Add(1)
	invar.Check(open >= 0, "attempts under way: %d", open)
	return res
}

func (r *Runner) attempt(ctx context.Context, w Attempt) Result {
	slot, err := r.queue.Acquire(ctx, w.Job)
	if err != nil {
		return Result{Err: fmt.Errorf("stage %s: wait for a target: %w", w.Stage, err)}
	}
	call := target.Call{
		ID:       fmt.Sprintf("%s/%s/%d", w.Run, w.Stage, w.Number),
		Kind:     w.Pool.Kind,
		Address:  slot.Target.Address,
		Input:    w.Input,
		Model:    w.Model,
		Fence:    slot.Fence(),
		Priority: w.Job.Priority,
		Once:     !w.Pool.Repeat,
	}
	res, took, limit := r.send(ctx, w, slot, call)
	giveBack(slot.Hold, w.Pool.Kind, res, took, limit)
	if res.Err == nil {
		r.observer.Observe(w.Pool.Name, slot.Waited, took)
	}
	r.recordResult(w, slot, call, res)
	if res.Err != nil {
		return Result{Target: slot.Target.Name, Sent: res.Sent, Err: fmt.Errorf("stage %s at %s: %w", w.Stage, slot.Target.Name, res.Err)}
	}
	return Result{Output: res.Output, Target: slot.Target.Name, Sent: res.Sent}
}

// send makes the last checks and the call. Nothing that can block stands between
// the checks and the call: a pause there is what leases can't cover. limit is the
// time that was sent with the call.
func (r *Runner) send(ctx context.Context, w Attempt, slot queue.Slot, call target.Call) (res target.Result, took, limit time.Duration) {
	r.record.Add(events.Event{
		Kind: events.Sending, Host: r.host, DataCentre: slot.Target.DataCentre, Run: w.Run, Stage: w.Stage,
		Attempt: call.ID, Target: slot.Target.Name,
	})
	left := min(time.Until(w.Job.Deadline), w.Timeout)
	if left <= 0 || ctx.Err() != nil {
		return target.Result{Err: ErrNoTime}, 0, 0
	}
	call.Timeout = left
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	if w.Number == 0 {
		r.budget.CountFirstCall(slot.Target.Name)
	}
	if err := slot.Check(); err != nil {
		return target.Result{Err: err}, 0, 0
	}
	if w.Ticket != nil {
		if err := w.Ticket.Confirm(); err != nil {
			return target.Result{Err: err}, 0, 0
		}
	}
	start := time.Now()
	res = r.targets.Run(ctx, call, w.OnToken)
	return res, time.Since(start), left
}

// giveBack returns the slot. A call whose end was not seen may still be running, so
// its slot stays in use: engines end a cancelled stream, everything else may go on
// until the time that was sent with the call has passed.
func giveBack(hold queue.Hold, kind bundle.Kind, res target.Result, took, limit time.Duration) {
	var call *target.CallError
	isCutShort := errors.As(res.Err, &call) && call.IsDamaged()
	if res.Err == nil || res.Sent != target.SentMaybe && !isCutShort {
		hold.Done(res, took)
		return
	}
	wait := CancelDelay
	if kind != bundle.KindEngine {
		wait += max(0, limit-took)
	}
	time.AfterFunc(wait, func() { hold.Done(res, took) })
}

func (r *Runner) recordResult(w Attempt, slot queue.Slot, call target.Call, res target.Result) {
	e := events.Event{
		Kind: events.Result, Host: r.host, Run: w.Run, Stage: w.Stage, Attempt: call.ID,
		Target: slot.Target.Name, Outcome: "ok",
	}
	if res.Err != nil {
		e.Outcome, e.Detail = "error", res.Err.Error()
	}
	r.record.Add(e)
}
