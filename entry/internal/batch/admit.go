package batch

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// estimate computes the critical path through an order's stages from the current
// times of their services.
func (o *order) estimate(queues map[string]*Queue, now time.Time) {
	own := make([]time.Duration, len(o.Stages))
	for i, s := range o.Stages {
		o.pathAfter[i] = 0
		if o.pieceCount(i) > 0 {
			own[i] = queues[s.Service].stageTime(o.Priority, o.rankDelay(), now) + callOverhead
		}
	}
	o.criticalPath = 0
	for range o.Stages {
		for i, s := range o.Stages {
			for _, a := range s.After {
				o.pathAfter[a] = max(o.pathAfter[a], o.pathAfter[i]+own[i])
			}
		}
	}
	for i := range o.Stages {
		o.criticalPath = max(o.criticalPath, o.pathAfter[i]+own[i])
	}
}

// markTight lets the services of an order count as tight for tightPeriod if the latency
// objective of its route is shorter than tightCalls full calls for each stage on the longest
// path. Such an order can't wait behind a queued call at every stage.
func (o *order) markTight(queues map[string]*Queue, now time.Time) {
	path := make([]time.Duration, len(o.Stages))
	longest := time.Duration(0)
	for range o.Stages {
		for i, s := range o.Stages {
			path[i] = 0
			if o.pieceCount(i) > 0 {
				path[i] = tightCalls * queues[s.Service].plannedCallTime()
			}
			before := time.Duration(0)
			for _, a := range s.After {
				before = max(before, path[a])
			}
			path[i] += before
			longest = max(longest, path[i])
		}
	}
	if o.Objective <= 0 || o.Objective >= longest {
		return
	}
	for service := range o.load {
		queues[service].tightUntil = now.Add(tightPeriod)
	}
}

// isOnTime reports whether a waiting order can still be on time.
func (o *order) isOnTime(now time.Time) bool {
	return !now.Add(time.Duration(onTimeMargin * float64(o.criticalPath))).After(o.due)
}

// rankDelay returns what is added to an order's due time when it is compared with
// orders of the same priority.
func (o *order) rankDelay() time.Duration {
	return time.Duration(min(max(o.Rank, 0), maxRank)) * rankStep
}

// compareOrders sorts orders that can still be on time first, then by priority,
// then by due time plus rank delay.
func compareOrders(a, b *order, now time.Time) int {
	x, y := a.isOnTime(now), b.isOnTime(now)
	if x != y {
		if x {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), a.due.Add(a.rankDelay()).Compare(b.due.Add(b.rankDelay())), a.added.Compare(b.added))
}

// addLoad adds an order's pieces to sums by service.
func (o *order) addLoad(sums map[string]int) {
	for service, n := range o.load {
		sums[service] += n
	}
}

// piecesAhead returns the pieces, by service, of the waiting orders that sort before o.
func (sc *Scheduler) piecesAhead(o *order, now time.Time) map[string]int {
	out := map[string]int{}
	for _, w := range sc.waiting {
		if compareOrders(w, o, now) <= 0 {
			w.addLoad(out)
		}
	}
	return out
}

// admits reports whether an order can be done in time behind the pieces ahead of
// it. If not, it returns the time after which the caller may retry.
func (sc *Scheduler) admits(o *order, ahead map[string]int, now time.Time) (time.Duration, bool) {
	for service, pieces := range o.load {
		sc.arrivalsOf(service).add(o.Priority, float64(pieces), now)
		if !sc.queues[service].hasTargets() {
			return sc.jitter(noTargetRetry), false
		}
	}
	wait := sc.queueWait(o, ahead, now)
	if now.Add(wait + o.criticalPath).Before(o.until) {
		return 0, true
	}
	return sc.retryAfter(o, wait, now), false
}

// retryAfter returns the time after which the caller of a refused order may retry: about the
// time that the order would wait, and not before targets that have asked for a pause open.
func (sc *Scheduler) retryAfter(o *order, wait time.Duration, now time.Time) time.Duration {
	out := sc.jitter(wait)
	for service := range o.load {
		if open := sc.queues[service].opensIn(now); open > out {
			out = open + sc.jitter(minRetry)
		}
	}
	return out
}

// queueWait returns how long an order waits for the committed pieces and those
// ahead of it, given that more urgent pieces keep arriving.
func (sc *Scheduler) queueWait(o *order, ahead map[string]int, now time.Time) time.Duration {
	wait := time.Duration(0)
	for service := range o.load {
		rate := sc.queues[service].rate(now)
		if rate == 0 {
			wait = max(wait, noTargetRetry, sc.queues[service].opensIn(now))
			continue
		}
		overtaking := o.Priority
		if !o.isOnTime(now) {
			overtaking = math.MaxInt // every order that can still be on time sorts before this one
		}
		rate = max(rate-sc.arrivalsOf(service).above(overtaking, now), minRateShare*rate)
		n := float64(sc.committed[service] + ahead[service])
		wait = max(wait, time.Duration(n/rate*float64(time.Second)))
	}
	return wait
}

// reviewWaiting refuses waiting orders that can no longer be done in time, and
// hands over those that another region would serve better. The waiting orders must
// be sorted.
func (sc *Scheduler) reviewWaiting(now time.Time) {
	type removal struct {
		order  *order
		result Result
	}
	ahead := map[string]int{}
	var removed []removal
	for _, o := range sc.waiting {
		wait := sc.queueWait(o, ahead, now)
		ok := !now.Add(wait + o.criticalPath).After(o.until)
		if region, isBetter := sc.betterRegion(o, sc.releaseDelay(o, ahead, now), ok, now); isBetter {
			removed = append(removed, removal{o, Result{Reason: ReasonMoved, Region: region}})
			continue
		}
		if !ok {
			removed = append(removed, removal{o, Result{Reason: ReasonBusy, RetryAfter: sc.retryAfter(o, wait, now)}})
			continue
		}
		o.addLoad(ahead)
	}
	for _, r := range removed {
		sc.drop(r.order, r.result)
	}
}

func (sc *Scheduler) arrivalsOf(service string) *arrivalRates {
	rates := sc.arrivals[service]
	if rates == nil {
		rates = &arrivalRates{byPriority: map[int]*decayingRate{}}
		sc.arrivals[service] = rates
	}
	return rates
}

// arrivalRates holds the pieces per second that arrive for a service, by priority.
type arrivalRates struct{ byPriority map[int]*decayingRate }

// decayingRate is an exponentially decaying rate per second.
type decayingRate struct {
	rate      float64
	updatedAt time.Time
}

// arrivalWindow is the time constant of the decay of arrival rates.
const arrivalWindow = 2 * time.Second

func (r *decayingRate) decayed(now time.Time) float64 {
	return r.rate * math.Exp(-now.Sub(r.updatedAt).Seconds()/arrivalWindow.Seconds())
}

func (rates *arrivalRates) add(priority int, pieces float64, now time.Time) {
	r := rates.byPriority[priority]
	if r == nil {
		r = &decayingRate{updatedAt: now}
		rates.byPriority[priority] = r
	}
	r.rate, r.updatedAt = r.decayed(now)+pieces/arrivalWindow.Seconds(), now
}

// above returns the pieces per second of more urgent requests.
func (rates *arrivalRates) above(priority int, now time.Time) float64 {
	sum := 0.0
	for _, p := range slices.Sorted(maps.Keys(rates.byPriority)) {
		if p < priority {
			sum += rates.byPriority[p].decayed(now)
		}
	}
	return sum
}

// jitter varies a retry time so that refused callers don't return all at once.
func (sc *Scheduler) jitter(t time.Duration) time.Duration {
	return max(time.Duration((1+retryJitter*(sc.rand.Float64()-0.5))*float64(t)), minRetry)
}

// releaseWaiting starts the waiting orders whose services have capacity, in sorted
// order. An order that must wait blocks later ones that use the same services, so
// that none overtakes it.
func (sc *Scheduler) releaseWaiting(now time.Time) {
	if len(sc.waiting) == 0 {
		return
	}
	slices.SortStableFunc(sc.waiting, func(a, b *order) int { return compareOrders(a, b, now) })
	blocked := map[string]bool{}
	kept := sc.waiting[:0]
	var started []*order
	for _, o := range sc.waiting {
		if !o.isHeld && sc.hasCapacity(o, blocked, now) {
			o.addLoad(sc.committed)
			started = append(started, o)
			continue
		}
		kept = append(kept, o)
	}
	clear(sc.waiting[len(kept):])
	sc.waiting = kept
	for _, o := range started {
		sc.start(o, now)
	}
}

// hasCapacity reports whether all services of an order are below their release
// limits. If not, it adds all services of the order to blocked.
func (sc *Scheduler) hasCapacity(o *order, blocked map[string]bool, now time.Time) bool {
	hasCapacity := true
	for service, pieces := range o.load {
		q := sc.queues[service]
		limit := q.releaseLimit(o.depth[service], now)
		if blocked[service] {
			hasCapacity = false
		} else if float64(sc.committed[service]+pieces) > limit && sc.committed[service] > 0 || limit == 0 {
			hasCapacity = false
		}
	}
	if !hasCapacity {
		for service := range o.load {
			blocked[service] = true
		}
	}
	return hasCapacity
}
