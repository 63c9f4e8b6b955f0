package slots

import (
	"time"

	"chivepost/share/hosts"
	"chivepost/share/target"
	"chivepost/share/units"
)

// move is a handover to be sent.
type move struct {
	to       hosts.Host
	handover Handover
}

// pendingHandover is one that came before this host saw itself as home.
type pendingHandover struct {
	handover Handover
	at       time.Time
}

// isHome brings the group's term up to date and reports whether this host is
// home. A group lost to another host, as seen in a fresh view, is handed over.
func (h *home) isHome(g *homeGroup, now time.Time) bool {
	before := time.Now()
	won, ok := h.members.HomeDuration(g.key, g.dataCentre, g.region)
	if !ok {
		if g.home {
			h.endTerm(g)
		}
		return false
	}
	// The start lies between before-won and now-won. Only if all of that is later
	// than the start known is it another term, with perhaps another host between.
	if g.home && !before.Add(-won).After(g.won) {
		g.last = before
		return true
	}
	g.home, g.won, g.last = true, time.Now().Add(-won), before
	clear(g.holders)
	for _, doc := range g.targets {
		t := h.targets[doc.Name]
		t.credit, t.owned = 0, false
		t.condition = condition{pool: t.pool, usual: t.usual, boot: t.boot, bootAt: t.bootAt, past: t.past}
	}
	if p := g.pending; p != nil && now.Sub(p.at) < h.opts.Lease {
		h.apply(g, p.handover, now)
	}
	g.pending = nil
	return true
}

func (h *home) endTerm(g *homeGroup) {
	if to, ok := h.members.Home(g.key, g.dataCentre, g.region); ok && to.Name != h.opts.Host && h.members.IsFresh() {
		handoversCount.Add(1)
		h.moves = append(h.moves, move{to: to, handover: h.handoverOf(g)})
	}
	g.home = false
}

func (h *home) handoverOf(g *homeGroup) Handover {
	ho := Handover{Group: g.key}
	for _, doc := range g.targets {
		t := h.targets[doc.Name]
		ht := HandoverTarget{
			Name: doc.Name, Boot: t.boot, Limit: t.limit, Fence: t.fence, HomeFor: h.waited(t, g.last),
		}
		if t.phase != unknown {
			ht.State = t.phase.state()
		}
		for id, u := range t.uses {
			ht.Uses = append(ht.Uses, HandoverUse{Host: id.host, Incarnation: id.incarnation, Count: u.counted()})
		}
		ho.Targets = append(ho.Targets, ht)
	}
	return ho
}

// handover takes in what the home before has granted. It counts only in a view
// that is fresh now: a host that was paused may have missed another home. If
// this host isn't home yet, it is kept for a time shorter than the wait of any
// home that could come between.
func (h *home) handover(ho Handover, l *layout) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.sync(l, now)
	g := h.groups[ho.Group]
	if g == nil || !h.members.IsFresh() {
		return
	}
	if !h.isHome(g, now) {
		g.pending = &pendingHandover{handover: ho, at: now}
		return
	}
	if now.Sub(g.won) <= h.opts.Lease {
		h.apply(g, ho, now)
	}
}

func (h *home) apply(g *homeGroup, ho Handover, now time.Time) {
	for _, ht := range ho.Targets {
		t := h.targets[ht.Name]
		if t == nil || t.group != g {
			continue
		}
		t.credit = max(t.credit, ht.HomeFor)
		t.fence = max(t.fence, ht.Fence)
		for _, hu := range ht.Uses {
			id := holderID{hu.Host, hu.Incarnation}
			// A holder that has asked here since has said what it keeps.
			if r := g.holders[id]; r == nil && hu.Count > t.uses[id].counted() {
				h.count(t, id, use{keep: hu.Count, until: now.Add(h.opts.counted())})
			}
		}
		t.adopt(ht, now)
	}
}

// adopt takes over what the home before believed, unless a sign has come here.
func (c *condition) adopt(ht HandoverTarget, now time.Time) {
	if c.phase != unknown || (c.boot != "" && c.boot != ht.Boot) {
		return
	}
	switch ht.State {
	case target.StateWarm:
		c.phase, c.limit = opening, ht.Limit
		if ht.Limit >= c.max() {
			c.phase = warm
		}
		c.reported = now
		c.window(now)
	case target.StateCold:
		c.close(now)
	case target.StateLeaving:
		c.phase = leaving
	}
	if c.boot == "" && ht.Boot != "" {
		c.setBoot(ht.Boot, now)
	}
}

// tick keeps terms, expiry and signs up to date without asks. It returns the
// targets to poll for load.
func (h *home) tick(l *layout) []*homeTarget {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.sync(l, now)
	h.sweep(now)
	var due []*homeTarget
	for _, g := range h.groups {
		if !h.isHome(g, now) {
			continue
		}
		for _, doc := range g.targets {
			t := h.targets[doc.Name]
			out := h.isOut(t)
			if out && !t.out || t.expire(now, h.opts.LoadStale) {
				h.revoke(t)
			}
			t.out = out
			t.adapt(now)
			due = append(due, t)
		}
	}
	return due
}

// leave ends all terms; nothing is granted any more.
func (h *home) leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaving = true
	for _, g := range h.groups {
		if g.home {
			h.endTerm(g)
		}
	}
}

// beginLoad marks a load report as being read; false if one is.
func (h *home) beginLoad(t *homeTarget) (string, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if t.busy {
		return "", false
	}
	t.busy = true
	return t.doc.Address, true
}

// endLoad takes in a load report, which may be as old as its own lag and the
// time that reading it took.
func (h *home) endLoad(t *homeTarget, load target.Load, took time.Duration, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t.busy = false
	if err != nil || !t.group.home {
		return
	}
	load.AsOf += units.Duration(took)
	if t.report(load, time.Now()) {
		h.revoke(t)
	}
}
