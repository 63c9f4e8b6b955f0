package slots

import (
	"time"

	"chivepost/share/hosts"
	"chivepost/share/target"
	"chivepost/share/units"
)

// outgoingHandover is a handover to be sent.
type outgoingHandover struct {
	to       hosts.Host
	handover Handover
}

// pendingHandover is a handover that arrived before this host became home in its
// own view.
type pendingHandover struct {
	handover Handover
	at       time.Time
}

// checkHome updates whether this host is home of the group and returns the
// result. A term is the time for which a host is home without a break: a new one
// starts from no grants, and at its end the group is handed over to the next home
// if a fresh view shows one.
func (h *home) checkHome(g *homeGroup, now time.Time) bool {
	before := time.Now()
	duration, ok := h.members.HomeDuration(g.key, g.dataCentre, g.region)
	if !ok {
		if g.isHome {
			h.endTerm(g)
		}
		return false
	}
	// The term began between before-duration and now-duration. It is a new one only
	// if all of that span is after homeSince; another host may then have been home
	// in between.
	if g.isHome && !before.Add(-duration).After(g.homeSince) {
		g.lastHome = before
		return true
	}
	g.isHome, g.homeSince, g.lastHome = true, time.Now().Add(-duration), before
	clear(g.holders)
	for _, doc := range g.targets {
		t := h.targets[doc.Name]
		t.inheritedTime, t.fenceOwned = 0, false
		t.condition = condition{pool: t.pool, usualLatencyMs: t.usualLatencyMs, boot: t.boot, bootAt: t.bootAt, pastBoots: t.pastBoots}
	}
	if p := g.pending; p != nil && now.Sub(p.at) < h.opts.Lease {
		h.applyHandover(g, p.handover, now)
	}
	g.pending = nil
	return true
}

// endTerm ends this host's term as home and queues a handover to the next home.
func (h *home) endTerm(g *homeGroup) {
	if to, ok := h.members.Home(g.key, g.dataCentre, g.region); ok && to.Name != h.opts.Host && h.members.IsFresh() {
		handoversCount.Add(1)
		h.handovers = append(h.handovers, outgoingHandover{to: to, handover: h.buildHandover(g)})
	}
	g.isHome = false
}

// buildHandover returns what this host has granted in the group.
func (h *home) buildHandover(g *homeGroup) Handover {
	ho := Handover{Group: g.key}
	for _, doc := range g.targets {
		t := h.targets[doc.Name]
		ht := HandoverTarget{
			Name: doc.Name, Boot: t.boot, Limit: t.limit, Fence: t.fence, HomeFor: h.homeDuration(t, g.lastHome),
		}
		if t.phase != unknown {
			ht.State = t.phase.state()
		}
		for id, u := range t.usages {
			ht.Usages = append(ht.Usages, HandoverUsage{Host: id.host, Incarnation: id.incarnation, Count: u.counted()})
		}
		ho.Targets = append(ho.Targets, ht)
	}
	return ho
}

// handleHandover records the grants of the previous home. It ignores a handover
// unless the view is fresh now: a host that was paused may have missed another
// home. If this host isn't home yet, the handover is kept for a lease, which is
// shorter than the wait of any home that could come in between.
func (h *home) handleHandover(ho Handover, l *layout) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.setLayout(l, now)
	g := h.groups[ho.Group]
	if g == nil || !h.members.IsFresh() {
		return
	}
	if !h.checkHome(g, now) {
		g.pending = &pendingHandover{handover: ho, at: now}
		return
	}
	if now.Sub(g.homeSince) <= h.opts.Lease {
		h.applyHandover(g, ho, now)
	}
}

// applyHandover takes over the grants, fences and states of a handover.
func (h *home) applyHandover(g *homeGroup, ho Handover, now time.Time) {
	for _, ht := range ho.Targets {
		t := h.targets[ht.Name]
		if t == nil || t.group != g {
			continue
		}
		t.inheritedTime = max(t.inheritedTime, ht.HomeFor)
		t.fence = max(t.fence, ht.Fence)
		for _, hu := range ht.Usages {
			id := holderID{hu.Host, hu.Incarnation}
			// A holder that has sent a request here has already reported its slots.
			if r := g.holders[id]; r == nil && hu.Count > t.usages[id].counted() {
				h.setUsage(t, id, usage{keep: hu.Count, expires: now.Add(h.opts.countedFor())})
			}
		}
		t.adoptHandover(ht, now)
	}
}

// adoptHandover takes over the state seen by the previous home, unless this host
// already knows the state or has seen another boot.
func (c *condition) adoptHandover(ht HandoverTarget, now time.Time) {
	if c.phase != unknown || (c.boot != "" && c.boot != ht.Boot) {
		return
	}
	switch ht.State {
	case target.StateWarm:
		c.phase, c.limit = ramping, ht.Limit
		if ht.Limit >= c.maxLimit() {
			c.phase = warm
		}
		c.reportedAt = now
		c.startWindow(now)
	case target.StateCold:
		c.lowerToCold(now)
	case target.StateLeaving:
		c.phase = leaving
	}
	if c.boot == "" && ht.Boot != "" {
		c.setBoot(ht.Boot, now)
	}
}

// tick updates homes, expiry and limits independently of requests. It returns the
// targets whose load reports are to be read.
func (h *home) tick(l *layout) []*homeTarget {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.setLayout(l, now)
	h.expireUsages(now)
	var toPoll []*homeTarget
	for _, g := range h.groups {
		if !h.checkHome(g, now) {
			continue
		}
		for _, doc := range g.targets {
			t := h.targets[doc.Name]
			out := h.isOut(t)
			if out && !t.wasOut || t.expireReport(now, h.opts.LoadStale) {
				h.revoke(t)
			}
			t.wasOut = out
			t.adjustLimit(now)
			toPoll = append(toPoll, t)
		}
	}
	return toPoll
}

// leave hands over all groups and stops granting.
func (h *home) leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaving = true
	for _, g := range h.groups {
		if g.isHome {
			h.endTerm(g)
		}
	}
}

// beginLoadRead marks a target's load report as being read and returns the
// target's address, or false if a read is already running.
func (h *home) beginLoadRead(t *homeTarget) (string, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if t.readingLoad {
		return "", false
	}
	t.readingLoad = true
	return t.doc.Address, true
}

// endLoadRead records a load report, which may be as old as its own lag plus the
// time that it took to read.
func (h *home) endLoadRead(t *homeTarget, load target.LoadReport, took time.Duration, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t.readingLoad = false
	if err != nil || !t.group.isHome {
		return
	}
	load.Age += units.Duration(took)
	if t.handleReport(load, time.Now()) {
		h.revoke(t)
	}
}
