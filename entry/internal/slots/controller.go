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

// tickEvery is the time between two looks at terms, expiry and limits.
const tickEvery = 100 * time.Millisecond

// sendTries is how often a revocation or handover is sent before the waits of
// the protocol are left to cover its loss.
const sendTries = 3

var errNoHome = errors.New("no home to ask")

// Controller is both sides of slots at one entry host.
type Controller struct {
	opts    Options
	members Membership
	peers   Peers
	loads   Loader
	current func() *bundle.Bundle
	logger  logr.Logger
	home    *home
	holder  *holder
	cached  atomic.Pointer[layout]

	ctx    context.Context
	cancel context.CancelFunc
	kick   chan struct{}

	mu     sync.Mutex
	closed bool
	wait   sync.WaitGroup
}

// New starts a controller. Current returns the newest configuration, nil while
// there is none.
func New(opts Options, members Membership, peers Peers, loads Loader, current func() *bundle.Bundle, logger logr.Logger) *Controller {
	opts = opts.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	c := &Controller{
		opts: opts, members: members, peers: peers, loads: loads, current: current, logger: logger,
		home: newHome(opts, members), holder: newHolder(opts, members),
		ctx: ctx, cancel: cancel, kick: make(chan struct{}, 1),
	}
	c.wait.Go(c.askLoop)
	c.wait.Go(c.homeLoop)
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
	c.wait.Wait()
}

// start runs f unless the controller is closed; messages may still come in then.
func (c *Controller) start(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.wait.Go(f)
	}
}

// layout returns the groups of the newest configuration, nil while there is none.
func (c *Controller) layout() *layout {
	b := c.current()
	l := c.cached.Load()
	if b == nil || l != nil && l.bundle == b {
		return l
	}
	l = newLayout(b, c.opts.GroupSize)
	c.cached.Store(l)
	return l
}

func (c *Controller) wake() {
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

// SetWaiting sets the number of calls that wait for a pool on this host now.
func (c *Controller) SetWaiting(pool string, n int) {
	if c.holder.setWant(pool, n) {
		c.wake()
	}
}

// Take takes a free slot of a target. The slot must be returned with Done.
func (c *Controller) Take(name string) (*Hold, bool) {
	hold, ok := c.holder.take(name, c.layout())
	if ok {
		hold.c = c
	}
	return hold, ok
}

// Changed returns a channel that is closed when slots may have become free.
func (c *Controller) Changed() <-chan struct{} {
	c.holder.mu.Lock()
	defer c.holder.mu.Unlock()
	return c.holder.changed
}

// HandleRequest answers a holder's ask.
func (c *Controller) HandleRequest(from string, incarnation uint64, ask Request) Grant {
	give := c.home.ask(holderID{from, incarnation}, ask, c.layout())
	c.flush()
	return give
}

// HandleRevoke takes in a home's revocation.
func (c *Controller) HandleRevoke(r Revoke) {
	c.holder.revoke(r)
	c.wake()
}

// HandleHandover takes in the grants of the home before.
func (c *Controller) HandleHandover(from string, h Handover) {
	c.logger.V(1).Info("handover received", "from", from, "group", h.Group)
	c.home.handover(h, c.layout())
}

// Leave stops granting and hands all groups over. It is called after the
// membership has been told that this host is leaving, and returns when the
// handovers have been received or ctx has ended.
func (c *Controller) Leave(ctx context.Context) {
	c.home.leave()
	orders, moves := c.home.takeOrders()
	c.sendOrders(orders)
	var sent sync.WaitGroup
	for _, m := range moves {
		sent.Go(func() { c.sendHandover(ctx, m) })
	}
	sent.Wait()
}

func (c *Controller) askLoop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-c.kick:
		case <-timer.C:
		}
		out, next := c.holder.due(c.layout())
		for _, o := range out {
			c.start(func() { c.sendAsk(o) })
		}
		timer.Reset(max(time.Until(next), time.Millisecond))
	}
}

func (c *Controller) sendAsk(o outgoing) {
	give, err := c.askHome(o)
	if err != nil && !errors.Is(err, errNoHome) {
		c.logger.V(1).Info("slots not asked", "group", o.group.key, "err", err.Error())
	}
	c.holder.accept(o, give, err)
	c.wake()
}

func (c *Controller) askHome(o outgoing) (Grant, error) {
	to, ok := c.members.Home(o.group.key, o.group.dataCentre, o.group.region)
	if !ok {
		return Grant{}, errNoHome
	}
	if to.Name == c.opts.Host {
		return c.HandleRequest(c.opts.Host, c.opts.Incarnation, o.ask), nil
	}
	ctx, cancel := context.WithTimeout(c.ctx, c.opts.RenewInterval)
	defer cancel()
	return c.peers.Request(ctx, to, o.ask)
}

func (c *Controller) homeLoop() {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	var polled time.Time
	for {
		targets := c.home.tick(c.layout())
		c.flush()
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
	address, ok := c.home.beginLoad(t)
	if !ok {
		return
	}
	c.start(func() {
		ctx, cancel := context.WithTimeout(c.ctx, 2*c.opts.LoadPollInterval)
		defer cancel()
		began := time.Now()
		load, err := c.loads.Load(ctx, address)
		c.home.endLoad(t, load, time.Since(began), err)
		c.flush()
	})
}

// flush sends what the home has to tell other hosts.
func (c *Controller) flush() {
	orders, moves := c.home.takeOrders()
	c.sendOrders(orders)
	for _, m := range moves {
		c.start(func() { c.sendHandover(c.ctx, m) })
	}
}

func (c *Controller) sendOrders(orders []order) {
	for _, o := range orders {
		if o.to == c.opts.Host {
			c.HandleRevoke(o.revoke)
			continue
		}
		c.start(func() { c.sendRevoke(o) })
	}
}

func (c *Controller) sendRevoke(o order) {
	err := c.try(c.ctx, func(ctx context.Context) error { return c.peers.Revoke(ctx, o.to, o.revoke) })
	if err != nil {
		c.logger.V(1).Info("revocation not sent", "to", o.to, "target", o.revoke.Target, "err", err.Error())
	}
}

func (c *Controller) sendHandover(ctx context.Context, m move) {
	err := c.try(ctx, func(ctx context.Context) error { return c.peers.Handover(ctx, m.to, m.handover) })
	if err != nil {
		c.logger.V(1).Info("handover not sent", "to", m.to.Name, "group", m.handover.Group, "err", err.Error())
	}
}

// try sends until it works, a few times at short intervals.
func (c *Controller) try(ctx context.Context, send func(context.Context) error) error {
	var err error
	for range sendTries {
		one, cancel := context.WithTimeout(ctx, c.opts.RenewInterval)
		err = send(one)
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
