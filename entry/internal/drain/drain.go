// Package drain controls the state of the entry host: it counts the requests in flight and
// shuts the host down gracefully.
package drain

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"chivepost/entry/internal/ctrl"
	"chivepost/entry/internal/invar"
)

// State is the state of an entry host.
type State string

// The states of an entry host, in order.
const (
	Starting State = "starting"
	Serving  State = "serving"
	// Leaving means that callers no longer get the address of this host, but those that
	// already have it are served.
	Leaving State = "leaving"
	// Closing means that no caller uses the address any more and new requests are refused.
	Closing State = "closing"
	Stopped State = "stopped"
)

// Options sets the times of a shutdown. Hold is how long callers keep an address, Spread how
// long it takes until all peers know that this host is leaving and return other addresses.
type Options struct {
	Hold   time.Duration
	Spread time.Duration
}

// ErrEnding is the cause with which the context of a request ends because the process is about
// to end.
var ErrEnding = errors.New("the host is shutting down")

// Controller holds the state of the host and counts the requests in flight.
type Controller struct {
	opts  Options
	log   logr.Logger
	abort context.CancelFunc // ends all requests
	ended context.Context    // by abort

	mu       sync.Mutex
	state    State
	abortAt  time.Time // when a leaving host calls abort; zero: it doesn't
	inFlight int
	idle     chan struct{} // closed when a closing host has nothing in flight
}

// New returns a controller in state Starting.
func New(opts Options, log logr.Logger) *Controller {
	c := &Controller{opts: opts, log: log, state: Starting, idle: make(chan struct{})}
	c.ended, c.abort = context.WithCancel(context.Background())
	return c
}

// Name returns the controller's name.
func (c *Controller) Name() string { return "drain" }

// Status reports whether the host accepts new requests.
func (c *Controller) Status() ctrl.Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := ctrl.Status{Ready: c.acceptsRequests(), Detail: struct {
		State    State `json:"state"`
		InFlight int   `json:"in_flight"`
	}{c.state, c.inFlight}}
	if !s.Ready {
		s.Reason = "the host is " + string(c.state)
	}
	return s
}

// Close does nothing. It implements ctrl.Controller.
func (c *Controller) Close() {}

// State returns the current state.
func (c *Controller) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}

// IsLeaving reports whether the shutdown has begun, so that connections have to be closed
// after the next answer.
func (c *Controller) IsLeaving() bool {
	s := c.State()
	return s != Starting && s != Serving
}

// InFlight returns the number of requests in flight.
func (c *Controller) InFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inFlight
}

// SetServing changes the state from Starting to Serving. It does nothing in other states.
func (c *Controller) SetServing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == Starting {
		c.state = Serving
	}
}

// BeginRequest counts a request as in flight and reports whether the host accepts it: a host
// that is leaving accepts only what its deadline allows to finish. The returned context ends
// with ErrEnding if the process is about to end. The returned function ends the request and must
// be called; further calls do nothing.
func (c *Controller) BeginRequest(ctx context.Context, deadline time.Time) (requestCtx context.Context, end func(), ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.acceptsRequests() || !c.abortAt.IsZero() && deadline.After(c.abortAt) {
		return nil, nil, false
	}
	c.inFlight++
	requestCtx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(c.ended, func() { cancel(ErrEnding) })
	var once sync.Once
	return requestCtx, func() {
		once.Do(func() {
			stop()
			cancel(nil)
			c.endRequest()
		})
	}, true
}

// Leave shuts the host down and returns when no request is in flight or ctx ends. Shortly before
// the deadline of ctx, if it has one, the requests in flight are ended. A second call waits for
// the first one.
func (c *Controller) Leave(ctx context.Context) error {
	if plan, isFirst := c.beginLeaving(ctx); isFirst {
		c.log.Info("leaving", "hold", c.opts.Hold, "spread", c.opts.Spread, "closing_at", plan.Closing, "abort_at", plan.Abort, "in_flight", c.InFlight())
		if !plan.Abort.IsZero() {
			abort := time.AfterFunc(time.Until(plan.Abort), c.abort)
			defer abort.Stop()
		}
		if err := sleep(ctx, time.Until(plan.Closing)); err != nil {
			return err
		}
		c.beginClosing()
	}
	select {
	case <-c.idle:
		c.advance(Stopped)
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// beginLeaving returns the plan of the shutdown, and false if it has begun before.
func (c *Controller) beginLeaving(ctx context.Context) (Plan, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != Starting && c.state != Serving {
		return Plan{}, false
	}
	plan := Plan{Start: time.Now()}
	plan.Closing = plan.Start.Add(c.opts.Hold + c.opts.Spread)
	if deadline, ok := ctx.Deadline(); ok {
		plan = newPlanUntil(plan.Start, deadline, c.opts.Hold+c.opts.Spread)
	}
	c.state, c.abortAt = Leaving, plan.Abort
	return plan, true
}

func (c *Controller) acceptsRequests() bool { return c.state == Serving || c.state == Leaving }

func (c *Controller) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	invar.Check(c.inFlight >= 0, "requests in flight: %d", c.inFlight)
	if c.inFlight == 0 && c.state == Closing {
		close(c.idle)
	}
}

func (c *Controller) beginClosing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = Closing
	if c.inFlight == 0 {
		close(c.idle)
	}
}

// advance changes the state to a later one and reports whether it did.
func (c *Controller) advance(to State) bool {
	order := map[State]int{Starting: 0, Serving: 1, Leaving: 2, Closing: 3, Stopped: 4}
	c.mu.Lock()
	defer c.mu.Unlock()
	if order[to] <= order[c.state] {
		return false
	}
	c.state = to
	return true
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
