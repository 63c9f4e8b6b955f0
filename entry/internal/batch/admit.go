package batch

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// estimate works out what the stages of an order take as things are now.
func (o *order) estimate(queues map[string]*Queue) {
	own := make([]time.Duration, len(o.Stages))
	for i, s := range o.Stages {
		o.tails[i] = 0
		if o.pieces(i) > 0 {
			own[i] = queues[s.Service].typical() + transit
		}
	}
	o.chain = 0
	for range o.Stages {
		for i, s := range o.Stages {
			for _, a := range s.After {
				o.tails[a] = max(o.tails[a], o.tails[i]+own[i])
			}
		}
	}
	for i := range o.Stages {
		o.chain = max(o.chain, o.tails[i]+own[i])
	}
}

// isOnTime reports whether a waiting order can still be on time.
func (o *order) isOnTime(now time.Time) bool {
	return !now.Add(time.Duration(onTimeMargin * float64(o.chain))).After(o.due)
}

// behind is how much later than it is due an order ranks among its equals.
func (o *order) behind() time.Duration { return time.Duration(min(max(o.Rank, 0), maxRank)) * rankStep }

// compare orders waiting orders: those that can be on time first, then by
// priority, then by what is due first, less urgent routes later.
func compare(a, b *order, now time.Time) int {
	x, y := a.isOnTime(now), b.isOnTime(now)
	if x != y {
		if x {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), a.due.Add(a.behind()).Compare(b.due.Add(b.behind())), a.added.Compare(b.added))
}

// addLoad adds an order's pieces to sums by service.
func (o *order) addLoad(sums map[string]int) {
	for service, n := range o.load {
		sums[service] += n
	}
}

// ahead returns the pieces of waiting orders that go before an order.
func (d *Scheduler) ahead(o *order, now time.Time) map[string]int {
	out := map[string]int{}
	for _, w := range d.waiting {
		if compare(w, o, now) <= 0 {
			w.addLoad(out)
		}
	}
	return out
}

// admits reports whether an order would be done in time behind the work that
// goes before it, and otherwise after how long its caller may return.
func (d *Scheduler) admits(o *order, ahead map[string]int, now time.Time) (time.Duration, bool) {
	for service, pieces := range o.load {
		d.arrivals(service).add(o.Priority, float64(pieces), now)
		if !d.queues[service].hasTargets() {
			return d.spread(absentRetry), false
		}
	}
	wait := d.waitBehind(o, ahead, now)
	if now.Add(wait + o.chain).Before(o.until) {
		return 0, true
	}
	return d.spread(wait), false
}

// waitBehind returns how long an order waits for the pieces ahead of it, given
// that more urgent ones keep coming.
func (d *Scheduler) waitBehind(o *order, ahead map[string]int, now time.Time) time.Duration {
	wait := time.Duration(0)
	for service := range o.load {
		rate := d.queues[service].rate(now)
		if rate == 0 {
			wait = max(wait, absentRetry)
			continue
		}
		overtaking := o.Priority
		if !o.isOnTime(now) {
			overtaking = math.MaxInt // all that can still be on time
		}
		rate = max(rate-d.arrivals(service).above(overtaking, now), minRate*rate)
		n := float64(d.committed[service] + ahead[service])
		wait = max(wait, time.Duration(n/rate*float64(time.Second)))
	}
	return wait
}

// sortOut refuses waiting orders, which stand in their order, as soon as it shows
// that they won't be done in time, and hands over those that another region would
// serve better.
func (d *Scheduler) sortOut(now time.Time) {
	type ending struct {
		order  *order
		result Result
	}
	ahead := map[string]int{}
	var out []ending
	for _, o := range d.waiting {
		wait := d.waitBehind(o, ahead, now)
		ok := !now.Add(wait + o.chain).After(o.until)
		if region, isBetter := d.elsewhere(o, d.releaseIn(o, ahead, now), ok, now); isBetter {
			out = append(out, ending{o, Result{Reason: ReasonMoved, Region: region}})
			continue
		}
		if !ok {
			out = append(out, ending{o, Result{Reason: ReasonBusy, RetryAfter: d.spread(wait)}})
			continue
		}
		o.addLoad(ahead)
	}
	for _, e := range out {
		d.drop(e.order, e.result)
	}
}

func (d *Scheduler) arrivals(service string) *arrivals {
	a := d.coming[service]
	if a == nil {
		a = &arrivals{by: map[int]*flow{}}
		d.coming[service] = a
	}
	return a
}

// arrivals counts the pieces a second that come for a service, by priority.
type arrivals struct{ by map[int]*flow }

type flow struct {
	rate float64
	at   time.Time
}

// flowTime is the time over which arrivals are averaged.
const flowTime = 2 * time.Second

func (f *flow) decayed(now time.Time) float64 {
	return f.rate * math.Exp(-now.Sub(f.at).Seconds()/flowTime.Seconds())
}

func (a *arrivals) add(priority int, pieces float64, now time.Time) {
	f := a.by[priority]
	if f == nil {
		f = &flow{at: now}
		a.by[priority] = f
	}
	f.rate, f.at = f.decayed(now)+pieces/flowTime.Seconds(), now
}

// above returns the pieces a second of more urgent requests.
func (a *arrivals) above(priority int, now time.Time) float64 {
	sum := 0.0
	for _, p := range slices.Sorted(maps.Keys(a.by)) {
		if p < priority {
			sum += a.by[p].decayed(now)
		}
	}
	return sum
}

// spread varies a time so that refused callers don't return together.
func (d *Scheduler) spread(t time.Duration) time.Duration {
	return max(time.Duration((1+busySpread*(d.rand.Float64()-0.5))*float64(t)), minRetry)
}

// releaseAll starts waiting orders in their order while their services have room.
// An order without room keeps those behind it from overtaking it at its service.
func (d *Scheduler) releaseAll(now time.Time) {
	if len(d.waiting) == 0 {
		return
	}
	slices.SortStableFunc(d.waiting, func(a, b *order) int { return compare(a, b, now) })
	blocked := map[string]bool{}
	kept := d.waiting[:0]
	var started []*order
	for _, o := range d.waiting {
		if d.hasRoom(o, blocked, now) {
			o.addLoad(d.committed)
			started = append(started, o)
			continue
		}
		kept = append(kept, o)
	}
	clear(d.waiting[len(kept):])
	d.waiting = kept
	for _, o := range started {
		d.begin(o, now)
	}
}

func (d *Scheduler) hasRoom(o *order, blocked map[string]bool, now time.Time) bool {
	room := true
	for service, pieces := range o.load {
		q := d.queues[service]
		full := q.atOnce(o.depth[service], now)
		if blocked[service] {
			room = false
		} else if float64(d.committed[service]+pieces) > full && d.committed[service] > 0 || full == 0 {
			room = false
		}
	}
	if !room {
		for service := range o.load {
			blocked[service] = true
		}
	}
	return room
}
