package slots

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"chivepost/share/target"
)

// firstAnswerTimeout is how long a home may take to answer the first request
// before slots for the same demand are requested from farther groups. It is
// longer than a round trip between regions.
const firstAnswerTimeout = 60 * time.Millisecond

// demand is the number of slots that this host needs of a pool.
type demand struct {
	waiting  int
	peak     int // highest recent need; slots up to it are kept for IdleTimeout
	peakTime time.Time
}

// heldGroup is the holder's state of a group.
type heldGroup struct {
	*group
	pending     bool      // whether the last request is unanswered
	seq         uint64    // of the last request
	sentAt      time.Time // of the last request
	want        int       // of the last request
	answered    bool      // whether the home has answered since this host last needed slots
	contended   bool      // of the last grant
	singleUse   bool      // of the last grant
	unmet       bool      // whether the last request failed or was granted less than want
	retryAfter  time.Duration
	urgent      bool // whether the home must get a report at once
	firstSentAt time.Time
	// active lists the targets with slots or calls in flight, which are few, so
	// that sums needn't visit every target.
	active []*heldTarget
}

// markActive adds t to the active targets of its group if it has slots or calls
// in flight.
func (g *heldGroup) markActive(t *heldTarget) {
	if !t.active && (t.slots > 0 || t.inUse > 0) {
		t.active = true
		g.active = append(g.active, t)
	}
}

// dropIdle removes targets without slots and calls in flight from active.
func (g *heldGroup) dropIdle() {
	g.active = slices.DeleteFunc(g.active, func(t *heldTarget) bool {
		t.active = t.slots > 0 || t.inUse > 0
		return !t.active
	})
}

// rankGroups sorts the groups of each pool by distance. Hosts order groups of
// equal distance differently, so that demand spreads evenly over the groups.
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

// setWaiting records the number of calls that wait for a pool and reports
// whether it has changed.
func (h *holder) setWaiting(pool string, n int) bool {
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

// wants returns the number of slots to request from each group of a pool: the
// whole demand from the nearest, and from each farther one what the nearer ones
// don't cover.
func (h *holder) wants(pool string, now time.Time) []int {
	groups := h.layout.byPool[pool]
	wants := make([]int, len(groups))
	inUse := make([]int, len(groups))
	need := 0
	contended := false
	for i, g := range groups {
		inUse[i] = h.sumInUse(g)
		need += inUse[i]
		contended = contended || h.groups[g.key].contended
	}
	d := h.pools[pool]
	if d == nil {
		d = &demand{}
		h.pools[pool] = d
	}
	need += d.waiting
	remaining := d.slotsToHold(need, contended, now, h.opts.IdleTimeout)
	inUseFarther := 0
	for _, n := range inUse {
		inUseFarther += n
	}
	for i, g := range groups {
		inUseFarther -= inUse[i]
		wants[i] = max(remaining-inUseFarther, inUse[i])
		remaining -= h.expectedFrom(g, wants[i], now)
	}
	return wants
}

// slotsToHold returns the number of slots to hold for the current need. Idle
// slots are kept for idleTimeout, unless other holders wait for them.
func (d *demand) slotsToHold(need int, contended bool, now time.Time, idleTimeout time.Duration) int {
	if need >= d.peak || contended || now.Sub(d.peakTime) > idleTimeout {
		d.peak, d.peakTime = need, now
	}
	return d.peak
}

// sumInUse returns the number of calls in flight in a group.
func (h *holder) sumInUse(g *group) int {
	n := 0
	for _, t := range h.groups[g.key].active {
		n += t.inUse
	}
	return n
}

// sumHeld returns the number of slots of a group that are usable or in use.
func (h *holder) sumHeld(g *group, now time.Time) int {
	held := 0
	for _, t := range h.groups[g.key].active {
		held += max(t.usable(now), t.inUse)
	}
	return held
}

// expectedFrom returns how many of the slots wanted a group is expected to
// cover: all of them while the first request is unanswered and has not timed out,
// then those held.
func (h *holder) expectedFrom(g *group, want int, now time.Time) int {
	hg := h.groups[g.key]
	held := h.sumHeld(g, now)
	if !hg.answered && want > held && (hg.firstSentAt.IsZero() || now.Sub(hg.firstSentAt) < firstAnswerTimeout) {
		return want
	}
	return min(held, want)
}

// outgoingRequest is a request to be sent.
type outgoingRequest struct {
	group   *group
	request Request
	sentAt  time.Time
}

// dueRequests returns the requests to send now and when to check again.
func (h *holder) dueRequests(l *layout) ([]outgoingRequest, time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.setLayout(l)
	next := now.Add(min(h.opts.RenewInterval, h.opts.IdleTimeout))
	if h.layout == nil {
		return nil, next
	}
	var requests []outgoingRequest
	for pool, groups := range h.layout.byPool {
		for i, want := range h.wants(pool, now) {
			hg := h.groups[groups[i].key]
			at, ok := h.nextRequestAt(hg, want, now)
			switch {
			case !ok:
			case !at.After(now):
				requests = append(requests, h.buildRequest(hg, want, now))
				next = earlier(next, now.Add(firstAnswerTimeout))
			default:
				next = earlier(next, at)
			}
		}
	}
	return requests, next
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// nextRequestAt returns when to send the next request for a group, and false if
// none is needed.
func (h *holder) nextRequestAt(hg *heldGroup, want int, now time.Time) (time.Time, bool) {
	held := h.sumHeld(hg.group, now)
	if want == 0 && held == 0 && !hg.urgent {
		if hg.want > 0 && !hg.pending {
			return hg.sentAt.Add(h.opts.MinInterval), true // report to the home that no slots are wanted any more
		}
		hg.answered, hg.firstSentAt = false, time.Time{}
		return time.Time{}, false
	}
	if hg.pending && now.Sub(hg.sentAt) < h.opts.RenewInterval {
		return time.Time{}, false // the loop is woken by the answer or its timeout
	}
	earliest := hg.sentAt.Add(h.opts.MinInterval)
	switch {
	case hg.urgent,
		want > hg.want && !hg.unmet,
		want < held && (hg.contended || want == 0):
		return earliest, true
	case hg.retryAfter > 0 && want > held:
		return hg.sentAt.Add(max(hg.retryAfter, h.opts.MinInterval)), true
	case want > held && !hg.unmet && hg.answered && held < hg.want:
		return earliest, true // slots were lost, by revocation or expiry
	default:
		return hg.sentAt.Add(h.opts.RenewInterval), true
	}
}

// buildRequest makes a request. From now on grants for earlier requests are void,
// and at most Keep slots of each target are used.
func (h *holder) buildRequest(hg *heldGroup, want int, now time.Time) outgoingRequest {
	h.seq++
	hg.seq, hg.sentAt, hg.want, hg.pending, hg.urgent = h.seq, now, want, true, false
	if hg.firstSentAt.IsZero() {
		hg.firstSentAt = now
	}
	spare := max(0, h.sumHeld(hg.group, now)-want)
	req := Request{Group: hg.key, Seq: hg.seq, Want: want}
	for _, doc := range hg.targets {
		t := h.targets[doc.Name]
		if n := min(spare, t.free(now)); n > 0 {
			t.slots -= n
			spare -= n
			h.version++
		}
		tr := TargetRequest{
			Name: doc.Name, Keep: t.usable(now), InUse: t.inUse, Fence: max(t.fence, t.minFence), State: t.newState, Boot: t.newBoot,
			Succeeded: t.succeeded, Failed: t.failed, LatencySumMs: t.latencySum.Milliseconds(),
		}
		unchanged := tr.Keep == 0 && tr.InUse == 0 && tr.Succeeded == 0 && tr.Failed == 0 && tr.State == "" && tr.Boot == ""
		// A new home of the group must learn the highest fence used.
		if unchanged && (tr.Fence == 0 || hg.answered && !t.reportFence) {
			continue
		}
		req.Targets = append(req.Targets, tr)
	}
	hg.dropIdle()
	return outgoingRequest{group: hg.group, request: req, sentAt: now}
}

// handleGrant applies the answer to a request, or records its failure.
func (h *holder) handleGrant(o outgoingRequest, grant Grant, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	hg := h.groups[o.group.key]
	if hg == nil || hg.seq != o.request.Seq {
		return // a later request has voided this answer
	}
	hg.pending = false
	if err != nil || grant.Seq != o.request.Seq {
		hg.unmet, hg.retryAfter = true, h.opts.RenewInterval
		return
	}
	if grant.Refused != "" {
		hg.unmet, hg.retryAfter, hg.answered = true, h.opts.RenewInterval, true
		if grant.RetryAfter > 0 {
			hg.retryAfter = grant.RetryAfter
		}
		if grant.Refused == RefusedNotHome {
			hg.retryAfter = h.opts.RenewInterval / 5 // the views of two hosts may differ briefly
		}
		return
	}
	hg.answered, hg.contended, hg.singleUse, hg.retryAfter = true, grant.Contended, grant.SingleUse, grant.RetryAfter
	h.clearReported(o.request)
	total := h.applyGrant(hg, o, grant)
	hg.unmet = total < o.request.Want
	h.version++
	h.notify()
}

// clearReported subtracts what a request has reported to the home, so that the
// next one reports only what is new.
func (h *holder) clearReported(req Request) {
	for _, tr := range req.Targets {
		t := h.targets[tr.Name]
		if t == nil {
			continue
		}
		t.succeeded -= tr.Succeeded
		t.failed -= tr.Failed
		t.latencySum -= time.Duration(tr.LatencySumMs) * time.Millisecond
		if t.newState == tr.State {
			t.newState = ""
		}
		if t.newBoot == tr.Boot {
			t.newBoot = ""
		}
	}
}

// applyGrant replaces the slots of a group by those granted and returns the
// number of slots granted or in use.
func (h *holder) applyGrant(hg *heldGroup, o outgoingRequest, grant Grant) int {
	granted := make(map[string]TargetGrant, len(grant.Targets))
	for _, tg := range grant.Targets {
		granted[tg.Name] = tg
	}
	total := 0
	for _, doc := range hg.targets {
		t := h.targets[doc.Name]
		tg, ok := granted[doc.Name]
		if !ok {
			tg = TargetGrant{Fence: t.fence, State: target.StateWarm}
		}
		if minFence := max(t.minFence, t.fence); tg.Fence < minFence {
			// A revocation arrived first, or the home doesn't know the fence yet.
			t.reportFence = true
			t.slots = min(t.slots, t.inUse)
			continue
		}
		if tg.State != target.StateWarm && t.state == target.StateWarm {
			t.revocations++ // the revocation message was lost
		}
		t.reportFence = false
		t.slots, t.fence, t.state = max(0, tg.Slots), max(tg.Fence, t.fence), tg.State
		t.leaseEnd = o.sentAt.Add(grant.Lease)
		hg.markActive(t)
		total += max(t.slots, t.inUse)
	}
	return total
}
