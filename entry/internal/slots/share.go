package slots

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// minRetry is the least time after which a holder requests again the slots that
// it didn't get.
const minRetry = 25 * time.Millisecond

// holderShare is one holder's share of a group.
type holderShare struct {
	amount     int
	level      int // common level: slots that each holder gets if it wants as many
	contended  bool
	singleUse  bool
	retryAfter time.Duration
}

// shareFor returns a holder's max-min fair share of the limits of the group, by
// the demand of all holders. Holders get the slots above the common level in turn.
func (h *home) shareFor(g *homeGroup, r *holderRecord, now time.Time) holderShare {
	capacity := 0
	for _, doc := range g.targets {
		capacity += h.limit(h.targets[doc.Name], now)
	}
	waiting := make([]*holderRecord, 0, len(g.holders))
	sum := 0
	for _, o := range g.holders {
		if o.want > 0 && (o == r || now.Before(o.expectedBy)) {
			waiting = append(waiting, o)
			sum += o.want
		}
	}
	if sum <= capacity {
		return holderShare{amount: r.want, retryAfter: minRetry}
	}
	level, spare := waterFill(waiting, capacity)
	share := holderShare{level: level, contended: true, singleUse: capacity < len(waiting)}
	share.amount = min(r.want, level)
	position := 0
	slices.SortFunc(waiting, func(a, b *holderRecord) int { return compareTurns(a, b, level, now) })
	for _, o := range waiting {
		if o.want <= level {
			continue
		}
		if o == r {
			break
		}
		position++
	}
	if r.want > level && position < spare {
		share.amount++
	}
	// The next holder in turn retries soon, the others after the calls before them.
	turnsBefore := time.Duration(max(0, position-spare))
	share.retryAfter = min(minRetry+turnsBefore*max(minRetry, h.callTime(g)/time.Duration(max(1, capacity))), h.opts.RenewInterval)
	if capacity == 0 {
		// No slot is free soon: the targets are leaving or out, or a new home waits.
		share.retryAfter = h.opts.RenewInterval / 2
	}
	return share
}

// callTime returns the usual latency of the slowest target of a group.
func (h *home) callTime(g *homeGroup) time.Duration {
	slowest := 0.0
	for _, doc := range g.targets {
		slowest = max(slowest, h.targets[doc.Name].usualLatencyMs)
	}
	return time.Duration(slowest * float64(time.Millisecond))
}

// turnDuration is for how long a holder keeps a slot above the common level while
// others want it. It is longer than a renewal, so that slots don't move with each
// request.
const turnDuration = time.Second

// compareTurns orders holders for the slots above the common level: first those
// that have held one for less than turnDuration, then those that got theirs
// longest ago.
func compareTurns(a, b *holderRecord, level int, now time.Time) int {
	rank := func(r *holderRecord) int {
		if r.held > level && now.Sub(r.turnAt) < turnDuration {
			return 0
		}
		return 1
	}
	return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.turnSeq, b.turnSeq), cmp.Compare(a.id.host, b.id.host),
		cmp.Compare(a.id.incarnation, b.id.incarnation))
}

// waterFill returns the highest level such that the capacity suffices when each
// holder gets the lesser of its want and the level, and the capacity to spare.
func waterFill(waiting []*holderRecord, capacity int) (level, spare int) {
	wants := make([]int, len(waiting))
	for i, o := range waiting {
		wants[i] = o.want
	}
	slices.Sort(wants)
	remaining := capacity
	for i, w := range wants {
		n := len(wants) - i
		if (w-level)*n > remaining {
			return level + remaining/n, remaining % n
		}
		remaining -= (w - level) * n
		level = w
	}
	return level, remaining
}

// chooseTargets places amount slots for a holder and returns the number for each
// target: first slots in use, then those the holder keeps, then those of targets
// with the most room in relation to their limit.
func (h *home) chooseTargets(g *homeGroup, r *holderRecord, amount int, now time.Time) []int {
	n := len(g.targets)
	slots, room, limits := make([]int, n), make([]int, n), make([]int, n)
	remaining := amount
	for i, doc := range g.targets {
		t := h.targets[doc.Name]
		u := t.usages[r.id]
		limits[i] = h.limit(t, now)
		room[i] = max(0, limits[i]-(t.total-u.counted()))
		// A holder that must return slots may get fewer than it has in use. It then
		// starts no call until enough have ended.
		slots[i] = min(u.inUse, room[i], remaining)
		remaining -= min(u.inUse, remaining)
	}
	for i, doc := range g.targets {
		if remaining <= 0 {
			return slots
		}
		u := h.targets[doc.Name].usages[r.id]
		more := max(0, min(u.keep-u.inUse, room[i]-slots[i], remaining))
		slots[i] += more
		remaining -= more
	}
	// Holders start at different targets, so that targets of equal room are used
	// evenly.
	start := int(xxhash.Sum64String(r.id.host) % uint64(n))
	for ; remaining > 0; remaining-- {
		best := -1
		for k := range n {
			i := (start + k) % n
			if room[i] > slots[i] && (best < 0 || (room[i]-slots[i])*limits[best] > (room[best]-slots[best])*limits[i]) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		slots[best]++
	}
	return slots
}
