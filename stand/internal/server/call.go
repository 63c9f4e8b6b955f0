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

// call is one call in progress.
type call struct {
	t      *Target
	id     string
	input  string
	work   string // The id under which the ledger counts the call.
	faults Faults
	delay  time.Duration
	ctx    context.Context
	cancel context.CancelFunc
	inGate bool
	cold   bool
	boot   string
	state  target.State
}

// outcomes of calls, in Finished events.
const (
	outcomeAnswered  = "answered"
	outcomeFailed    = "failed"
	outcomeCancelled = "cancelled"
	outcomeRefused   = "refused"
)

var errFallen = errors.New("target has fallen over")

// begin takes a call in, or answers and returns nil. A nil result means that no
// work is done; otherwise the caller must call finish.
func (t *Target) begin(w http.ResponseWriter, r *http.Request, input string) *call {
	c := &call{t: t, id: r.Header.Get(target.HeaderRequestID), input: input, delay: t.delay(r)}
	c.work = ledgerID(r, input, c.id)
	if sleep(r.Context(), c.delay) != nil {
		return nil
	}
	if err := c.start(r); err != nil {
		c.stamp(w)
		serve.WriteError(w, http.StatusInternalServerError, err.Error())
		return nil
	}
	if t.draw("refuse", c.id) < c.faults.Refuse {
		c.refuse(w, "refused on command")
		return nil
	}
	priority, _ := strconv.Atoi(r.Header.Get(target.HeaderPriority))
	if err := t.gate.Enter(c.ctx, priority); err != nil {
		if errors.Is(err, gate.ErrFull) {
			c.refuse(w, err.Error())
		} else {
			c.finish(c.ended(r))
			serve.Drop()
		}
		return nil
	}
	c.inGate = true
	t.mu.Lock()
	t.report()
	t.mu.Unlock()
	return c
}

// start counts the call and makes a cold target fall over if it is one too many.
func (c *call) start(r *http.Request) error {
	t := c.t
	t.mu.Lock()
	defer t.mu.Unlock()
	c.faults = t.faults
	c.boot, c.state = t.bootID(), t.state()
	if t.cutOff(r) {
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
			t.fall()
			t.inFlight--
			done := t.event(events.Finished, c.id, c.input)
			done.Load, done.Outcome = t.inFlight, outcomeFailed
			t.opts.Events.Add(done)
			return errFallen
		}
	}
	// A plain service completes what it has begun, whether or not the caller waits;
	// engines and stage pools stop when the caller goes away.
	parent := r.Context()
	if t.opts.Spec.Kind == bundle.KindService {
		parent = context.WithoutCancel(parent)
	}
	c.ctx, c.cancel = context.WithCancel(parent)
	context.AfterFunc(t.life, c.cancel)
	t.cancels[c.id] = c.cancel
	return nil
}

// finish records the end of the call.
func (c *call) finish(outcome string) {
	t := c.t
	c.cancel()
	if c.inGate {
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
	t.report()
}

// refuse answers that nothing was run and finishes the call.
func (c *call) refuse(w http.ResponseWriter, detail string) {
	c.finish(outcomeRefused)
	time.Sleep(c.delay)
	c.stamp(w)
	w.Header().Set(target.HeaderNotRun, "true")
	serve.WriteError(w, http.StatusServiceUnavailable, detail)
}

// stamp sets the headers that every answer carries.
func (c *call) stamp(w http.ResponseWriter) {
	t := c.t
	t.mu.Lock()
	defer t.mu.Unlock()
	w.Header().Set(target.HeaderRequestID, c.id)
	w.Header().Set(target.HeaderState, string(t.state()))
	w.Header().Set(target.HeaderBoot, t.bootID())
}

// pace returns how long a piece of work takes now: longer with more calls running,
// longer while cold, and longer by the factor set from outside.
func (c *call) pace(d time.Duration) time.Duration {
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

// ended tells a caller that went away from a target that restarted.
func (c *call) ended(r *http.Request) string {
	if r.Context().Err() != nil {
		return outcomeCancelled
	}
	return outcomeFailed
}

// hit reports whether a fault with the given share strikes this call.
func (c *call) hit(fault string, share float64) bool {
	return share > 0 && c.t.draw(fault, c.id) < share
}

// fail answers an error on command.
func (c *call) fail(w http.ResponseWriter) {
	time.Sleep(c.delay)
	c.stamp(w)
	serve.WriteError(w, http.StatusInternalServerError, "failed on command")
}

// answer is what a call is answered with.
type answer struct {
	id     string
	input  string
	output string
}

// swap keeps a as the last answer and returns the one before.
func (t *Target) swap(a answer) answer {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.last
	t.last = a
	if old.id == "" || old.id == a.id {
		old = answer{id: "other/" + a.id, input: "other" + a.input}
		old.output = target.Expected(t.opts.Spec.Kind, t.opts.Spec.Pool, old.input)
	}
	return old
}
