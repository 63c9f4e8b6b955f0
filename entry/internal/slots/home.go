package slots

import (
	"expvar"
	"slices"
	"sync"
	"time"

	"chivepost/entry/internal/invar"
	"chivepost/share/bundle"
	"chivepost/share/hosts"
	"chivepost/share/target"
)

var (
	asksCount        = expvar.NewInt("slots_asks_count")
	refusalsCount    = expvar.NewInt("slots_refusals_count")
	revocationsCount = expvar.NewInt("slots_revocations_count")
	handoversCount   = expvar.NewInt("slots_handovers_count")
)

// holderID names one run of a holder. A restarted holder is another one: calls
// of the run before may still be running.
type holderID struct {
	host        string
	incarnation uint64
}

// use is what one holder may have in flight at one target: no more than it kept
// or had in use when it last asked, or was granted since.
type use struct {
	keep, inUse, granted int
	until                time.Time // when the last call under it has ended
}

func (u use) counted() int { return max(u.keep, u.inUse, u.granted) }

// homeTarget is a target at its home.
type homeTarget struct {
	condition
	doc   bundle.TargetDoc
	group *homeGroup
	// since is when this host first saw the target in its group.
	since time.Time
	// credit is for how long the home before had been home, told by its handover.
	credit time.Duration
	fence  uint64
	owned  bool // whether fence is of this term
	uses   map[holderID]use
	total  int  // sum of uses counted
	out    bool // whether the revocation for isOut was sent
	busy   bool // whether a load report is being read
}

// homeGroup is a group as its home sees it.
type homeGroup struct {
	*group
	holders map[holderID]*holderRecord
	pending *pendingHandover
	// home is whether this host is home, won when it became so, last when it was
	// last seen to be.
	home      bool
	won, last time.Time
}

// holderRecord is one holder's last ask.
type holderRecord struct {
	id     holderID
	seq    uint64
	want   int
	asked  time.Time
	expect time.Time // the holder has lost interest if it hasn't asked by then
	turn   uint64    // order in which holders got slots beyond the common level
	turnAt time.Time // when this one last did
	held   int       // slots granted or in use, over the group
}

// order is a revocation to be sent.
type order struct {
	to     string
	revoke Revoke
}

// home grants slots of the groups whose home this host is. It is a plain state
// machine; the time is that of package time.
type home struct {
	opts    Options
	members Membership

	mu      sync.Mutex
	layout  *layout
	groups  map[string]*homeGroup
	targets map[string]*homeTarget
	turns   uint64
	leaving bool
	orders  []order
	moves   []move
}

func newHome(opts Options, members Membership) *home {
	return &home{
		opts: opts, members: members,
		groups: map[string]*homeGroup{}, targets: map[string]*homeTarget{},
	}
}

// sync takes a new layout over. Grants of targets that stay are kept.
func (h *home) sync(l *layout, now time.Time) {
	if l == nil || l == h.layout {
		return
	}
	h.layout = l
	for key := range h.groups {
		if l.groups[key] == nil {
			delete(h.groups, key)
		}
	}
	for key, g := range l.groups {
		hg := h.groups[key]
		if hg == nil {
			hg = &homeGroup{holders: map[holderID]*holderRecord{}}
			h.groups[key] = hg
		}
		hg.group = g
		for _, doc := range g.targets {
			h.place(hg, doc, now)
		}
	}
	for name := range h.targets {
		if l.of[name] == nil {
			delete(h.targets, name)
		}
	}
}

func (h *home) place(g *homeGroup, doc bundle.TargetDoc, now time.Time) {
	t := h.targets[doc.Name]
	// Another address is another target: what is known of the old one doesn't apply.
	if t == nil || t.doc.Address != doc.Address || t.doc.Pool != doc.Pool {
		t = &homeTarget{uses: map[holderID]use{}, since: now}
		h.targets[doc.Name] = t
	}
	if t.group != g {
		t.since, t.credit, t.owned = now, 0, false
	}
	t.doc, t.group, t.pool = doc, g, g.pool
}

// ask records what a holder says and answers with its slots.
func (h *home) ask(id holderID, a Request, l *layout) Grant {
	give := h.answer(id, a, l)
	asksCount.Add(1)
	if give.Refused != "" {
		refusalsCount.Add(1)
	}
	return give
}

func (h *home) answer(id holderID, a Request, l *layout) Grant {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.sync(l, now)
	g := h.groups[a.Group]
	if g == nil || !h.isHome(g, now) {
		return Grant{Seq: a.Seq, Refused: RefusedNotHome}
	}
	if h.leaving {
		return Grant{Seq: a.Seq, Refused: RefusedLeaving}
	}
	r := g.holders[id]
	if r == nil {
		r = &holderRecord{id: id}
		g.holders[id] = r
	}
	if a.Seq <= r.seq {
		return Grant{Seq: a.Seq, Refused: RefusedStale}
	}
	r.seq, r.want, r.asked = a.Seq, clamp(a.Want), now
	h.record(g, r, a, now)
	if !h.isOpen(g, now) {
		r.expect = now.Add(2 * h.opts.RenewInterval)
		return Grant{Seq: a.Seq, Refused: RefusedWaiting, RetryAfter: h.untilOpen(g, now)}
	}
	return h.grant(g, r, now)
}

// record takes in what an ask says of each target.
func (h *home) record(g *homeGroup, r *holderRecord, a Request, now time.Time) {
	said := make(map[string]TargetRequest, len(a.Targets))
	for _, at := range a.Targets {
		said[at.Name] = at
	}
	r.held = 0
	for _, doc := range g.targets {
		t := h.targets[doc.Name]
		at := said[doc.Name]
		r.held += clamp(max(at.Keep, at.InUse))
		h.count(t, r.id, use{keep: clamp(at.Keep), inUse: clamp(at.InUse), until: now.Add(h.opts.counted())})
		if at.Fence > t.fence {
			t.fence, t.owned = at.Fence, false
		}
		if t.sign(at.State, at.Boot, now) {
			h.revoke(t)
		}
		t.calls(at.Succeeded, at.Failed, at.LatencySumMs, now)
	}
}

// clamp keeps a number from a peer in a range in which sums can't overflow.
func clamp(n int) int { return min(max(n, 0), 1<<20) }

// count replaces what is counted for a holder at a target.
func (h *home) count(t *homeTarget, id holderID, u use) {
	t.total += u.counted() - t.uses[id].counted()
	if u.counted() == 0 {
		delete(t.uses, id)
		return
	}
	t.uses[id] = u
}

// sweep drops what no call can be running under any more.
func (h *home) sweep(now time.Time) {
	for _, t := range h.targets {
		for id, u := range t.uses {
			if now.After(u.until) {
				h.count(t, id, use{})
			}
		}
	}
	for _, g := range h.groups {
		for id, r := range g.holders {
			if now.Sub(r.asked) > h.opts.counted() {
				delete(g.holders, id)
			}
		}
	}
}

// limit returns the limit in force for grants of t, zero before the wait of a
// new home is over.
func (h *home) limit(t *homeTarget, now time.Time) int {
	if h.isOut(t) || h.waited(t, now) < h.wait(t) {
		return 0
	}
	return t.inForce()
}

// isOut reports whether the target must get no new calls, by configuration or
// host list.
func (h *home) isOut(t *homeTarget) bool {
	return h.layout.bundle.IsOut(t.doc.DataCentre) || h.members.TargetState(t.doc.Name) == hosts.StateLeaving
}

// wait returns how long a new home waits before it grants slots of t.
func (h *home) wait(t *homeTarget) time.Duration {
	if t.phase == warm || t.phase == opening {
		return h.opts.warmWait()
	}
	return h.opts.coldWait()
}

// waited returns for how long this host, and the home that handed over to it,
// have been home of t without a break.
func (h *home) waited(t *homeTarget, now time.Time) time.Duration {
	if !t.group.home {
		return 0
	}
	return min(now.Sub(t.group.won), now.Sub(t.since)) + t.credit
}

// isOpen reports whether any target of the group may be granted. Until then
// holders keep what the home before has granted.
func (h *home) isOpen(g *homeGroup, now time.Time) bool {
	return slices.ContainsFunc(g.targets, func(doc bundle.TargetDoc) bool {
		return h.waited(h.targets[doc.Name], now) >= h.opts.warmWait()
	})
}

func (h *home) untilOpen(g *homeGroup, now time.Time) time.Duration {
	left := h.opts.warmWait()
	for _, doc := range g.targets {
		left = min(left, h.opts.warmWait()-h.waited(h.targets[doc.Name], now))
	}
	return min(max(left, time.Millisecond), h.opts.RenewInterval)
}

// grant answers an ask that has been recorded.
func (h *home) grant(g *homeGroup, r *holderRecord, now time.Time) Grant {
	sh := h.share(g, r, now)
	slots := h.choose(g, r, sh.amount, now)
	give := Grant{Seq: r.seq, Lease: h.opts.Lease, Contended: sh.shared, SingleUse: sh.turn}
	held := 0
	for i, doc := range g.targets {
		t := h.targets[doc.Name]
		n := slots[i]
		if n > 0 {
			h.checkGrant(t, r.id, n, now)
			u := t.uses[r.id]
			u.granted, u.until = n, now.Add(h.opts.counted())
			h.count(t, r.id, u)
			if !t.owned {
				t.fence, t.owned = max(t.fence, h.firstFence())+1, true
			}
		}
		held += max(n, t.uses[r.id].inUse)
		if n > 0 || t.phase.state() != target.StateWarm {
			give.Targets = append(give.Targets, TargetGrant{Name: doc.Name, Slots: n, Fence: t.fence, State: t.phase.state()})
		}
	}
	if held > sh.level && r.held <= sh.level {
		h.turns++
		r.turn, r.turnAt = h.turns, now
	}
	r.held = held
	if held < r.want {
		give.RetryAfter = sh.retry
	}
	r.expect = now.Add(h.opts.RenewInterval * 3 / 2)
	if give.RetryAfter > 0 {
		r.expect = now.Add(give.RetryAfter + h.opts.RenewInterval/2)
	}
	return give
}

// checkGrant asserts the invariants of a grant of n slots.
func (h *home) checkGrant(t *homeTarget, id holderID, n int, now time.Time) {
	others := t.total - t.uses[id].counted()
	invar.Check(others+n <= t.inForce(),
		"slots: target %s: %d slots to %s with %d counted for others, limit %d", t.doc.Name, n, id.host, others, t.inForce())
	isCold := t.phase != warm && t.phase != opening
	invar.Check(!isCold || h.waited(t, now) >= h.opts.coldWait(),
		"slots: target %s: cold slots granted %s after the change of home", t.doc.Name, h.waited(t, now))
}

// firstFence is above the fences of homes by earlier versions of the host list.
func (h *home) firstFence() uint64 {
	if v, ok := h.members.(versioned); ok && v.ListVersion() > 0 {
		return uint64(v.ListVersion()) << 20
	}
	return 0
}

// revoke ends the grants of a target whose limit has closed.
func (h *home) revoke(t *homeTarget) {
	t.fence = max(t.fence, h.firstFence()) + 1
	t.owned = true
	for id := range t.uses {
		revocationsCount.Add(1)
		h.orders = append(h.orders, order{to: id.host, revoke: Revoke{
			Group: t.group.key, Target: t.doc.Name, Reason: t.phase.state(), Fence: t.fence,
		}})
	}
}

// takeOrders returns the revocations to be sent and forgets them.
func (h *home) takeOrders() ([]order, []move) {
	h.mu.Lock()
	defer h.mu.Unlock()
	orders, moves := h.orders, h.moves
	h.orders, h.moves = nil, nil
	return orders, moves
}
