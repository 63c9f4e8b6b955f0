package batch

import (
	"maps"
	"math"
	"slices"
	"time"
)

// fullCallTime returns the time of a full call with pieces of mean duration.
func (q *Queue) fullCallTime() time.Duration {
	f := 1.0
	if q.meanFactor > 0 {
		f = q.meanFactor
	}
	return q.spec.CallOverhead + time.Duration(f*float64(q.spec.BatchSize)*float64(q.spec.ItemTime))
}

// itemTime returns the time of a piece of a class.
func (q *Queue) itemTime(class string) time.Duration {
	f, ok := q.itemFactors[class]
	if !ok {
		f = 1
	}
	return time.Duration(f * float64(q.spec.ItemTime))
}

// adjustItemFactors corrects the factors of the classes in a call by the difference
// between took, the measured time without the round trip, and the expected work time.
func (q *Queue) adjustItemFactors(c *Call, took time.Duration) {
	if q.spec.ItemTime <= 0 {
		return
	}
	counts := map[string]float64{}
	squares := 0.0
	for _, j := range c.jobs {
		counts[j.job.Class]++
	}
	for _, n := range counts {
		squares += n * n
	}
	err := float64(took-c.workTime) / float64(q.spec.ItemTime)
	sum, n := 0.0, 0.0
	for _, class := range slices.Sorted(maps.Keys(counts)) {
		k := counts[class]
		f, ok := q.itemFactors[class]
		if !ok {
			if len(q.itemFactors) >= maxClasses {
				continue
			}
			f = 1
		}
		f = min(max(f+itemWeight*err*k/squares, minItemFactor), maxItemFactor)
		q.itemFactors[class] = f
		sum, n = sum+f*k, n+k
	}
	if n > 0 {
		if q.meanFactor == 0 {
			q.meanFactor = 1
		}
		q.meanFactor += meanWeight * (sum/n - q.meanFactor)
	}
}

// typicalTime returns the time that a stage takes now, including queueing.
func (q *Queue) typicalTime() time.Duration {
	return max(q.spec.CallOverhead+time.Duration(max(q.spec.BatchSize/2, 1))*q.spec.ItemTime/2, q.jobTime)
}

// plannedCallTime returns the time of a full call by the service's configuration.
func (q *Queue) plannedCallTime() time.Duration {
	return q.spec.CallOverhead + time.Duration(q.spec.BatchSize)*q.spec.ItemTime
}

// isTight reports whether an order with a tight objective uses the service.
func (q *Queue) isTight(now time.Time) bool { return now.Before(q.tightUntil) }

// stageTime returns the time that a stage of an order with this priority and rank delay takes
// now. While orders are tight it counts only the jobs that go before the order's own. The mean
// over all jobs would take an urgent order for late because less urgent ones wait long, and
// orders that seem late go last.
func (q *Queue) stageTime(priority int, rankDelay time.Duration, now time.Time) time.Duration {
	typical := q.typicalTime()
	if !q.isTight(now) {
		return typical
	}
	rate := q.rate(now)
	if rate == 0 {
		return typical
	}
	ahead, targets := q.piecesAhead(urgency{priority, rankDelay}, now), 0
	for _, ts := range q.sortedTargets {
		if ts.present && !now.Before(ts.pausedUntil) {
			targets++
		}
	}
	// A call of its own, after the wait for the first target that becomes free.
	call := q.fullCallTime()
	if q.callTime > 0 {
		call = q.callTime
	}
	own := call + call/time.Duration(max(targets, 1)) + time.Duration(float64(ahead)/rate*float64(time.Second))
	return min(typical, own)
}

// urgency is what jobs are ordered by besides their due times.
type urgency struct {
	priority  int
	rankDelay time.Duration
}

// piecesAhead returns the waiting pieces of jobs that are at least as urgent.
func (q *Queue) piecesAhead(u urgency, now time.Time) int {
	if !q.waitingAt.Equal(now) {
		q.waitingAt, q.waiting = now, map[urgency]int{}
		for _, j := range q.jobs {
			q.waiting[urgency{j.job.Priority, j.job.RankDelay}] += len(j.todo)
		}
	}
	n := 0
	for w, pieces := range q.waiting {
		if w.priority < u.priority || w.priority == u.priority && w.rankDelay <= u.rankDelay {
			n += pieces
		}
	}
	return n
}

// rate returns the pieces per second that the available targets complete with full
// calls, or fewer if the space for their results is freed more slowly.
func (q *Queue) rate(now time.Time) float64 {
	sum := 0.0
	for _, ts := range q.sortedTargets {
		if !ts.present || now.Before(ts.pausedUntil) {
			continue
		}
		r := float64(q.spec.BatchSize*max(q.spec.Slots, 1)) / (q.fullCallTime().Seconds() * max(ts.slowdown, 1))
		if q.holdTime > 0 && q.resultSize > 0 && q.spec.ResultSpaceBytes > 0 {
			r = min(r, usableSpaceShare*float64(q.spec.ResultSpaceBytes)/q.resultSize/min(q.holdTime, maxHoldCalls*q.fullCallTime()).Seconds())
		}
		sum += r
	}
	return sum
}

// opensIn returns how long it takes until the first target takes calls again, if all have
// asked for a pause, or else 0.
func (q *Queue) opensIn(now time.Time) time.Duration {
	first := time.Duration(math.MaxInt64)
	for _, ts := range q.sortedTargets {
		if ts.present {
			first = min(first, max(ts.target.BusyUntil.Sub(now), 0))
		}
	}
	if first == math.MaxInt64 {
		return 0
	}
	return first
}

// capacity returns the number of pieces that the available targets complete in the
// time of a full call.
func (q *Queue) capacity(now time.Time) float64 {
	return q.rate(now) * q.fullCallTime().Seconds()
}

// observeCall updates the round trip and the slowdown of a target from a call, and
// pauses the target if the call failed.
func (q *Queue) observeCall(ts *targetState, c *Call, failure Failure, now time.Time) {
	took := now.Sub(c.started)
	switch failure {
	case FailureNone:
		if !c.isQueued {
			roundTrip := max(took-c.workTime, 0)
			if ts.roundTrip < 0 || roundTrip < ts.roundTrip {
				ts.roundTrip = min(roundTrip, maxRoundTrip) // a first call may have waited for those of another home
			} else if roundTrip < 2*ts.roundTrip+maxRoundTrip {
				ts.roundTrip += time.Duration(roundTripWeight * float64(roundTrip-ts.roundTrip))
			}
			if ts.slowdown < slowThreshold {
				q.adjustItemFactors(c, took-ts.roundTrip)
			}
			if q.callTime == 0 {
				q.callTime = took
			}
			q.callTime += time.Duration(meanWeight * float64(took-q.callTime))
		}
		ratio := float64(took-c.roundTrip) / float64(c.Expected-c.roundTrip)
		ts.slowdown += slowdownWeight * (max(ratio, 0.5) - ts.slowdown)
		ts.pauseCount, ts.measuredAt = 0, now
		return
	case FailureTimeout:
		ts.slowdown = max(ts.slowdown, float64(took)/float64(c.Expected))
		ts.measuredAt = now
	}
	pause := map[Failure]time.Duration{
		FailureRefused: fullPause, FailureUnreachable: unreachablePause, FailureBroken: brokenPause, FailureTimeout: unreachablePause,
	}[failure]
	limit := maxPause
	if failure == FailureRefused {
		limit = q.fullCallTime()
	}
	pause = min(pause<<min(ts.pauseCount, 4), limit)
	ts.pauseCount++
	ts.pausedUntil = later(ts.pausedUntil, now.Add(pause))
}

// releaseLimit returns how many pieces may be released and not yet done for a
// service at this depth in the stage graph.
func (q *Queue) releaseLimit(depth int, now time.Time) float64 {
	return wipFactor * float64(depth) * q.capacity(now)
}
