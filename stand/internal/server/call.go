package server

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"chivepost/share/bundle"
	"chivepost/share/events"
	"chivepost/share/target"
	"chivepost/stand/internal/gate"
	"chivepost/stand/internal/serve"
)

// call is a call in progress.
type call struct {
	t        *Target
	id       string
	input    string
	workID   string // ID under which the ledger counts the call.
	faults   Faults
	delay    time.Duration
	ctx      context.Context
	cancel   context.CancelFunc
	admitted bool
	cold     bool
	boot     string
	state    target.State
}

// Outcomes of calls in Finished events.
const (
	outcomeAnswered  = "answered"
	outcomeFailed    = "failed"
	outcomeCancelled = "cancelled"
	outcomeRefused   = "refused"
)

var errFallen = errors.New("target is down after too many calls in a cold start")

// begin admits a call. It returns nil if the call is refused or has ended, which leaves the
// handler nothing to do; otherwise the handler must call finish.
func (t *Target) begin(w http.ResponseWriter, r *http.Request, input string) *call {
	c := &call{t: t, id: r.Header.Get(target.HeaderRequestID), input: input, delay: t.linkDelay(r)}
	c.workID = ledgerID(r, input, c.id)
	if sleep(r.Context(), c.delay) != nil {
		return nil
	}
	if err := c.register(r); err != nil {
		c.setHeaders(w)
		serve.WriteError(w, http.StatusInternalServerError, err.Error())
		return nil
	}
	if t.draw("refuse", c.id) < c.faults.Refuse {
		c.refuse(w, "refused by an injected fault")
		return nil
	}
	priority, _ := strconv.Atoi(r.Header.Get(target.HeaderPriority))
	if err := t.gate.Enter(c.ctx, priority); err != nil {
		if errors.Is(err, gate.ErrFull) {
			c.refuse(w, err.Error())
		} else {
			c.finish(c.interruptedOutcome(r))
			serve.Drop()
		}
		return nil
	}
	c.admitted = true
	t.mu.Lock()
	t.recordLoad()
	t.mu.Unlock()
	return c
}

// register counts the call. A call beyond the limit of a cold target makes the target fail.
func (c *call) register(r *http.Request) error {
	t := c.t
	t.mu.Lock()
	defer t.mu.Unlock()
	c.faults = t.faults
	c.boot, c.state = t.bootID(), t.state()
	if t.isCutOff(r) {
		serve.Drop()
	}
	if t.fallen {
		return errFallen
	}
	t.inFlight++
	c.cold = t.cold
	e := t.event(events.Started, c.id, c.input)
	e.Load, e.Detail = t.inFlight, string(c.state)
	if c.cold {
		e.Detail = string(target.StateCold)
	}
	t.opts.Events.Add(e)
	if c.cold {
		t.coldCalls++
		if t.coldCalls > t.opts.Spec.ColdLimit {
			t.fallOver()
			t.inFlight--
			done := t.event(events.Finished, c.id, c.input)
			done.Load, done.Outcome = t.inFlight, outcomeFailed
			t.opts.Events.Add(done)
			return errFallen
		}
	}
	// A plain service completes a call even if its caller disconnects; engines and stage
	// pools cancel it.
	parent := r.Context()
	if t.opts.Spec.Kind == bundle.KindService {
		parent = context.WithoutCancel(parent)
	}
	c.ctx, c.cancel = context.WithCancel(parent)
	context.AfterFunc(t.bootCtx, c.cancel)
	t.cancels[c.id] = c.cancel
	return nil
}

// finish records the end of the call.
func (c *call) finish(outcome string) {
	t := c.t
	c.cancel()
	if c.admitted {
		t.gate.Leave()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
	delete(t.cancels, c.id)
	if c.cold && t.cold && c.boot == t.bootID() {
		t.coldCalls = max(0, t.coldCalls-1)
	}
	e := t.event(events.Finished, c.id, c.input)
	e.Load, e.Outcome = t.inFlight, outcome
	t.opts.Events.Add(e)
	t.recordLoad()
}

// refuse answers that the call has not run and finishes it.
func (c *call) refuse(w http.ResponseWriter, detail string) {
	c.finish(outcomeRefused)
	time.Sleep(c.delay)
	c.setHeaders(w)
	w.Header().Set(target.HeaderNotRun, "true")
	serve.WriteError(w, http.StatusServiceUnavailable, detail)
}

// setHeaders sets the headers of every answer.
func (c *call) setHeaders(w http.ResponseWriter) {
	t := c.t
	t.mu.Lock()
	defer t.mu.Unlock()
	w.Header().Set(target.HeaderRequestID, c.id)
	w.Header().Set(target.HeaderState, string(t.state()))
	w.Header().Set(target.HeaderBoot, t.bootID())
}

// scale returns the duration of a piece of work at the current load: it grows with the
// running calls, with ColdFactor in a cold start and with the fault Slow.
func (c *call) scale(d time.Duration) time.Duration {
	t := c.t
	running, _ := t.gate.Load()
	t.mu.Lock()
	defer t.mu.Unlock()
	factor := 1 + float64(running-1)/float64(t.opts.Spec.Limit)
	if t.cold && t.opts.Spec.Pace.ColdFactor > 1 {
		factor *= t.opts.Spec.Pace.ColdFactor
	}
	if t.faults.Slow > 0 {
		factor *= t.faults.Slow
	}
	return time.Duration(float64(d) * factor)
}

// interruptedOutcome returns the outcome of a call whose context has ended: cancelled if the
// caller disconnected, failed if the target restarted or failed.
func (c *call) interruptedOutcome(r *http.Request) string {
	if r.Context().Err() != nil {
		return outcomeCancelled
	}
	return outcomeFailed
}

// isHit reports whether a fault with the given share applies to this call.
func (c *call) isHit(fault string, share float64) bool {
	return share > 0 && c.t.draw(fault, c.id) < share
}

// writeFailure answers with the error of the fault Fail.
func (c *call) writeFailure(w http.ResponseWriter) {
	time.Sleep(c.delay)
	c.setHeaders(w)
	serve.WriteError(w, http.StatusInternalServerError, "failed by an injected fault")
}

// answer is the answer to a call.
type answer struct {
	id     string
	input  string
	output string
}

// swapLastAnswer stores a as the last answer and returns the previous one, or a made-up
// one if there is none of another call.
func (t *Target) swapLastAnswer(a answer) answer {
	t.mu.Lock()
	defer t.mu.Unlock()
	previous := t.lastAnswer
	t.lastAnswer = a
	if previous.id == "" || previous.id == a.id {
		previous = answer{id: "other/" + a.id, input: "other" + a.input}
		previous.output = target.ExpectedOutput(t.opts.Spec.Kind, t.opts.Spec.Pool, previous.input)
	}
	return previous
}
