package member

import (
	"context"
	"slices"
	"time"

	"chivepost/share/hosts"
)

// HandleHeartbeat records a peer's heartbeat and returns this host's own.
func (c *Controller) HandleHeartbeat(b Heartbeat) Heartbeat {
	c.handleHeartbeat(b)
	return c.ownHeartbeat()
}

// OnHeartbeat registers f to be called for each heartbeat received. Calls may be
// concurrent.
func (c *Controller) OnHeartbeat(f func(Heartbeat)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onHeartbeat = append(c.onHeartbeat, f)
}

// SetLeaving stops this host from being home in its own view and sends all peers
// a heartbeat at once.
func (c *Controller) SetLeaving() {
	c.mu.Lock()
	c.leaving, c.candidatesStale = true, true
	c.refresh(time.Now())
	c.mu.Unlock()
	c.requestFullRound()
}

// handleHeartbeat records a heartbeat and calls the functions registered with
// OnHeartbeat. A heartbeat of a host that isn't in the list yet is not recorded;
// one of a replaced incarnation is ignored.
func (c *Controller) handleHeartbeat(b Heartbeat) {
	c.mu.Lock()
	if p, ok := c.peers[b.Host]; ok {
		if b.Interval <= 0 || !p.accepts(b.Incarnation, time.Now()) {
			c.mu.Unlock()
			return
		}
		c.record(p, b, time.Now())
	}
	callbacks := c.onHeartbeat
	c.mu.Unlock()
	for _, f := range callbacks {
		f(b)
	}
}

// record updates a peer with its heartbeat.
func (c *Controller) record(p *peer, b Heartbeat, now time.Time) {
	c.refresh(now)
	// A leaving host doesn't serve again in the same incarnation, so this heartbeat
	// was sent before the one that said it is leaving.
	if b.Incarnation == p.heartbeat.Incarnation && p.heartbeat.State == StateLeaving && b.State == StateServing {
		b.State = StateLeaving
	}
	c.candidatesStale = c.candidatesStale || p.heartbeat.State != b.State || b.State == StateLeaving
	p.heartbeat, p.receivedAt = b, now
	c.refresh(now)
}

// ownHeartbeat returns this host's heartbeat. Its state, configuration version and
// log age come from local.
func (c *Controller) ownHeartbeat() Heartbeat {
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

// interval returns the time between two heartbeats to the same peer. That is the
// length of a cycle, in which each peer gets one heartbeat.
func (c *Controller) interval() time.Duration {
	n := len(c.peers)
	if n+1 <= fullRoundMax {
		return c.opts.HeartbeatInterval
	}
	k := c.fanOut(n)
	return time.Duration((n+k-1)/k) * c.opts.HeartbeatInterval
}

// fanOut returns the number of peers per round, out of n peers. While freshness
// depends on a majority, it is high enough to reach half of the peers within the
// time that a view is fresh, at the cost of traffic in proportion to n.
func (c *Controller) fanOut(n int) int {
	if !c.listFailing && !c.majorityRequired {
		return min(c.opts.FanOut, max(n, 1))
	}
	rounds := max(1, int((c.opts.MaxViewAge-c.opts.PollInterval)/c.opts.HeartbeatInterval))
	return max(c.opts.FanOut, (n/2+rounds)/rounds)
}

// RequireMajority sets whether heartbeats must reach a majority for a reason other
// than an outage of the host list, such as an outage of the log service.
func (c *Controller) RequireMajority(required bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if required && !c.majorityRequired {
		c.requestFullRound()
	}
	c.majorityRequired = required
}

// requestFullRound makes the heartbeat loop send to all peers at once.
func (c *Controller) requestFullRound() {
	select {
	case c.roundNow <- struct{}{}:
	default:
	}
}

// startupGrace returns how long a peer that has sent no heartbeat yet isn't
// suspected: at least two cycles, since with many hosts a cycle takes longer than
// the option (46 s with 370 hosts).
func (c *Controller) startupGrace() time.Duration { return max(c.opts.StartupGrace, 2*c.interval()) }

// heartbeatLoop runs a round of heartbeats every HeartbeatInterval, and at once on
// request, until ctx ends.
func (c *Controller) heartbeatLoop(ctx context.Context) {
	// Delay the first round until the host list, which names the peers, is likely read.
	timer := time.NewTimer(c.opts.HeartbeatInterval / 10)
	defer timer.Stop()
	for {
		all := false
		select {
		case <-ctx.Done():
			return
		case <-c.roundNow:
			all = true
		case <-timer.C:
			timer.Reset(c.opts.HeartbeatInterval)
		}
		for _, h := range c.nextPeers(all) {
			c.goroutines.Go(func() { c.exchangeHeartbeat(ctx, h) })
		}
	}
}

// exchangeHeartbeat exchanges heartbeats with one peer. A failure isn't logged,
// since the peer becomes suspected, which Status shows.
func (c *Controller) exchangeHeartbeat(ctx context.Context, to hosts.Host) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.HeartbeatInterval)
	defer cancel()
	if b, err := c.sender.SendHeartbeat(ctx, to, c.ownHeartbeat()); err == nil {
		c.handleHeartbeat(b)
	}
}

// nextPeers returns the peers that get a heartbeat in the next round. In fleets of
// more than nine hosts, peers take turns in a random order, so that the time
// between two heartbeats to a peer is bounded and successive rounds reach
// different peers.
func (c *Controller) nextPeers(all bool) []hosts.Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	others := c.otherEntries()
	if all || len(others)+1 <= fullRoundMax {
		return others
	}
	byName := make(map[string]hosts.Host, len(others))
	for _, h := range others {
		byName[h.Name] = h
	}
	c.turnOrder = slices.DeleteFunc(c.turnOrder, func(name string) bool { return byName[name].Name == "" })
	for _, h := range others {
		if !slices.Contains(c.turnOrder, h.Name) {
			c.turnOrder = slices.Insert(c.turnOrder, c.random.IntN(len(c.turnOrder)+1), h.Name)
		}
	}
	k := min(c.fanOut(len(others)), len(c.turnOrder))
	picked := make([]hosts.Host, 0, k)
	for _, name := range c.turnOrder[:k] {
		picked = append(picked, byName[name])
	}
	c.turnOrder = append(c.turnOrder[k:], c.turnOrder[:k]...)
	return picked
}
