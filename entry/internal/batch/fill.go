package batch

import (
	"math"
	"slices"
	"time"
)

// Plan returns the calls to be made now.
func (q *Queue) Plan(now time.Time) []*Call {
	var out []*Call
	q.noteFetched(now)
	if len(q.jobs) == 0 {
		return nil
	}
	slices.SortStableFunc(q.jobs, func(a, b *entry) int { return q.compare(a, b, now) })
	places := q.places(now)
	for _, j := range q.jobs {
		j.settle(places)
	}
	for {
		e := q.freeEngine(now)
		if e == nil {
			return out
		}
		c := q.fill(e, now)
		if c == nil {
			// Nothing that waits may go there now.
			e.pause = later(e.pause, now.Add(time.Millisecond))
			continue
		}
		out = append(out, c)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// isNearlyDone reports whether a target is done with its call by the time that
// another one gets there.
func isNearlyDone(e *engine, now time.Time) bool {
	c := e.calls[len(e.calls)-1]
	return now.Add(callLead).After(c.started.Add(c.Expected))
}

// freeEngine returns the target that would start a call soonest, or nil. A call
// beyond those at work waits at the target only if it is full or the one before
// it is nearly done, so that the next one starts without a pause and no piece is
// tied to a target too early.
func (q *Queue) freeEngine(now time.Time) *engine {
	waiting := q.Len()
	if waiting == 0 {
		return nil
	}
	q.recover(now)
	var best *engine
	for _, e := range q.list {
		if !e.present || now.Before(e.pause) {
			continue
		}
		n := len(e.calls)
		if slots := max(q.spec.Slots, 1); n >= slots && (n > slots || q.spec.Queue < 1 || e.ratio > slowFrom || waiting < q.spec.Batch && !isNearlyDone(e, now)) {
			continue
		}
		if best == nil || q.isBetter(e, best) {
			best = e
		}
	}
	if best != nil && best.ratio > slowFrom && len(best.calls) == 0 && !q.isSlowWorth(best, now) {
		return nil
	}
	return best
}

// recover lets slow targets without calls be tried again.
func (q *Queue) recover(now time.Time) {
	for _, e := range q.list {
		if e.ratio > slowFrom && len(e.calls) == 0 && now.Sub(e.judged) > recoverEvery {
			e.ratio, e.judged = 1+(e.ratio-1)/2, now
		}
	}
}

func (q *Queue) isBetter(a, b *engine) bool {
	if len(a.calls) != len(b.calls) {
		return len(a.calls) < len(b.calls)
	}
	if (a.ratio > slowFrom) != (b.ratio > slowFrom) {
		return a.ratio <= slowFrom
	}
	if a.bytes != b.bytes {
		return a.bytes < b.bytes
	}
	return a.target.ID < b.target.ID
}

// isSlowWorth reports whether a slow target that is free would be done before a
// faster one that is at work.
func (q *Queue) isSlowWorth(slow *engine, now time.Time) bool {
	own := now.Add(time.Duration(slow.ratio * float64(q.spec.Call)))
	for _, e := range q.list {
		if e.present && e.ratio <= slowFrom && len(e.calls) > 0 && !now.Before(e.pause) {
			c := e.calls[len(e.calls)-1]
			if c.started.Add(c.Expected + q.spec.Call).Before(own) {
				return false
			}
		}
	}
	return true
}

// fill packs a call for a target, or returns nil if nothing fits.
func (q *Queue) fill(e *engine, now time.Time) *Call {
	room := int64(roomShare*float64(q.spec.RoomBytes)) - e.bytes
	c := &Call{Target: e.target.ID, Address: e.target.Address, started: now}
	order := slices.Clone(q.jobs)
	slices.SortStableFunc(order, func(a, b *entry) int {
		x, y := q.isOnTime(a, now), q.isOnTime(b, now)
		if x != y || a.job.Priority != b.job.Priority {
			return 0
		}
		return q.dueAt(a, e).Compare(q.dueAt(b, e))
	})
	waiting, short := q.Len(), false
	for _, j := range order {
		if !allows(j.job.Regions, e.target.Region) || q.shouldWait(j, e, now) {
			continue
		}
		for len(j.todo) > 0 && len(c.Pieces) < q.spec.Batch {
			if q.spec.RoomBytes > 0 && c.bytes+j.job.ResultBytes > room && (len(c.Pieces) > 0 || e.bytes > 0) {
				short = true
				break
			}
			n := j.todo[0]
			j.todo = j.todo[1:]
			j.pending++
			if j.started.IsZero() {
				j.started, j.place = now, e.target.DataCentre
			}
			c.bytes += j.job.ResultBytes
			c.entries = append(c.entries, j)
			c.Pieces = append(c.Pieces, Piece{
				Request: j.job.Request, Stage: j.job.Stage, Number: n, TimeLeft: j.until.Sub(now), Key: j.job.Key, Inputs: j.job.Inputs,
			})
		}
		if len(c.Pieces) == q.spec.Batch {
			break
		}
	}
	if len(c.Pieces) == 0 {
		return nil
	}
	if short && e.bytes > 0 && float64(len(c.Pieces)) < minFill*float64(min(waiting, q.spec.Batch)) {
		q.takeBack(c)
		return nil
	}
	own := q.spec.Call
	for _, j := range c.entries {
		own += q.item(j.job.Class)
	}
	c.own = own
	c.path = max(e.path, 0)
	c.Expected = own + c.path
	if n := len(e.calls); n > 0 {
		c.isQueued = true
		before := e.calls[n-1]
		c.Expected += max(before.started.Add(before.Expected).Sub(now), 0)
	}
	if len(e.calls) < max(q.spec.Slots, 1) {
		c.turn = now
	}
	c.isTight = q.spec.RoomBytes > 0 && float64(e.bytes+c.bytes) > tightShare*float64(q.spec.RoomBytes)
	c.Timeout = time.Duration(limitFactor*max(min(e.ratio, 3), 1)*float64(c.Expected)) + limitExtra
	e.calls = append(e.calls, c)
	e.bytes += c.bytes
	return c
}

// noteFetched offers to give up the inputs of jobs whose targets have fetched them,
// so that their space comes free while the calls are still at work. A call that
// fails after this costs its requests all their stages.
func (q *Queue) noteFetched(now time.Time) {
	for _, e := range q.list {
		for _, c := range e.calls {
			if !c.hasFetched {
				if c.turn.IsZero() || c.isTight || e.ratio > slowFrom || e.path < 0 || now.Sub(c.turn) < e.path+readTime {
					continue
				}
				c.hasFetched = true
				for _, j := range c.entries {
					j.fetched++
				}
			}
			for _, j := range c.entries {
				if j.fetched == j.job.Pieces && !j.finished && !j.isFreed {
					j.isFreed = j.onFetched()
				}
			}
		}
	}
}

// isShort reports whether the space for results at the targets runs short.
func (q *Queue) isShort() bool {
	bytes, room := int64(0), int64(0)
	for _, e := range q.list {
		if e.present {
			bytes, room = bytes+e.bytes, room+q.spec.RoomBytes
		}
	}
	return float64(bytes) > shortShare*float64(room)
}

// takeBack undoes the packing of a call.
func (q *Queue) takeBack(c *Call) {
	for i := len(c.entries) - 1; i >= 0; i-- {
		j := c.entries[i]
		j.pending--
		j.todo = append([]int{c.Pieces[i].Number}, j.todo...)
		if j.started.Equal(c.started) {
			j.started, j.place = time.Time{}, ""
		}
	}
}

// dueAt ranks a job for a target: one that is better made elsewhere goes behind.
func (q *Queue) dueAt(j *entry, e *engine) time.Time {
	return j.ranked().Add(j.bears(e.target.DataCentre))
}

// moves returns the bytes that cross links between data centres if the rest of a
// job is made in one of them. Each piece reads all inputs for itself.
func (j *entry) moves(dataCentre string) int64 {
	bytes := int64(0)
	for from, n := range j.job.InputBytes {
		if from != dataCentre {
			bytes += n
		}
	}
	wanted := j.job.DataCentre
	if j.job.Readers > 0 {
		wanted = j.place // what reads the results follows them, if they lie together
	}
	if wanted != "" && wanted != dataCentre {
		bytes += j.job.ResultBytes * int64(max(j.job.Readers, 1))
	}
	return bytes * int64(len(j.todo))
}

// settle finds the data centre where a job moves the fewest bytes.
func (j *entry) settle(places map[string]string) {
	j.best, j.least = "", math.MaxInt64
	most := int64(0)
	for dc, region := range places {
		if !allows(j.job.Regions, region) {
			continue
		}
		n := j.moves(dc)
		most = max(most, n)
		if n < j.least || n == j.least && dc < j.best {
			j.best, j.least = dc, n
		}
	}
	if most == j.least {
		j.best = "" // all are alike
	}
}

// bears returns how long a job waits rather than being made in a data centre.
func (j *entry) bears(dataCentre string) time.Duration {
	if j.best == "" || dataCentre == j.best {
		return 0
	}
	extra := j.moves(dataCentre) - j.least
	return min(time.Duration(float64(awayWait)*float64(extra)/1e6), maxAwayWait)
}

// places returns the data centres with targets that work as they should, and
// their regions.
func (q *Queue) places(now time.Time) map[string]string {
	out := map[string]string{}
	for _, e := range q.list {
		if e.present && e.ratio <= slowFrom && !now.Before(e.pause) {
			out[e.target.DataCentre] = e.target.Region
		}
	}
	return out
}

// shouldWait reports whether a job is better left for a target in the data centre
// where it moves the fewest bytes: one is free soon, and the job has the time.
func (q *Queue) shouldWait(j *entry, e *engine, now time.Time) bool {
	bears := j.bears(e.target.DataCentre)
	if bears == 0 || j.due.Sub(now)-q.fullCall() < bears {
		return false
	}
	engines, ahead := 0, 0
	soonest := time.Duration(math.MaxInt64)
	for _, o := range q.list {
		if !o.present || now.Before(o.pause) || o.ratio > slowFrom || o.target.DataCentre != j.best {
			continue
		}
		engines++
		wait := time.Duration(0)
		if n := len(o.calls); n > 0 {
			wait = max(o.calls[n-1].started.Add(o.calls[n-1].Expected).Sub(now), 0)
		}
		soonest = min(soonest, wait)
	}
	if engines == 0 {
		return false
	}
	for _, o := range q.jobs {
		if o == j {
			break
		}
		if o.best == j.best {
			ahead += len(o.todo)
		}
	}
	calls := ahead / (q.spec.Batch * engines)
	return soonest+time.Duration(calls)*q.fullCall() <= bears
}

func allows(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}
