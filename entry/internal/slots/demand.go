package slots

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"chivepost/share/target"
)

// firstAnswer is how long a home may take to answer a first ask before farther
// groups are asked for the same demand. It is longer than a round trip between
// regions.
const firstAnswer = 60 * time.Millisecond

// demand is what this host wants of a pool.
type demand struct {
	waiting int
	peak    int // highest need of late; slots up to it are kept for Linger
	peakAt  time.Time
}

// heldGroup is a group as a holder sees it.
type heldGroup struct {
	*group
	inFlight bool
	seq      uint64    // of the last ask
	sent     time.Time // of the last ask
	want     int       // of the last ask
	answered bool      // whether the home has granted since this host became interested
	shared   bool
	turn     bool
	unmet    bool
	retry    time.Duration
	urgent   bool // something to tell at once
	firstAt  time.Time
	// live are the targets with slots or calls in flight, few of all.
	live []*heldTarget
}

// keepLive adds t to the live targets of its group.
func (g *heldGroup) keepLive(t *heldTarget) {
	if !t.live && (t.slots > 0 || t.inUse > 0) {
		t.live = true
		g.live = append(g.live, t)
	}
}

// dropIdle removes what isn't live any more.
func (g *heldGroup) dropIdle() {
	g.live = slices.DeleteFunc(g.live, func(t *heldTarget) bool {
		t.live = t.slots > 0 || t.inUse > 0
		return !t.live
	})
}

// rankGroups sorts the groups of each pool by distance. Hosts take groups of
// equal distance in different orders, so that each group has its share of them.
func (h *holder) rankGroups() {
	distance := func(g *group) int {
		switch {
		case g.dataCentre == h.opts.DataCentre:
			return 0
		case g.region == h.opts.Region:
			return 1
		default:
			return 2
		}
	}
	for _, groups := range h.layout.byPool {
		slices.SortFunc(groups, func(a, b *group) int {
			return cmp.Or(cmp.Compare(distance(a), distance(b)),
				cmp.Compare(xxhash.Sum64String(a.key+h.opts.Host), xxhash.Sum64String(b.key+h.opts.Host)))
		})
	}
}

// setWant records the number of calls that wait for a pool and reports whether
// it has changed.
func (h *holder) setWant(pool string, n int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	d := h.pools[pool]
	if d == nil {
		d = &demand{}
		h.pools[pool] = d
	}
	changed := d.waiting != n
	d.waiting = n
	return changed
}

// wants returns how many slots to ask of each group of a pool: all of the
// nearest, and of each farther one what the nearer have not granted.
func (h *holder) wants(pool string, now time.Time) []int {
	groups := h.layout.byPool[pool]
	wants := make([]int, len(groups))
	inUse := make([]int, len(groups))
	need := 0
	shared := false
	for i, g := range groups {
		inUse[i] = h.sumInUse(g)
		need += inUse[i]
		shared = shared || h.groups[g.key].shared
	}
	d := h.pools[pool]
	if d == nil {
		d = &demand{}
		h.pools[pool] = d
	}
	need += d.waiting
	left := d.level(need, shared, now, h.opts.IdleTimeout)
	farther := 0
	for _, n := range inUse {
		farther += n
	}
	for i, g := range groups {
		farther -= inUse[i]
		wants[i] = max(left-farther, inUse[i])
		left -= h.expected(g, wants[i], now)
	}
	return wants
}

// level returns the slots to hold for a need. Idle slots are kept for a while,
// unless others want them.
func (d *demand) level(need int, shared bool, now time.Time, linger time.Duration) int {
	if need >= d.peak || shared || now.Sub(d.peakAt) > linger {
		d.peak, d.peakAt = need, now
	}
	return d.peak
}

func (h *holder) sumInUse(g *group) int {
	n := 0
	for _, t := range h.groups[g.key].live {
		n += t.inUse
	}
	return n
}

func (h *holder) sumHeld(g *group, now time.Time) int {
	n := 0
	for _, t := range h.groups[g.key].live {
		n += max(t.usable(now), t.inUse)
	}
	return n
}

// expected returns how much of a want a group will cover, as far as known.
func (h *holder) expected(g *group, want int, now time.Time) int {
	hg := h.groups[g.key]
	held := h.sumHeld(g, now)
	if !hg.answered && want > held && (hg.firstAt.IsZero() || now.Sub(hg.firstAt) < firstAnswer) {
		return want
	}
	return min(held, want)
}

// outgoing is an ask to be sent.
type outgoing struct {
	group *group
	ask   Request
	sent  time.Time
}

// due returns the asks to be sent now and the time of the next look.
func (h *holder) due(l *layout) ([]outgoing, time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.sync(l)
	next := now.Add(min(h.opts.RenewInterval, h.opts.IdleTimeout))
	if h.layout == nil {
		return nil, next
	}
	var out []outgoing
	for pool, groups := range h.layout.byPool {
		for i, want := range h.wants(pool, now) {
			hg := h.groups[groups[i].key]
			at, ok := h.askAt(hg, want, now)
			switch {
			case !ok:
			case !at.After(now):
				out = append(out, h.build(hg, want, now))
				next = earlier(next, now.Add(firstAnswer))
			default:
				next = earlier(next, at)
			}
		}
	}
	return out, next
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// askAt returns when to ask next for a group; false if there is no reason to.
func (h *holder) askAt(hg *heldGroup, want int, now time.Time) (time.Time, bool) {
	held := h.sumHeld(hg.group, now)
	if want == 0 && held == 0 && !hg.urgent {
		if hg.want > 0 && !hg.inFlight {
			return hg.sent.Add(h.opts.MinInterval), true // tell the home that nothing is wanted any more
		}
		hg.answered, hg.firstAt = false, time.Time{}
		return time.Time{}, false
	}
	if hg.inFlight && now.Sub(hg.sent) < h.opts.RenewInterval {
		return time.Time{}, false // the answer, or its absence, wakes the loop
	}
	soon := hg.sent.Add(h.opts.MinInterval)
	switch {
	case hg.urgent,
		want > hg.want && !hg.unmet,
		want < held && (hg.shared || want == 0):
		return soon, true
	case hg.retry > 0 && want > held:
		return hg.sent.Add(max(hg.retry, h.opts.MinInterval)), true
	case want > held && !hg.unmet && hg.answered && held < hg.want:
		return soon, true // slots were lost, by revocation or expiry
	default:
		return hg.sent.Add(h.opts.RenewInterval), true
	}
}

// build makes an ask. From now on gives for earlier asks are void, and no more
// than Keep slots are used.
func (h *holder) build(hg *heldGroup, want int, now time.Time) outgoing {
	h.seq++
	hg.seq, hg.sent, hg.want, hg.inFlight, hg.urgent = h.seq, now, want, true, false
	if hg.firstAt.IsZero() {
		hg.firstAt = now
	}
	spare := max(0, h.sumHeld(hg.group, now)-want)
	a := Request{Group: hg.key, Seq: hg.seq, Want: want}
	for _, doc := range hg.targets {
		t := h.targets[doc.Name]
		if n := min(spare, t.free(now)); n > 0 {
			t.slots -= n
			spare -= n
			h.version++
		}
		at := TargetRequest{
			Name: doc.Name, Keep: t.usable(now), InUse: t.inUse, Fence: max(t.fence, t.least), State: t.newState, Boot: t.newBoot,
			Succeeded: t.good, Failed: t.bad, LatencySumMs: t.took.Milliseconds(),
		}
		quiet := at.Keep == 0 && at.InUse == 0 && at.Succeeded == 0 && at.Failed == 0 && at.State == "" && at.Boot == ""
		// A home that is new to the group must learn the highest fence used.
		if quiet && (at.Fence == 0 || hg.answered && !t.tellFence) {
			continue
		}
		a.Targets = append(a.Targets, at)
	}
	hg.dropIdle()
	return outgoing{group: hg.group, ask: a, sent: now}
}

// accept takes in the answer to an ask, or its failure.
func (h *holder) accept(o outgoing, give Grant, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	hg := h.groups[o.group.key]
	if hg == nil || hg.seq != o.ask.Seq {
		return // a later ask has voided it
	}
	hg.inFlight = false
	if err != nil || give.Seq != o.ask.Seq {
		hg.unmet, hg.retry = true, h.opts.RenewInterval
		return
	}
	if give.Refused != "" {
		hg.unmet, hg.retry, hg.answered = true, h.opts.RenewInterval, true
		if give.RetryAfter > 0 {
			hg.retry = give.RetryAfter
		}
		if give.Refused == RefusedNotHome {
			hg.retry = h.opts.RenewInterval / 5 // the views of two hosts differ for a while
		}
		return
	}
	hg.answered, hg.shared, hg.turn, hg.retry = true, give.Contended, give.SingleUse, give.RetryAfter
	h.told(o.ask)
	total := h.grantTo(hg, o, give)
	hg.unmet = total < o.ask.Want
	h.version++
	h.notify()
}

// told forgets what the home has now heard.
func (h *holder) told(a Request) {
	for _, at := range a.Targets {
		t := h.targets[at.Name]
		if t == nil {
			continue
		}
		t.good -= at.Succeeded
		t.bad -= at.Failed
		t.took -= time.Duration(at.LatencySumMs) * time.Millisecond
		if t.newState == at.State {
			t.newState = ""
		}
		if t.newBoot == at.Boot {
			t.newBoot = ""
		}
	}
}

// grantTo replaces the slots of a group by those given.
func (h *holder) grantTo(hg *heldGroup, o outgoing, give Grant) int {
	given := make(map[string]TargetGrant, len(give.Targets))
	for _, gt := range give.Targets {
		given[gt.Name] = gt
	}
	total := 0
	for _, doc := range hg.targets {
		t := h.targets[doc.Name]
		gt, ok := given[doc.Name]
		if !ok {
			gt = TargetGrant{Fence: t.fence, State: target.StateWarm}
		}
		if least := max(t.least, t.fence); gt.Fence < least {
			// Overtaken by a revocation, or from a home that doesn't know the fence yet.
			t.tellFence = true
			t.slots = min(t.slots, t.inUse)
			continue
		}
		if gt.State != target.StateWarm && t.state == target.StateWarm {
			t.revoked++ // the revocation itself was lost
		}
		t.tellFence = false
		t.slots, t.fence, t.state = max(0, gt.Slots), max(gt.Fence, t.fence), gt.State
		t.until = o.sent.Add(give.Lease)
		hg.keepLive(t)
		total += max(t.slots, t.inUse)
	}
	return total
}
