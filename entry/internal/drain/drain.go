// Package drain is the controller of the entry host's own state: it counts the
// requests in flight and takes the host through a graceful shutdown.
package drain

import (
	"context"
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
	// Leaving: named to no caller any more, but callers that hold the address are served.
	Leaving State = "leaving"
	// Closing: every hold has passed, no new request is taken.
	Closing State = "closing"
	Stopped State = "stopped"
)

// Options sets the times of a shutdown. Hold is how long callers keep an address,
// Spread how long it takes until no peer names this host any more.
type Options struct {
	Hold   time.Duration
	Spread time.Duration
}

// Controller counts requests and keeps the state.
type Controller struct {
	opts Options
	log  logr.Logger

	mu       sync.Mutex
	state    State
	inFlight int
	idle     chan struct{} // closed when a closing host has nothing in flight
}

// New returns a controller in state Starting.
func New(opts Options, log logr.Logger) *Controller {
	return &Controller{opts: opts, log: log, state: Starting, idle: make(chan struct{})}
}

// Name returns the controller's name.
func (c *Controller) Name() string { return "drain" }

// Status reports whether new requests are taken.
func (c *Controller) Status() ctrl.Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := ctrl.Status{Ready: c.takesWork(), Detail: struct {
		State    State `json:"state"`
		InFlight int   `json:"in_flight"`
	}{c.state, c.inFlight}}
	if !s.Ready {
		s.Reason = "the host is " + string(c.state)
	}
	return s
}

// Close has nothing to end; it satisfies ctrl.Controller.
func (c *Controller) Close() {}

// State returns the present state.
func (c *Controller) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}

// IsLeaving reports whether connections are to be closed after their answer.
func (c *Controller) IsLeaving() bool {
	s := c.State()
	return s != Starting && s != Serving
}

// InFlight returns the number of requests under way.
func (c *Controller) InFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inFlight
}

// SetServing moves a starting host to Serving.
func (c *Controller) SetServing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == Starting {
		c.state = Serving
	}
}

// BeginRequest counts a request in and reports whether it may be taken. The returned
// function counts it out and must be called once.
func (c *Controller) BeginRequest() (leave func(), ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.takesWork() {
		return nil, false
	}
	c.inFlight++
	var once sync.Once
	return func() { once.Do(c.exit) }, true
}

// Leave takes the host through a shutdown and returns when no request is in
// flight or ctx ends. A second call waits for the first one's end.
func (c *Controller) Leave(ctx context.Context) error {
	if c.move(Leaving) {
		c.log.Info("leaving", "hold", c.opts.Hold, "spread", c.opts.Spread, "in_flight", c.InFlight())
		if err := sleep(ctx, c.opts.Hold+c.opts.Spread); err != nil {
			return err
		}
		c.close()
	}
	select {
	case <-c.idle:
		c.move(Stopped)
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *Controller) takesWork() bool { return c.state == Serving || c.state == Leaving }

func (c *Controller) exit() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	invar.Check(c.inFlight >= 0, "requests in flight: %d", c.inFlight)
	if c.inFlight == 0 && c.state == Closing {
		close(c.idle)
	}
}

func (c *Controller) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = Closing
	if c.inFlight == 0 {
		close(c.idle)
	}
}

// move changes the state if it comes later in the order and reports whether it did.
func (c *Controller) move(to State) bool {
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
