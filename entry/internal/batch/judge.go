package batch

import (
	"maps"
	"slices"
	"time"
)

// fullCall is the time that a full call takes, with pieces of the mean class.
func (q *Queue) fullCall() time.Duration {
	f := 1.0
	if q.mean > 0 {
		f = q.mean
	}
	return q.spec.Call + time.Duration(f*float64(q.spec.Batch)*float64(q.spec.Item))
}

// item returns the time of a piece of a class.
func (q *Queue) item(class string) time.Duration {
	f, ok := q.items[class]
	if !ok {
		f = 1
	}
	return time.Duration(f * float64(q.spec.Item))
}

// learn corrects the times of pieces by what a call took besides its way.
func (q *Queue) learn(c *Call, took time.Duration) {
	if q.spec.Item <= 0 {
		return
	}
	counts := map[string]float64{}
	squares := 0.0
	for _, j := range c.entries {
		counts[j.job.Class]++
	}
	for _, n := range counts {
		squares += n * n
	}
	err := float64(took-c.own) / float64(q.spec.Item)
	sum, n := 0.0, 0.0
	for _, class := range slices.Sorted(maps.Keys(counts)) {
		k := counts[class]
		f, ok := q.items[class]
		if !ok {
			if len(q.items) >= maxClasses {
				continue
			}
			f = 1
		}
		f = min(max(f+itemWeight*err*k/squares, minItem), maxItem)
		q.items[class] = f
		sum, n = sum+f*k, n+k
	}
	if n > 0 {
		if q.mean == 0 {
			q.mean = 1
		}
		q.mean += latencyWeight * (sum/n - q.mean)
	}
}

// typical is what a stage takes now, in calls and in waiting for them.
func (q *Queue) typical() time.Duration {
	return max(q.spec.Call+time.Duration(max(q.spec.Batch/2, 1))*q.spec.Item/2, q.latency)
}

// rate returns the pieces a second that the targets at hand make: in full calls,
// or as space for results comes free.
func (q *Queue) rate(now time.Time) float64 {
	sum := 0.0
	for _, e := range q.list {
		if !e.present || now.Before(e.pause) {
			continue
		}
		r := float64(q.spec.Batch*max(q.spec.Slots, 1)) / (q.fullCall().Seconds() * max(e.ratio, 1))
		if q.life > 0 && q.size > 0 && q.spec.RoomBytes > 0 {
			r = min(r, roomShare*float64(q.spec.RoomBytes)/q.size/min(q.life, maxLife*q.fullCall()).Seconds())
		}
		sum += r
	}
	return sum
}

// capacity returns the pieces that the targets at hand take in one full call each.
func (q *Queue) capacity(now time.Time) float64 {
	return q.rate(now) * q.fullCall().Seconds()
}

// judge learns from a call how fast a target is and whether it is to be left alone.
func (q *Queue) judge(e *engine, c *Call, failure Failure, now time.Time) {
	took := now.Sub(c.started)
	switch failure {
	case FailureNone:
		if !c.isQueued {
			way := max(took-c.own, 0)
			if e.path < 0 || way < e.path {
				e.path = min(way, maxPath) // a first call may have waited for those of another home
			} else if way < 2*e.path+maxPath {
				e.path += time.Duration(pathWeight * float64(way-e.path))
			}
			if e.ratio < slowFrom {
				q.learn(c, took-e.path)
			}
		}
		ratio := float64(took-c.path) / float64(c.Expected-c.path)
		e.ratio += ratioWeight * (max(ratio, 0.5) - e.ratio)
		e.pauses, e.judged = 0, now
		return
	case FailureTimeout:
		e.ratio = max(e.ratio, float64(took)/float64(c.Expected))
		e.judged = now
	}
	pause := map[Failure]time.Duration{
		FailureRefused: fullPause, FailureAbsent: absentPause, FailureBroken: brokenPause, FailureTimeout: absentPause,
	}[failure]
	limit := maxPause
	if failure == FailureRefused {
		limit = q.fullCall()
	}
	pause = min(pause<<min(e.pauses, 4), limit)
	e.pauses++
	e.pause = later(e.pause, now.Add(pause))
}

// atOnce returns the pieces of a service at some place in a chain that are
// released without waiting.
func (q *Queue) atOnce(place int, now time.Time) float64 {
	return wipFactor * float64(place) * q.capacity(now)
}
