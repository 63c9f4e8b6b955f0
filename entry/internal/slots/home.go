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

// holderID identifies one incarnation of a holder. After a restart, calls of the
// previous incarnation may still be running, so they are counted apart.
type holderID struct {
	host        string
	incarnation uint64
}

// usage bounds the calls that one holder may have in flight at one target: the
// slots kept and in use by its last request, and those granted since.
type usage struct {
	keep, inUse, granted int
	expires              time.Time // when the last call under it has surely ended
}

func (u usage) counted() int { return max(u.keep, u.inUse, u.granted) }

// homeTarget is the home's state of a target.
type homeTarget struct {
	condition
	doc   bundle.TargetDoc
	group *homeGroup
	// firstSeen is when this host first saw the target in its group.
	firstSeen time.Time
	// inheritedTime is for how long the previous home was home, by its handover.
	inheritedTime time.Duration
	fence         uint64
	fenceOwned    bool // whether fence was raised by this host since it became home
	usages        map[holderID]usage
	total         int  // sum of the counts of usages
	wasOut        bool // whether the target was out at the last tick
	readingLoad   bool // whether a load report is being read
}

// homeGroup is the home's state of a group.
type homeGroup struct {
	*group
	holders map[holderID]*holderRecord
	pending *pendingHandover
	// isHome is whether this host is home of the group, homeSince when it became
	// home, and lastHome when this was last confirmed.
	isHome              bool
	homeSince, lastHome time.Time
}

// holderRecord is the last request of one holder.
type holderRecord struct {
	id          holderID
	seq         uint64
	want        int
	requestedAt time.Time
	expectedBy  time.Time // without a request by then, the holder counts as no longer waiting
	turnSeq     uint64    // order in which holders last got a slot above the common level
	turnAt      time.Time // when this holder last got one
	held        int       // slots granted or in use in the group
}

// outgoingRevoke is a revocation to be sent to one host.
type outgoingRevoke struct {
	to     string
	revoke Revoke
}

// home grants slots of the groups whose home this host is. It is a state
// machine without I/O or goroutines, and its clock is that of package time.
// Messages to be sent are queued for takeOutgoing.
type home struct {
	opts    Options
	members Membership

	mu          sync.Mutex
	layout      *layout
	groups      map[string]*homeGroup
	targets     map[string]*homeTarget
	lastTurn    uint64
	leaving     bool
	revocations []outgoingRevoke
	handovers   []outgoingHandover
}

func newHome(opts Options, members Membership) *home {
	return &home{
		opts: opts, members: members,
		groups: map[string]*homeGroup{}, targets: map[string]*homeTarget{},
	}
}

// setLayout switches to a new layout. Grants of targets that stay are kept.
func (h *home) setLayout(l *layout, now time.Time) {
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
			h.placeTarget(hg, doc, now)
		}
	}
	for name := range h.targets {
		if l.byTarget[name] == nil {
			delete(h.targets, name)
		}
	}
}

// placeTarget assigns a target to a group. Moving it to another group restarts
// the time for which this host has been its home.
func (h *home) placeTarget(g *homeGroup, doc bundle.TargetDoc, now time.Time) {
	t := h.targets[doc.Name]
	// At another address it is another target, to which the old state doesn't apply.
	if t == nil || t.doc.Address != doc.Address || t.doc.Pool != doc.Pool {
		t = &homeTarget{usages: map[holderID]usage{}, firstSeen: now}
		h.targets[doc.Name] = t
	}
	if t.group != g {
		t.firstSeen, t.inheritedTime, t.fenceOwned = now, 0, false
	}
	t.doc, t.group, t.pool = doc, g, g.pool
}

// handleRequest answers a holder's request and counts requests and refusals.
func (h *home) handleRequest(id holderID, req Request, l *layout) Grant {
	grant := h.answer(id, req, l)
	asksCount.Add(1)
	if grant.Refused != "" {
		refusalsCount.Add(1)
	}
	return grant
}

// answer records a holder's request and grants it slots, or refuses it.
func (h *home) answer(id holderID, req Request, l *layout) Grant {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.setLayout(l, now)
	g := h.groups[req.Group]
	if g == nil || !h.checkHome(g, now) {
		return Grant{Seq: req.Seq, Refused: RefusedNotHome}
	}
	if h.leaving {
		return Grant{Seq: req.Seq, Refused: RefusedLeaving}
	}
	r := g.holders[id]
	if r == nil {
		r = &holderRecord{id: id}
		g.holders[id] = r
	}
	if req.Seq <= r.seq {
		return Grant{Seq: req.Seq, Refused: RefusedStale}
	}
	r.seq, r.want, r.requestedAt = req.Seq, clampCount(req.Want), now
	h.recordRequest(g, r, req, now)
	if !h.canGrant(g, now) {
		r.expectedBy = now.Add(2 * h.opts.RenewInterval)
		return Grant{Seq: req.Seq, Refused: RefusedWaiting, RetryAfter: h.untilCanGrant(g, now)}
	}
	return h.grant(g, r, now)
}

// recordRequest records what a request reports of each target of the group.
func (h *home) recordRequest(g *homeGroup, r *holderRecord, req Request, now time.Time) {
	reported := make(map[string]TargetRequest, len(req.Targets))
	for _, tr := range req.Targets {
		reported[tr.Name] = tr
	}
	r.held = 0
	for _, doc := range g.targets {
		t := h.targets[doc.Name]
		tr := reported[doc.Name]
		r.held += clampCount(max(tr.Keep, tr.InUse))
		h.setUsage(t, r.id, usage{keep: clampCount(tr.Keep), inUse: clampCount(tr.InUse), expires: now.Add(h.opts.countedFor())})
		if tr.Fence > t.fence {
			t.fence, t.fenceOwned = tr.Fence, false
		}
		if t.observe(tr.State, tr.Boot, now) {
			h.revoke(t)
		}
		t.recordCalls(tr.Succeeded, tr.Failed, tr.LatencySumMs, now)
	}
}

// clampCount limits a number from a peer to a range in which sums can't overflow.
func clampCount(n int) int { return min(max(n, 0), 1<<20) }

// setUsage replaces the usage counted for a holder at a target.
func (h *home) setUsage(t *homeTarget, id holderID, u usage) {
	t.total += u.counted() - t.usages[id].counted()
	if u.counted() == 0 {
		delete(t.usages, id)
		return
	}
	t.usages[id] = u
}

// expireUsages removes usages under which no call can be running any more, and
// the records of holders that have stopped sending requests.
func (h *home) expireUsages(now time.Time) {
	for _, t := range h.targets {
		for id, u := range t.usages {
			if now.After(u.expires) {
				h.setUsage(t, id, usage{})
			}
		}
	}
	for _, g := range h.groups {
		for id, r := range g.holders {
			if now.Sub(r.requestedAt) > h.opts.countedFor() {
				delete(g.holders, id)
			}
		}
	}
}

// limit returns the number of slots of t that may be granted now. It is zero
// until the wait of a new home is over.
func (h *home) limit(t *homeTarget, now time.Time) int {
	if h.isOut(t) || h.homeDuration(t, now) < h.requiredWait(t) {
		return 0
	}
	return t.currentLimit()
}

// isOut reports whether the target must get no new calls: the configuration takes
// its data centre out, or the host list has it as leaving.
func (h *home) isOut(t *homeTarget) bool {
	return h.layout.bundle.IsDataCentreOut(t.doc.DataCentre) || h.members.TargetState(t.doc.Name) == hosts.StateLeaving
}

// requiredWait returns how long a new home waits before it grants slots of t.
func (h *home) requiredWait(t *homeTarget) time.Duration {
	if t.phase == warm || t.phase == ramping {
		return h.opts.warmWait()
	}
	return h.opts.coldWait()
}

// homeDuration returns for how long this host, together with the home that handed
// over to it, has been home of t without a break.
func (h *home) homeDuration(t *homeTarget, now time.Time) time.Duration {
	if !t.group.isHome {
		return 0
	}
	return min(now.Sub(t.group.homeSince), now.Sub(t.firstSeen)) + t.inheritedTime
}

// canGrant reports whether slots of any target of the group may be granted. Until
// then requests are refused, and holders keep the grants of the previous home.
func (h *home) canGrant(g *homeGroup, now time.Time) bool {
	return slices.ContainsFunc(g.targets, func(doc bundle.TargetDoc) bool {
		return h.homeDuration(h.targets[doc.Name], now) >= h.opts.warmWait()
	})
}

// untilCanGrant returns how long a refused holder should wait before it tries
// again: until the first target may be granted, but at most a renewal.
func (h *home) untilCanGrant(g *homeGroup, now time.Time) time.Duration {
	left := h.opts.warmWait()
	for _, doc := range g.targets {
		left = min(left, h.opts.warmWait()-h.homeDuration(h.targets[doc.Name], now))
	}
	return min(max(left, time.Millisecond), h.opts.RenewInterval)
}

// grant grants slots for a request that has been recorded.
func (h *home) grant(g *homeGroup, r *holderRecord, now time.Time) Grant {
	share := h.shareFor(g, r, now)
	slots := h.chooseTargets(g, r, share.amount, now)
	grant := Grant{Seq: r.seq, Lease: h.opts.Lease, Contended: share.contended, SingleUse: share.singleUse}
	held := 0
	for i, doc := range g.targets {
		t := h.targets[doc.Name]
		n := slots[i]
		if n > 0 {
			h.checkGrant(t, r.id, n, now)
			u := t.usages[r.id]
			u.granted, u.expires = n, now.Add(h.opts.countedFor())
			h.setUsage(t, r.id, u)
			if !t.fenceOwned {
				t.fence, t.fenceOwned = max(t.fence, h.baseFence())+1, true
			}
		}
		held += max(n, t.usages[r.id].inUse)
		if n > 0 || t.phase.state() != target.StateWarm {
			grant.Targets = append(grant.Targets, TargetGrant{Name: doc.Name, Slots: n, Fence: t.fence, State: t.phase.state()})
		}
	}
	if held > share.level && r.held <= share.level {
		h.lastTurn++
		r.turnSeq, r.turnAt = h.lastTurn, now
	}
	r.held = held
	if held < r.want {
		grant.RetryAfter = share.retryAfter
	}
	r.expectedBy = now.Add(h.opts.RenewInterval * 3 / 2)
	if grant.RetryAfter > 0 {
		r.expectedBy = now.Add(grant.RetryAfter + h.opts.RenewInterval/2)
	}
	return grant
}

// checkGrant checks the invariants of a grant of n slots of t.
func (h *home) checkGrant(t *homeTarget, id holderID, n int, now time.Time) {
	others := t.total - t.usages[id].counted()
	invar.Check(others+n <= t.currentLimit(),
		"slots: target %s: %d slots to %s with %d counted for others, limit %d", t.doc.Name, n, id.host, others, t.currentLimit())
	isCold := t.phase != warm && t.phase != ramping
	invar.Check(!isCold || h.homeDuration(t, now) >= h.opts.coldWait(),
		"slots: target %s: cold slots granted %s after the change of home", t.doc.Name, h.homeDuration(t, now))
}

// baseFence returns a fence above those used by homes under earlier versions of
// the host list.
func (h *home) baseFence() uint64 {
	if v, ok := h.members.(versioned); ok && v.ListVersion() > 0 {
		return uint64(v.ListVersion()) << 20
	}
	return 0
}

// revoke raises the fence of a target and queues a revocation for each holder.
func (h *home) revoke(t *homeTarget) {
	t.fence = max(t.fence, h.baseFence()) + 1
	t.fenceOwned = true
	for id := range t.usages {
		revocationsCount.Add(1)
		h.revocations = append(h.revocations, outgoingRevoke{to: id.host, revoke: Revoke{
			Group: t.group.key, Target: t.doc.Name, Reason: t.phase.state(), Fence: t.fence,
		}})
	}
}

// takeOutgoing returns and clears the queued revocations and handovers.
func (h *home) takeOutgoing() ([]outgoingRevoke, []outgoingHandover) {
	h.mu.Lock()
	defer h.mu.Unlock()
	revocations, handovers := h.revocations, h.handovers
	h.revocations, h.handovers = nil, nil
	return revocations, handovers
}
