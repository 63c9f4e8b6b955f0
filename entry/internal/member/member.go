package member

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"chivepost/entry/internal/ctrl"
	"chivepost/share/hosts"
)

// Controller keeps the view of the other hosts up to date.
type Controller struct {
	opts   Options
	list   Lister
	beats  HeartbeatSender
	local  func() Heartbeat
	logger logr.Logger

	cancel context.CancelFunc
	wait   sync.WaitGroup
	now    chan struct{} // asks for a round of heartbeats to all peers

	mu         sync.Mutex
	view       *view
	read       time.Time // when the last good reading was begun; zero: never
	candidates *candidates
	peers      map[string]*peer
	wins       map[groupKey]time.Time
	freshUntil time.Time
	changed    bool      // candidates must be computed anew
	nextExpiry time.Time // when the next peer's leaving expires
	leaving    bool
	onBeat     []func(Heartbeat)
	random     *rand.Rand
	cycle      []string // all peers in the order of their turns
	failing    bool     // whether the last reading of the host list failed
	doubt      bool     // whether a majority must be heard for another reason
}

type groupKey struct{ key, dataCentre, region string }

// New starts a controller. The view is empty, and not fresh, until the first
// reading of the host list.
func New(opts Options, list Lister, beats HeartbeatSender, local func() Heartbeat, logger logr.Logger) *Controller {
	opts = opts.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	c := &Controller{
		opts: opts, list: list, beats: beats, local: local, logger: logger, cancel: cancel,
		now:        make(chan struct{}, 1),
		view:       newView(hosts.List{Version: -1}),
		candidates: newCandidates(nil),
		peers:      map[string]*peer{},
		wins:       map[groupKey]time.Time{},
		random:     rand.New(rand.NewPCG(opts.Seed, 0)),
	}
	c.wait.Go(func() { c.pollLoop(ctx) })
	c.wait.Go(func() { c.beatLoop(ctx) })
	return c
}

// Name returns "member".
func (c *Controller) Name() string { return "member" }

// Close stops the controller and waits for its goroutines.
func (c *Controller) Close() {
	c.cancel()
	c.wait.Wait()
}

// Detail is the part of Status that is about membership.
type Detail struct {
	ListVersion int64    `json:"list_version"`
	Entries     []string `json:"entries"`
	Suspected   []string `json:"suspected,omitempty"`
	Majority    bool     `json:"majority"`
}

// Status is ready while the view is fresh.
func (c *Controller) Status() ctrl.Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.refresh(now)
	d := Detail{ListVersion: c.view.version, Majority: c.hasMajority(now, c.opts.ViewMax)}
	for _, h := range c.candidates.all {
		d.Entries = append(d.Entries, h.Name)
	}
	for name, p := range c.peers {
		if p.isSuspected(now, c.startUp()) {
			d.Suspected = append(d.Suspected, name)
		}
	}
	slices.Sort(d.Suspected)
	s := ctrl.Status{Ready: c.isFresh(now), Detail: d}
	if !s.Ready {
		s.Reason = "the view of the host list is older than allowed"
	}
	return s
}

func (c *Controller) pollLoop(ctx context.Context) {
	for {
		c.poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(c.opts.PollInterval):
		}
	}
}

// poll reads the host list once. The reading counts from before the request was
// sent, since it may be as old as that.
func (c *Controller) poll(ctx context.Context) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, c.opts.ViewMax/2)
	defer cancel()
	list, err := c.list.Hosts(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.refresh(now)
	if err != nil {
		if !c.failing && ctx.Err() == nil {
			c.logger.Error(err, "host list not read", "list_version", c.view.version)
		}
		if !c.failing {
			c.tellAll()
		}
		c.failing = true
		return
	}
	c.failing = false
	// A lower version comes from a lagging copy. What it lacks is in this view
	// already, so it still proves that the view is no older than the lag allows.
	if list.Version > c.view.version {
		c.setView(newView(list), now)
	}
	c.read = began
	c.refresh(now)
}

func (c *Controller) setView(v *view, now time.Time) {
	c.view, c.changed = v, true
	for name := range c.peers {
		if !v.entry(name) {
			delete(c.peers, name)
		}
	}
	for _, h := range v.entries {
		if _, ok := c.peers[h.Name]; !ok && h.Name != c.opts.Self.Name {
			c.peers[h.Name] = &peer{listed: now}
		}
	}
}

// refresh brings what follows from the view, the heartbeats and the time up to
// date. Each method that reads such state calls it first.
func (c *Controller) refresh(now time.Time) {
	if c.changed || now.After(c.nextExpiry) {
		c.setCandidates(now)
	}
	until := c.freshness(now)
	if now.After(c.freshUntil) || now.After(until) {
		// The view was or is stale: another host may have been home meanwhile.
		clear(c.wins)
	}
	if until.After(c.freshUntil) {
		c.freshUntil = until
	}
}

func (c *Controller) setCandidates(now time.Time) {
	c.changed = false
	c.nextExpiry = now.Add(time.Hour)
	next := make([]hosts.Host, 0, len(c.view.entries))
	for _, h := range c.view.entries {
		if c.isCandidate(h, now) {
			next = append(next, h)
		} else if p := c.peers[h.Name]; p != nil && p.isLeaving(now, c.leaveBound()) {
			if t := p.heard.Add(c.leaveBound()); t.Before(c.nextExpiry) {
				c.nextExpiry = t
			}
		}
	}
	c.candidates = newCandidates(next)
	for k := range c.wins {
		if !c.isWinner(k) {
			delete(c.wins, k)
		}
	}
}

// leaveBound is for how long a peer's word that it is leaving counts.
func (c *Controller) leaveBound() time.Duration { return c.opts.ListLag + c.opts.ViewMax }

func (c *Controller) isCandidate(h hosts.Host, now time.Time) bool {
	if h.State != hosts.StateLive {
		return false
	}
	if h.Name == c.opts.Self.Name {
		return !c.leaving
	}
	p := c.peers[h.Name]
	return p == nil || !p.isLeaving(now, c.leaveBound())
}

func (c *Controller) isWinner(k groupKey) bool {
	h, ok := c.candidates.winner(k.key, k.dataCentre, k.region)
	return ok && h.Name == c.opts.Self.Name
}

// freshness returns until when the view is fresh, as far as is known now.
func (c *Controller) freshness(now time.Time) time.Time {
	if c.read.IsZero() {
		return time.Time{}
	}
	until := c.read.Add(c.opts.ViewMax)
	if now.Sub(c.read) <= c.opts.ViewMax/2 {
		return until
	}
	// A peer's view may be a poll older than its heartbeat.
	within := c.opts.ViewMax - c.opts.PollInterval
	if t, ok := c.majorityHeard(); ok && now.Sub(t) <= within && !c.isOutrun(now) {
		if m := t.Add(within); m.After(until) {
			until = m
		}
	}
	return until
}

// isFresh reports whether the view is fresh. Unlike freshUntil, which only
// grows, it heeds a higher version heard since.
func (c *Controller) isFresh(now time.Time) bool { return !now.After(c.freshness(now)) }

// isOutrun reports whether a peer heard of late has a higher list version.
func (c *Controller) isOutrun(now time.Time) bool {
	for _, p := range c.peers {
		if !p.heard.IsZero() && now.Sub(p.heard) <= c.opts.ViewMax && p.beat.ListVersion > c.view.version {
			return true
		}
	}
	return false
}

// majorityHeard returns the latest time since which a majority of the entry
// hosts in the view, this one included, has been heard.
func (c *Controller) majorityHeard() (time.Time, bool) {
	n := len(c.view.entries)
	heard := make([]time.Time, 0, n)
	self := 0
	for _, h := range c.view.entries {
		if h.Name == c.opts.Self.Name {
			self = 1
		} else if p := c.peers[h.Name]; p != nil && !p.heard.IsZero() {
			heard = append(heard, p.heard)
		}
	}
	need := n/2 + 1 - self
	if n == 0 || need > len(heard) {
		return time.Time{}, false
	}
	if need <= 0 {
		return time.Now(), true
	}
	slices.SortFunc(heard, func(a, b time.Time) int { return b.Compare(a) })
	return heard[need-1], true
}

func (c *Controller) hasMajority(now time.Time, within time.Duration) bool {
	t, ok := c.majorityHeard()
	return ok && now.Sub(t) <= within
}
