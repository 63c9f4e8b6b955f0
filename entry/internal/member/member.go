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

// Controller keeps the view of the other hosts up to date. It reads the host list
// and exchanges heartbeats with its peers.
type Controller struct {
	opts   Options
	list   Lister
	sender HeartbeatSender
	local  func() Heartbeat
	logger logr.Logger

	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	roundNow   chan struct{} // requests a round of heartbeats to all peers

	mu               sync.Mutex
	view             *view
	lastRead         time.Time // start of the last successful read of the host list; zero: none
	candidates       *candidates
	peers            map[string]*peer
	homeSince        map[groupKey]time.Time
	freshUntil       time.Time
	candidatesStale  bool      // whether candidates must be recomputed
	nextLeaveExpiry  time.Time // when the next leaving state of a peer expires
	leaving          bool
	onHeartbeat      []func(Heartbeat)
	random           *rand.Rand
	turnOrder        []string // all peers in the order of their turns
	listFailing      bool     // whether the last read of the host list failed
	majorityRequired bool     // set by RequireMajority
}

type groupKey struct{ key, dataCentre, region string }

// New starts a controller. The view is empty and not fresh until the host list is
// first read. The function local returns this host's state for its heartbeats.
func New(opts Options, list Lister, sender HeartbeatSender, local func() Heartbeat, logger logr.Logger) *Controller {
	opts = opts.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	c := &Controller{
		opts: opts, list: list, sender: sender, local: local, logger: logger, cancel: cancel,
		roundNow:   make(chan struct{}, 1),
		view:       newView(hosts.List{Version: -1}),
		candidates: newCandidates(nil),
		peers:      map[string]*peer{},
		homeSince:  map[groupKey]time.Time{},
		random:     rand.New(rand.NewPCG(opts.Seed, 0)),
	}
	c.goroutines.Go(func() { c.pollLoop(ctx) })
	c.goroutines.Go(func() { c.heartbeatLoop(ctx) })
	return c
}

// Name returns "member".
func (c *Controller) Name() string { return "member" }

// Close stops the controller and waits for its goroutines.
func (c *Controller) Close() {
	c.cancel()
	c.goroutines.Wait()
}

// Detail is what Status reports of the view of the entry hosts.
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
	d := Detail{ListVersion: c.view.version, Majority: c.hasMajority(now, c.opts.MaxViewAge)}
	for _, h := range c.candidates.all {
		d.Entries = append(d.Entries, h.Name)
	}
	for name, p := range c.peers {
		if p.isSuspected(now, c.startupGrace()) {
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

// pollLoop reads the host list every PollInterval until ctx ends.
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

// poll reads the host list once. The age of the result counts from before the
// request was sent.
func (c *Controller) poll(ctx context.Context) {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, c.opts.MaxViewAge/2)
	defer cancel()
	list, err := c.list.Hosts(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.refresh(now)
	if err != nil {
		if !c.listFailing && ctx.Err() == nil {
			c.logger.Error(err, "host list not read", "list_version", c.view.version)
		}
		if !c.listFailing {
			c.requestFullRound()
		}
		c.listFailing = true
		return
	}
	c.listFailing = false
	// A lower version comes from a lagging copy. The view already contains all that
	// it lacks, so the read still shows that the view is no older than ListLag.
	if list.Version > c.view.version {
		c.setView(newView(list), now)
	}
	c.lastRead = started
	c.refresh(now)
}

// setView switches to a new view and adds and removes peers accordingly.
func (c *Controller) setView(v *view, now time.Time) {
	c.view, c.candidatesStale = v, true
	for name := range c.peers {
		if !v.hasEntry(name) {
			delete(c.peers, name)
		}
	}
	for _, h := range v.entries {
		if _, ok := c.peers[h.Name]; !ok && h.Name != c.opts.Self.Name {
			c.peers[h.Name] = &peer{listedAt: now}
		}
	}
}

// refresh updates the candidates, homes and freshness, which depend on the view,
// the heartbeats and the time. Methods that read them call it first.
func (c *Controller) refresh(now time.Time) {
	if c.candidatesStale || now.After(c.nextLeaveExpiry) {
		c.updateCandidates(now)
	}
	until := c.computeFreshUntil(now)
	if now.After(c.freshUntil) || now.After(until) {
		// The view was or is stale, so another host may have been home in between.
		clear(c.homeSince)
	}
	if until.After(c.freshUntil) {
		c.freshUntil = until
	}
}

// updateCandidates recomputes the candidates and drops the groups whose home this
// host no longer is.
func (c *Controller) updateCandidates(now time.Time) {
	c.candidatesStale = false
	c.nextLeaveExpiry = now.Add(time.Hour)
	next := make([]hosts.Host, 0, len(c.view.entries))
	for _, h := range c.view.entries {
		if c.isCandidate(h, now) {
			next = append(next, h)
		} else if p := c.peers[h.Name]; p != nil && p.isLeaving(now, c.leaveExpiry()) {
			if t := p.receivedAt.Add(c.leaveExpiry()); t.Before(c.nextLeaveExpiry) {
				c.nextLeaveExpiry = t
			}
		}
	}
	c.candidates = newCandidates(next)
	for k := range c.homeSince {
		if !c.isOwnHome(k) {
			delete(c.homeSince, k)
		}
	}
}

// leaveExpiry is how long a heartbeat that says the peer is leaving counts.
func (c *Controller) leaveExpiry() time.Duration { return c.opts.ListLag + c.opts.MaxViewAge }

// isCandidate reports whether a host may be home: it is live and not leaving.
func (c *Controller) isCandidate(h hosts.Host, now time.Time) bool {
	if h.State != hosts.StateLive {
		return false
	}
	if h.Name == c.opts.Self.Name {
		return !c.leaving
	}
	p := c.peers[h.Name]
	return p == nil || !p.isLeaving(now, c.leaveExpiry())
}

// isOwnHome reports whether this host is home of a group.
func (c *Controller) isOwnHome(k groupKey) bool {
	h, ok := c.candidates.homeOf(k.key, k.dataCentre, k.region)
	return ok && h.Name == c.opts.Self.Name
}

// computeFreshUntil returns until when the view is fresh by the last read of the
// host list or, if that is getting old, by the heartbeats of a majority.
func (c *Controller) computeFreshUntil(now time.Time) time.Time {
	if c.lastRead.IsZero() {
		return time.Time{}
	}
	until := c.lastRead.Add(c.opts.MaxViewAge)
	if now.Sub(c.lastRead) <= c.opts.MaxViewAge/2 {
		return until
	}
	// A peer's view may be older than its heartbeat by PollInterval.
	within := c.opts.MaxViewAge - c.opts.PollInterval
	if t, ok := c.majoritySince(); ok && now.Sub(t) <= within && !c.peerHasNewerList(now) {
		if m := t.Add(within); m.After(until) {
			until = m
		}
	}
	return until
}

// isFresh reports whether the view is fresh. Unlike freshUntil, which only grows,
// it takes into account that a peer may since have sent a higher list version.
func (c *Controller) isFresh(now time.Time) bool { return !now.After(c.computeFreshUntil(now)) }

// peerHasNewerList reports whether a peer has sent a higher list version within
// MaxViewAge.
func (c *Controller) peerHasNewerList(now time.Time) bool {
	for _, p := range c.peers {
		if !p.receivedAt.IsZero() && now.Sub(p.receivedAt) <= c.opts.MaxViewAge && p.heartbeat.ListVersion > c.view.version {
			return true
		}
	}
	return false
}

// majoritySince returns the latest time such that a majority of the entry
// hosts in the view, this one included, has sent a heartbeat since.
func (c *Controller) majoritySince() (time.Time, bool) {
	n := len(c.view.entries)
	received := make([]time.Time, 0, n)
	self := 0
	for _, h := range c.view.entries {
		if h.Name == c.opts.Self.Name {
			self = 1
		} else if p := c.peers[h.Name]; p != nil && !p.receivedAt.IsZero() {
			received = append(received, p.receivedAt)
		}
	}
	need := n/2 + 1 - self
	if n == 0 || need > len(received) {
		return time.Time{}, false
	}
	if need <= 0 {
		return time.Now(), true
	}
	slices.SortFunc(received, func(a, b time.Time) int { return b.Compare(a) })
	return received[need-1], true
}

// hasMajority reports whether a majority has sent a heartbeat within the given
// time.
func (c *Controller) hasMajority(now time.Time, within time.Duration) bool {
	t, ok := c.majoritySince()
	return ok && now.Sub(t) <= within
}
