package member

import (
	"context"
	"slices"
	"time"

	"chivepost/share/hosts"
)

// HandleHeartbeat records a peer's heartbeat and returns this host's own.
func (c *Controller) HandleHeartbeat(b Heartbeat) Heartbeat {
	c.hear(b)
	return c.ownBeat()
}

// OnHeartbeat has f called for each heartbeat heard. Calls may be concurrent.
func (c *Controller) OnHeartbeat(f func(Heartbeat)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onBeat = append(c.onBeat, f)
}

// SetLeaving takes this host out of its own view as a home and tells all peers
// at once.
func (c *Controller) SetLeaving() {
	c.mu.Lock()
	c.leaving, c.changed = true, true
	c.refresh(time.Now())
	c.mu.Unlock()
	c.tellAll()
}

// hear records a heartbeat. That of a host which isn't in the list yet is only
// passed on; one of an incarnation that was replaced says nothing any more.
func (c *Controller) hear(b Heartbeat) {
	c.mu.Lock()
	if p, ok := c.peers[b.Host]; ok {
		if b.Interval <= 0 || !p.accepts(b.Incarnation, time.Now()) {
			c.mu.Unlock()
			return
		}
		c.record(p, b, time.Now())
	}
	calls := c.onBeat
	c.mu.Unlock()
	for _, f := range calls {
		f(b)
	}
}

func (c *Controller) record(p *peer, b Heartbeat, now time.Time) {
	c.refresh(now)
	// A host that has said it is leaving doesn't return in the same incarnation,
	// so a later "serving" was overtaken on the way.
	if b.Incarnation == p.beat.Incarnation && p.beat.State == StateLeaving && b.State == StateServing {
		b.State = StateLeaving
	}
	c.changed = c.changed || p.beat.State != b.State || b.State == StateLeaving
	p.beat, p.heard = b, now
	c.refresh(now)
}

// ownBeat returns this host's heartbeat. What is said of logs, configuration and
// state comes from local.
func (c *Controller) ownBeat() Heartbeat {
	b := c.local()
	c.mu.Lock()
	defer c.mu.Unlock()
	b.Host, b.Incarnation = c.opts.Self.Name, c.opts.Incarnation
	b.ListVersion = c.view.version
	b.Interval = c.interval()
	if c.leaving && b.State != StateStopped {
		b.State = StateLeaving
	}
	return b
}

// interval returns the time between two heartbeats to the same peer. Peers are
// taken in turn, so it is the length of a cycle.
func (c *Controller) interval() time.Duration {
	n := len(c.peers)
	if n+1 <= wholeRound {
		return c.opts.HeartbeatInterval
	}
	k := c.fanOut(n)
	return time.Duration((n+k-1)/k) * c.opts.HeartbeatInterval
}

// fanOut returns the number of peers per round among n. While a majority must be
// heard, it is so high that half of the peers are reached while a view is fresh,
// at the cost of traffic in proportion to n.
func (c *Controller) fanOut(n int) int {
	if !c.failing && !c.doubt {
		return min(c.opts.FanOut, max(n, 1))
	}
	rounds := max(1, int((c.opts.ViewMax-c.opts.PollInterval)/c.opts.HeartbeatInterval))
	return max(c.opts.FanOut, (n/2+rounds)/rounds)
}

// RequireMajority says whether a majority must be heard for another reason than an
// outage of the host list, such as one of the log service.
func (c *Controller) RequireMajority(need bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if need && !c.doubt {
		c.tellAll()
	}
	c.doubt = need
}

// tellAll asks for a round of heartbeats to all peers at once.
func (c *Controller) tellAll() {
	select {
	case c.now <- struct{}{}:
	default:
	}
}

// startUp returns how long a peer may stay unheard before it is suspected. With many
// hosts a cycle of heartbeats takes longer than the option: 46 s at 370.
func (c *Controller) startUp() time.Duration { return max(c.opts.StartupGrace, 2*c.interval()) }

func (c *Controller) beatLoop(ctx context.Context) {
	// The first round waits for the host list, which names the peers.
	timer := time.NewTimer(c.opts.HeartbeatInterval / 10)
	defer timer.Stop()
	for {
		all := false
		select {
		case <-ctx.Done():
			return
		case <-c.now:
			all = true
		case <-timer.C:
			timer.Reset(c.opts.HeartbeatInterval)
		}
		for _, h := range c.round(all) {
			c.wait.Go(func() { c.beat(ctx, h) })
		}
	}
}

// beat exchanges heartbeats with one peer. A failure isn't logged: silence is
// what suspicion is made of, and Status shows it.
func (c *Controller) beat(ctx context.Context, to hosts.Host) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.HeartbeatInterval)
	defer cancel()
	if b, err := c.beats.SendHeartbeat(ctx, to, c.ownBeat()); err == nil {
		c.hear(b)
	}
}

// round returns the peers that get a heartbeat now. Above nine hosts they are
// taken in turn from a cycle in random order, so that the time between two is
// bounded and rounds in a row reach different peers.
func (c *Controller) round(all bool) []hosts.Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	others := c.others()
	if all || len(others)+1 <= wholeRound {
		return others
	}
	byName := make(map[string]hosts.Host, len(others))
	for _, h := range others {
		byName[h.Name] = h
	}
	c.cycle = slices.DeleteFunc(c.cycle, func(name string) bool { return byName[name].Name == "" })
	for _, h := range others {
		if !slices.Contains(c.cycle, h.Name) {
			c.cycle = slices.Insert(c.cycle, c.random.IntN(len(c.cycle)+1), h.Name)
		}
	}
	k := min(c.fanOut(len(others)), len(c.cycle))
	picked := make([]hosts.Host, 0, k)
	for _, name := range c.cycle[:k] {
		picked = append(picked, byName[name])
	}
	c.cycle = append(c.cycle[k:], c.cycle[:k]...)
	return picked
}
