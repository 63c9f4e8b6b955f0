package slots

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// poll is the least time after which a holder asks again for slots that it
// still wants.
const poll = 25 * time.Millisecond

// shareOf is one holder's part of a group.
type shareOf struct {
	amount int
	level  int // what every holder gets that wants as much
	shared bool
	turn   bool
	retry  time.Duration
}

// share divides the limits of the group among the holders that want slots: max
// and min fair by demand, and in turn when slots are fewer than holders.
func (h *home) share(g *homeGroup, r *holderRecord, now time.Time) shareOf {
	capacity := 0
	for _, doc := range g.targets {
		capacity += h.limit(h.targets[doc.Name], now)
	}
	wanting := make([]*holderRecord, 0, len(g.holders))
	sum := 0
	for _, o := range g.holders {
		if o.want > 0 && (o == r || now.Before(o.expect)) {
			wanting = append(wanting, o)
			sum += o.want
		}
	}
	if sum <= capacity {
		return shareOf{amount: r.want, retry: poll}
	}
	level, rest := fill(wanting, capacity)
	s := shareOf{level: level, shared: true, turn: capacity < len(wanting)}
	s.amount = min(r.want, level)
	pos := 0
	slices.SortFunc(wanting, func(a, b *holderRecord) int { return byTurn(a, b, level, now) })
	for _, o := range wanting {
		if o.want <= level {
			continue
		}
		if o == r {
			break
		}
		pos++
	}
	if r.want > level && pos < rest {
		s.amount++
	}
	// The next in line asks again soon, the others after the calls before them.
	turns := time.Duration(max(0, pos-rest))
	s.retry = min(poll+turns*max(poll, h.callTime(g)/time.Duration(max(1, capacity))), h.opts.RenewInterval)
	if capacity == 0 {
		// Nothing comes free soon: the targets are leaving, or a new home waits.
		s.retry = h.opts.RenewInterval / 2
	}
	return s
}

// callTime returns the usual latency of the slowest target of a group.
func (h *home) callTime(g *homeGroup) time.Duration {
	slowest := 0.0
	for _, doc := range g.targets {
		slowest = max(slowest, h.targets[doc.Name].usual)
	}
	return time.Duration(slowest * float64(time.Millisecond))
}

// term is for how long a holder keeps a slot beyond the common level while
// others want it. It is longer than a renewal, so that slots don't move at each ask.
const term = time.Second

// byTurn orders holders for the slots beyond the common level: those that hold
// one come first for a term, then those that got theirs longest ago.
func byTurn(a, b *holderRecord, level int, now time.Time) int {
	holds := func(r *holderRecord) int {
		if r.held > level && now.Sub(r.turnAt) < term {
			return 0
		}
		return 1
	}
	return cmp.Or(cmp.Compare(holds(a), holds(b)), cmp.Compare(a.turn, b.turn), cmp.Compare(a.id.host, b.id.host),
		cmp.Compare(a.id.incarnation, b.id.incarnation))
}

// fill returns the highest level at which every holder gets the lesser of its
// want and the level, and what then remains of the capacity.
func fill(wanting []*holderRecord, capacity int) (level, rest int) {
	wants := make([]int, len(wanting))
	for i, o := range wanting {
		wants[i] = o.want
	}
	slices.Sort(wants)
	left := capacity
	for i, w := range wants {
		n := len(wants) - i
		if (w-level)*n > left {
			return level + left/n, left % n
		}
		left -= (w - level) * n
		level = w
	}
	return level, left
}

// choose picks the targets of amount slots for a holder: those it has in use
// first, then those it keeps, then those with the most room.
func (h *home) choose(g *homeGroup, r *holderRecord, amount int, now time.Time) []int {
	n := len(g.targets)
	slots, room, limits := make([]int, n), make([]int, n), make([]int, n)
	left := amount
	for i, doc := range g.targets {
		t := h.targets[doc.Name]
		u := t.uses[r.id]
		limits[i] = h.limit(t, now)
		room[i] = max(0, limits[i]-(t.total-u.counted()))
		// A holder that must return some gets fewer than it has in use: it starts no
		// call until enough have ended.
		slots[i] = min(u.inUse, room[i], left)
		left -= min(u.inUse, left)
	}
	for i, doc := range g.targets {
		if left <= 0 {
			return slots
		}
		u := h.targets[doc.Name].uses[r.id]
		more := max(0, min(u.keep-u.inUse, room[i]-slots[i], left))
		slots[i] += more
		left -= more
	}
	// Each holder starts elsewhere, so that targets of equal room are used evenly.
	start := int(xxhash.Sum64String(r.id.host) % uint64(n))
	for ; left > 0; left-- {
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
