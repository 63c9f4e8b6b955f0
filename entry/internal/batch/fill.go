package batch

import (
	"math"
	"slices"
	"time"
)

// Plan returns the calls to make now.
func (q *Queue) Plan(now time.Time) []*Call {
	var out []*Call
	q.markFetched(now)
	if len(q.jobs) == 0 {
		return nil
	}
	slices.SortStableFunc(q.jobs, func(a, b *queuedJob) int { return q.compare(a, b, now) })
	regions := q.healthyDataCentres(now)
	for _, j := range q.jobs {
		j.chooseDataCentre(regions)
	}
	for {
		ts := q.nextTarget(now)
		if ts == nil {
			return out
		}
		c := q.packCall(ts, now)
		if c == nil {
			// No waiting piece may go to this target now.
			ts.pausedUntil = later(ts.pausedUntil, now.Add(time.Millisecond))
			continue
		}
		out = append(out, c)
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// isNearlyDone reports whether a target will have finished its calls by the time
// that another one reaches it. If orders are tight, the whole round trip counts, since
// then no call is queued behind another one earlier.
func (q *Queue) isNearlyDone(ts *targetState, now time.Time) bool {
	c := ts.calls[len(ts.calls)-1]
	lead := callLead
	if q.isTight(now) {
		lead += max(ts.roundTrip, 0)
	}
	return now.Add(lead).After(c.started.Add(c.Expected))
}

// nextTarget returns the target that can start a call soonest, or nil. A call is
// queued behind the running ones of a target only if it is full or the one before it
// is nearly done, so that targets don't idle between calls and no piece is bound to
// a target too early. While orders are tight, a full call waits for the latter too: a
// queued call delays each urgent piece that arrives after it by the time of that call.
func (q *Queue) nextTarget(now time.Time) *targetState {
	waiting := q.Len()
	if waiting == 0 {
		return nil
	}
	q.retrySlowTargets(now)
	isTight := q.isTight(now)
	var best *targetState
	for _, ts := range q.sortedTargets {
		if !ts.present || now.Before(ts.pausedUntil) {
			continue
		}
		n := len(ts.calls)
		if slots := max(q.spec.Slots, 1); n >= slots && (n > slots || q.spec.MaxQueued < 1 || ts.slowdown > slowThreshold || (isTight || waiting < q.spec.BatchSize) && !q.isNearlyDone(ts, now)) {
			continue
		}
		if best == nil || q.isLessLoaded(ts, best) {
			best = ts
		}
	}
	if best != nil && best.slowdown > slowThreshold && len(best.calls) == 0 && !q.isSlowWorthwhile(best, now) {
		return nil
	}
	return best
}

// retrySlowTargets lowers the slowdown of idle slow targets so that they are tried
// again.
func (q *Queue) retrySlowTargets(now time.Time) {
	for _, ts := range q.sortedTargets {
		if ts.slowdown > slowThreshold && len(ts.calls) == 0 && now.Sub(ts.measuredAt) > recoverInterval {
			ts.slowdown, ts.measuredAt = 1+(ts.slowdown-1)/2, now
		}
	}
}

// isLessLoaded reports whether a call should go to target a rather than b: the one
// with fewer calls, then one that isn't slow, then the one with fewer result bytes.
func (q *Queue) isLessLoaded(a, b *targetState) bool {
	if len(a.calls) != len(b.calls) {
		return len(a.calls) < len(b.calls)
	}
	if (a.slowdown > slowThreshold) != (b.slowdown > slowThreshold) {
		return a.slowdown <= slowThreshold
	}
	if a.bytes != b.bytes {
		return a.bytes < b.bytes
	}
	return a.target.ID < b.target.ID
}

// isSlowWorthwhile reports whether a slow idle target would finish a call before a
// faster busy one.
func (q *Queue) isSlowWorthwhile(slow *targetState, now time.Time) bool {
	slowEnd := now.Add(time.Duration(slow.slowdown * float64(q.spec.CallOverhead)))
	for _, ts := range q.sortedTargets {
		if ts.present && ts.slowdown <= slowThreshold && len(ts.calls) > 0 && !now.Before(ts.pausedUntil) {
			c := ts.calls[len(ts.calls)-1]
			if c.started.Add(c.Expected + q.spec.CallOverhead).Before(slowEnd) {
				return false
			}
		}
	}
	return true
}

// packCall packs a call for a target, or returns nil if nothing fits.
func (q *Queue) packCall(ts *targetState, now time.Time) *Call {
	room := int64(usableSpaceShare*float64(q.spec.ResultSpaceBytes)) - ts.bytes
	c := &Call{Target: ts.target.ID, Address: ts.target.Address, Start: ts.target.StartMillis, started: now}
	jobs := slices.Clone(q.jobs)
	slices.SortStableFunc(jobs, func(a, b *queuedJob) int {
		x, y := q.isOnTime(a, now), q.isOnTime(b, now)
		if x != y || a.job.Priority != b.job.Priority {
			return 0
		}
		return q.rankedDueAt(a, ts).Compare(q.rankedDueAt(b, ts))
	})
	waiting, isSpaceShort := q.Len(), false
	for _, j := range jobs {
		if !allows(j.job.Regions, ts.target.Region) || q.shouldWait(j, ts, now) {
			continue
		}
		for len(j.todo) > 0 && len(c.Pieces) < q.spec.BatchSize {
			if q.spec.ResultSpaceBytes > 0 && c.resultBytes+j.job.ResultBytes > room && (len(c.Pieces) > 0 || ts.bytes > 0) {
				isSpaceShort = true
				break
			}
			n := j.todo[0]
			j.todo = j.todo[1:]
			j.pending++
			if j.started.IsZero() {
				j.started, j.dataCentre = now, ts.target.DataCentre
			}
			c.resultBytes += j.job.ResultBytes
			c.jobs = append(c.jobs, j)
			c.Pieces = append(c.Pieces, Piece{
				Request: j.job.Request, Stage: j.job.Stage, Number: n, TimeLeft: j.until.Sub(now), Key: j.job.Key, Inputs: j.job.Inputs,
			})
		}
		if len(c.Pieces) == q.spec.BatchSize {
			break
		}
	}
	if len(c.Pieces) == 0 {
		return nil
	}
	if isSpaceShort && ts.bytes > 0 && float64(len(c.Pieces)) < minFill*float64(min(waiting, q.spec.BatchSize)) {
		q.unpackCall(c)
		return nil
	}
	workTime := q.spec.CallOverhead
	for _, j := range c.jobs {
		workTime += q.itemTime(j.job.Class)
	}
	c.workTime = workTime
	c.roundTrip = max(ts.roundTrip, 0)
	c.Expected = workTime + c.roundTrip
	if n := len(ts.calls); n > 0 {
		c.isQueued = true
		before := ts.calls[n-1]
		c.Expected += max(before.started.Add(before.Expected).Sub(now), 0)
	}
	if len(ts.calls) < max(q.spec.Slots, 1) {
		c.runningSince = now
	}
	c.isSpaceTight = q.spec.ResultSpaceBytes > 0 && float64(ts.bytes+c.resultBytes) > tightSpaceShare*float64(q.spec.ResultSpaceBytes)
	c.Timeout = time.Duration(timeoutFactor*max(min(ts.slowdown, 3), 1)*float64(c.Expected)) + timeoutExtra
	ts.calls = append(ts.calls, c)
	ts.bytes += c.resultBytes
	return c
}

// markFetched offers to free the inputs of jobs whose targets have fetched them, so
// that the space becomes free while the calls still run. If such a call fails, all
// stages of its requests must run again.
func (q *Queue) markFetched(now time.Time) {
	for _, ts := range q.sortedTargets {
		for _, c := range ts.calls {
			if !c.inputsFetched {
				if c.runningSince.IsZero() || c.isSpaceTight || ts.slowdown > slowThreshold || ts.roundTrip < 0 || now.Sub(c.runningSince) < ts.roundTrip+fetchTime {
					continue
				}
				c.inputsFetched = true
				for _, j := range c.jobs {
					j.fetched++
				}
			}
			for _, j := range c.jobs {
				if j.fetched == j.job.Pieces && !j.finished && !j.inputsFreed && !j.isHeld {
					j.inputsFreed = j.onFetched()
				}
			}
		}
	}
}

// isSpaceShort reports whether the result space of the targets runs short.
func (q *Queue) isSpaceShort() bool {
	used, total := int64(0), int64(0)
	for _, ts := range q.sortedTargets {
		if ts.present {
			used, total = used+ts.bytes, total+q.spec.ResultSpaceBytes
		}
	}
	return float64(used) > shortSpaceShare*float64(total)
}

// unpackCall returns the pieces of a call to their jobs.
func (q *Queue) unpackCall(c *Call) {
	for i := len(c.jobs) - 1; i >= 0; i-- {
		j := c.jobs[i]
		j.pending--
		j.todo = append([]int{c.Pieces[i].Number}, j.todo...)
		if j.started.Equal(c.started) {
			j.started, j.dataCentre = time.Time{}, ""
		}
	}
}

// rankedDueAt returns the ranked due time of a job at a target. A job that would
// move fewer bytes in another data centre is ranked later.
func (q *Queue) rankedDueAt(j *queuedJob, ts *targetState) time.Time {
	return j.rankedDue().Add(j.remoteWait(ts.target.DataCentre))
}

// crossBytes returns the bytes that move between data centres if the remaining
// pieces of a job run in dataCentre. Each piece reads all inputs itself.
func (j *queuedJob) crossBytes(dataCentre string) int64 {
	bytes := int64(0)
	for from, n := range j.job.InputBytes {
		if from != dataCentre {
			bytes += n
		}
	}
	destination := j.job.DataCentre
	if j.job.Readers > 0 {
		destination = j.dataCentre // readers run where the results are, if these are in one place
	}
	if destination != "" && destination != dataCentre {
		bytes += j.job.ResultBytes * int64(max(j.job.Readers, 1))
	}
	return bytes * int64(len(j.todo))
}

// chooseDataCentre finds the data centre where a job moves the fewest bytes.
func (j *queuedJob) chooseDataCentre(regions map[string]string) {
	j.bestDataCentre, j.leastBytes = "", math.MaxInt64
	most := int64(0)
	for dc, region := range regions {
		if !allows(j.job.Regions, region) {
			continue
		}
		n := j.crossBytes(dc)
		most = max(most, n)
		if n < j.leastBytes || n == j.leastBytes && dc < j.bestDataCentre {
			j.bestDataCentre, j.leastBytes = dc, n
		}
	}
	if most == j.leastBytes {
		j.bestDataCentre = "" // all are equal
	}
}

// remoteWait returns how long a job waits for its best data centre rather than run
// in dataCentre.
func (j *queuedJob) remoteWait(dataCentre string) time.Duration {
	if j.bestDataCentre == "" || dataCentre == j.bestDataCentre {
		return 0
	}
	extra := j.crossBytes(dataCentre) - j.leastBytes
	return min(time.Duration(float64(remoteWaitPerMB)*float64(extra)/1e6), maxRemoteWait)
}

// healthyDataCentres returns the regions of the data centres that have a target
// which is neither slow nor paused.
func (q *Queue) healthyDataCentres(now time.Time) map[string]string {
	out := map[string]string{}
	for _, ts := range q.sortedTargets {
		if ts.present && ts.slowdown <= slowThreshold && !now.Before(ts.pausedUntil) {
			out[ts.target.DataCentre] = ts.target.Region
		}
	}
	return out
}

// shouldWait reports whether a job should wait for a target in its best data centre
// instead: one is free soon, and the job has time to wait.
func (q *Queue) shouldWait(j *queuedJob, ts *targetState, now time.Time) bool {
	maxWait := j.remoteWait(ts.target.DataCentre)
	if maxWait == 0 || j.due.Sub(now)-q.fullCallTime() < maxWait {
		return false
	}
	targets, ahead := 0, 0
	soonest := time.Duration(math.MaxInt64)
	for _, other := range q.sortedTargets {
		if !other.present || now.Before(other.pausedUntil) || other.slowdown > slowThreshold || other.target.DataCentre != j.bestDataCentre {
			continue
		}
		targets++
		wait := time.Duration(0)
		if n := len(other.calls); n > 0 {
			wait = max(other.calls[n-1].started.Add(other.calls[n-1].Expected).Sub(now), 0)
		}
		soonest = min(soonest, wait)
	}
	if targets == 0 {
		return false
	}
	for _, o := range q.jobs {
		if o == j {
			break
		}
		if o.bestDataCentre == j.bestDataCentre {
			ahead += len(o.todo)
		}
	}
	calls := ahead / (q.spec.BatchSize * targets)
	return soonest+time.Duration(calls)*q.fullCallTime() <= maxWait
}

// allows reports whether a region is in the list of allowed ones; empty allows all.
func allows(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}
