package slots

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"chivepost/entry/internal/ctrl"
	"chivepost/share/bundle"
	"chivepost/share/target"
)

// tickInterval is the time between two checks of homes, expiry and limits.
const tickInterval = 100 * time.Millisecond

// sendAttempts is how often the sending of a revocation or handover is tried.
// If all attempts fail, the waits of the protocol cover the loss.
const sendAttempts = 3

var errNoHome = errors.New("the group has no reachable home")

// Controller runs both roles of one entry host: it grants slots of the groups
// whose home the host is, and holds slots for the host's own calls.
type Controller struct {
	opts         Options
	members      Membership
	peers        Peers
	loads        Loader
	current      func() *bundle.Bundle
	logger       logr.Logger
	home         *home
	holder       *holder
	cachedLayout atomic.Pointer[layout]

	ctx    context.Context
	cancel context.CancelFunc
	wakeup chan struct{}

	mu         sync.Mutex
	closed     bool
	goroutines sync.WaitGroup
}

// New starts a controller. The function current returns the newest
// configuration, nil while there is none.
func New(opts Options, members Membership, peers Peers, loads Loader, current func() *bundle.Bundle, logger logr.Logger) *Controller {
	opts = opts.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	c := &Controller{
		opts: opts, members: members, peers: peers, loads: loads, current: current, logger: logger,
		home: newHome(opts, members), holder: newHolder(opts, members),
		ctx: ctx, cancel: cancel, wakeup: make(chan struct{}, 1),
	}
	c.goroutines.Go(c.requestLoop)
	c.goroutines.Go(c.homeLoop)
	return c
}

// Name returns "slots".
func (c *Controller) Name() string { return "slots" }

// Status is ready once there is a configuration.
func (c *Controller) Status() ctrl.Status {
	if c.layout() == nil {
		return ctrl.Status{Reason: "no configuration yet"}
	}
	return ctrl.Status{Ready: true}
}

// Close stops the controller and waits for its goroutines.
func (c *Controller) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel()
	c.goroutines.Wait()
}

// start runs f in a goroutine unless the controller is closed. Messages may
// still arrive after Close.
func (c *Controller) start(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.goroutines.Go(f)
	}
}

// layout returns the groups of the newest configuration, nil while there is none.
func (c *Controller) layout() *layout {
	b := c.current()
	l := c.cachedLayout.Load()
	if b == nil || l != nil && l.bundle == b {
		return l
	}
	l = newLayout(b, c.opts.GroupSize)
	c.cachedLayout.Store(l)
	return l
}

// wake makes the request loop check at once whether requests are due.
func (c *Controller) wake() {
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
}

// SetWaiting sets the number of calls that wait for a pool on this host now.
func (c *Controller) SetWaiting(pool string, n int) {
	if c.holder.setWaiting(pool, n) {
		c.wake()
	}
}

// Take takes a free slot of a target. The slot must be returned with Done.
func (c *Controller) Take(name string) (*Hold, bool) {
	hold, ok := c.holder.take(name, c.layout())
	if ok {
		hold.controller = c
	}
	return hold, ok
}

// Changed returns a channel that is closed when slots may have become free.
func (c *Controller) Changed() <-chan struct{} {
	c.holder.mu.Lock()
	defer c.holder.mu.Unlock()
	return c.holder.changed
}

// HandleRequest answers a holder's request.
func (c *Controller) HandleRequest(from string, incarnation uint64, req Request) Grant {
	grant := c.home.handleRequest(holderID{from, incarnation}, req, c.layout())
	c.sendPending()
	return grant
}

// HandleRevoke applies a home's revocation.
func (c *Controller) HandleRevoke(r Revoke) {
	c.holder.revoke(r)
	c.wake()
}

// HandleHandover records the grants of the previous home.
func (c *Controller) HandleHandover(from string, h Handover) {
	c.logger.V(1).Info("handover received", "from", from, "group", h.Group)
	c.home.handleHandover(h, c.layout())
}

// Leave stops granting and hands over all groups. Call it after the membership
// has marked this host as leaving, since that selects the next homes. It returns
// once each handover has been acknowledged or all attempts to send it have failed,
// or when ctx ends.
func (c *Controller) Leave(ctx context.Context) {
	c.home.leave()
	revocations, handovers := c.home.takeOutgoing()
	c.sendRevocations(revocations)
	var wait sync.WaitGroup
	for _, m := range handovers {
		wait.Go(func() { c.sendHandover(ctx, m) })
	}
	wait.Wait()
}

// requestLoop sends due requests for slots until the controller is closed.
func (c *Controller) requestLoop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-c.wakeup:
		case <-timer.C:
		}
		requests, next := c.holder.dueRequests(c.layout())
		for _, o := range requests {
			c.start(func() { c.sendRequest(o) })
		}
		timer.Reset(max(time.Until(next), time.Millisecond))
	}
}

func (c *Controller) sendRequest(o outgoingRequest) {
	grant, err := c.requestFromHome(o)
	if err != nil && !errors.Is(err, errNoHome) {
		c.logger.V(1).Info("request for slots failed", "group", o.group.key, "err", err.Error())
	}
	c.holder.handleGrant(o, grant, err)
	c.wake()
}

// requestFromHome sends a request to the group's home, which may be this host.
func (c *Controller) requestFromHome(o outgoingRequest) (Grant, error) {
	to, ok := c.members.Home(o.group.key, o.group.dataCentre, o.group.region)
	if !ok {
		return Grant{}, errNoHome
	}
	if to.Name == c.opts.Host {
		return c.HandleRequest(c.opts.Host, c.opts.Incarnation, o.request), nil
	}
	ctx, cancel := context.WithTimeout(c.ctx, c.opts.RenewInterval)
	defer cancel()
	return c.peers.Request(ctx, to, o.request)
}

// homeLoop runs the home's ticks and polls load reports until the controller is
// closed.
func (c *Controller) homeLoop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var polled time.Time
	for {
		targets := c.home.tick(c.layout())
		c.sendPending()
		if time.Since(polled) >= c.opts.LoadPollInterval {
			polled = time.Now()
			for _, t := range targets {
				c.pollLoad(t)
			}
		}
		select {
		case <-c.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// pollLoad reads one load report in the background, unless one is being read.
func (c *Controller) pollLoad(t *homeTarget) {
	address, ok := c.home.beginLoadRead(t)
	if !ok {
		return
	}
	c.start(func() {
		ctx, cancel := context.WithTimeout(c.ctx, 2*c.opts.LoadPollInterval)
		defer cancel()
		began := time.Now()
		load, err := c.loads.LoadReport(ctx, address)
		c.home.endLoadRead(t, load, time.Since(began), err)
		c.sendPending()
	})
}

// sendPending sends the revocations and handovers that the home has queued.
func (c *Controller) sendPending() {
	revocations, handovers := c.home.takeOutgoing()
	c.sendRevocations(revocations)
	for _, m := range handovers {
		c.start(func() { c.sendHandover(c.ctx, m) })
	}
}

func (c *Controller) sendRevocations(revocations []outgoingRevoke) {
	for _, o := range revocations {
		if o.to == c.opts.Host {
			c.HandleRevoke(o.revoke)
			continue
		}
		c.start(func() { c.sendRevoke(o) })
	}
}

func (c *Controller) sendRevoke(o outgoingRevoke) {
	err := c.retry(c.ctx, func(ctx context.Context) error { return c.peers.Revoke(ctx, o.to, o.revoke) })
	if err != nil {
		c.logger.V(1).Info("revocation not sent", "to", o.to, "target", o.revoke.Target, "err", err.Error())
	}
}

func (c *Controller) sendHandover(ctx context.Context, m outgoingHandover) {
	err := c.retry(ctx, func(ctx context.Context) error { return c.peers.Handover(ctx, m.to, m.handover) })
	if err != nil {
		c.logger.V(1).Info("handover not sent", "to", m.to.Name, "group", m.handover.Group, "err", err.Error())
	}
}

// retry calls send until it succeeds, at most sendAttempts times.
func (c *Controller) retry(ctx context.Context, send func(context.Context) error) error {
	var err error
	for range sendAttempts {
		attemptCtx, cancel := context.WithTimeout(ctx, c.opts.RenewInterval)
		err = send(attemptCtx)
		cancel()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(c.opts.RenewInterval / 10):
		}
	}
	return err
}

var _ Loader = target.Caller(nil)
