package batch

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"chivepost/share/fleet"
)

const (
	// maxTries is how many calls of a job may fail.
	maxTries = 4
	// roomShare is the part of a target's space for results that is planned with:
	// sizes are approximate.
	roomShare = 0.85
	// awayPenalty ranks pieces whose results are wanted elsewhere behind those that
	// are this much less urgent, so that results seldom cross links.
	awayPenalty = 60 * time.Millisecond
	// slowFrom is the ratio of measured to expected time from which on a target gets
	// work only when no faster one is free.
	slowFrom = 1.8
	// ratioWeight is the weight of a new measurement of that ratio.
	ratioWeight = 0.4
	// limitFactor and limitExtra bound a call: slow targets take several times as long.
	limitFactor = 3.0
	limitExtra  = 400 * time.Millisecond
	// absentPause, brokenPause and fullPause are how long a target gets no call after
	// it could not be reached, broke off, or was full through the calls of others.
	absentPause = time.Second
	brokenPause = 500 * time.Millisecond
	fullPause   = 120 * time.Millisecond
	// maxPause bounds the growing pause of a target that fails again and again.
	maxPause = 5 * time.Second
	// roomPause is how long a target without space gets no call.
	roomPause = 200 * time.Millisecond
	// busySpread spreads the time after which refused callers return.
	busySpread = 0.5
	// minRetry is the shortest time after which a refused caller may return.
	minRetry = 150 * time.Millisecond
	// admitMargin is taken off the time left when a job is admitted, for what
	// follows the stage.
	admitMargin = 150 * time.Millisecond
)

// Target is a stage target as the queue sees it.
type Target struct {
	ID         string
	Address    string
	DataCentre string
	Region     string
}

// engine is what the queue knows of a target.
type engine struct {
	target  Target
	calls   []*Call
	held    map[string]held // results by handle
	bytes   int64           // of results held and of those being made
	ratio   float64         // measured to expected time
	pause   time.Time
	pauses  int // in a row
	present bool
}

type held struct {
	bytes int64
	until time.Time
}

// Queue holds the waiting jobs of one service. It isn't safe for concurrent use.
type Queue struct {
	spec    fleet.Batching
	jobs    []*entry
	byID    map[string]*entry
	engines map[string]*engine
	orphans []string // results of jobs that have ended otherwise
}

// NewQueue returns an empty queue.
func NewQueue(spec fleet.Batching) *Queue {
	return &Queue{spec: spec, byID: map[string]*entry{}, engines: map[string]*engine{}}
}

// SetSpec takes the service's figures from a newer configuration.
func (q *Queue) SetSpec(spec fleet.Batching) { q.spec = spec }

// Len returns the number of pieces that wait.
func (q *Queue) Len() int {
	n := 0
	for _, e := range q.jobs {
		n += len(e.todo)
	}
	return n
}

// fullCall is the time that a full call takes.
func (q *Queue) fullCall() time.Duration {
	return q.spec.Call + time.Duration(q.spec.Batch)*q.spec.Item
}

// rate returns the pieces a second that the targets at hand make in full calls.
func (q *Queue) rate(now time.Time) float64 {
	sum := 0.0
	for _, e := range q.engines {
		if e.present && !now.Before(e.pause) {
			sum += float64(q.spec.Batch*max(q.spec.Slots, 1)) / (q.fullCall().Seconds() * max(e.ratio, 1))
		}
	}
	return sum
}

// Add takes a job, or refuses it at once if it can't be done in time. finish is
// called once.
func (q *Queue) Add(j Job, now time.Time, finish func(Result)) {
	e := &entry{job: j, added: now, due: now.Add(j.DueIn), until: now.Add(j.TimeLeft), finish: finish, handles: make([]string, j.Pieces)}
	for i := range j.Pieces {
		e.todo = append(e.todo, i)
	}
	if j.IsFirst {
		if wait, ok := q.admits(e, now); !ok {
			retry := max(time.Duration((1+busySpread*(rand.Float64()-0.5))*float64(wait)), minRetry)
			e.end(Result{Reason: ReasonBusy, RetryAfter: retry})
			return
		}
	}
	q.jobs = append(q.jobs, e)
	q.byID[j.ID] = e
}

// admits reports whether a new job would be done in time behind the jobs that go
// before it, and otherwise after how long it would.
func (q *Queue) admits(e *entry, now time.Time) (time.Duration, bool) {
	rate := q.rate(now)
	if rate == 0 {
		return q.fullCall(), len(q.engines) == 0 || len(q.jobs) == 0
	}
	ahead := 0
	for _, o := range q.jobs {
		if q.compare(o, e, now) <= 0 {
			ahead += len(o.todo)
		}
	}
	wait := time.Duration(float64(ahead+e.job.Pieces) / rate * float64(time.Second))
	need := wait + q.fullCall()
	return wait, now.Add(need + admitMargin).Before(e.until)
}

// isOnTime reports whether a job can still be done before it is late.
func (q *Queue) isOnTime(e *entry, now time.Time) bool {
	return !now.Add(q.spec.Call + time.Duration(len(e.todo))*q.spec.Item).After(e.due)
}

// compare orders jobs: those that can be on time first, then by priority, then
// by what is due first.
func (q *Queue) compare(a, b *entry, now time.Time) int {
	x, y := q.isOnTime(a, now), q.isOnTime(b, now)
	if x != y {
		if x {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.job.Priority, b.job.Priority), a.due.Compare(b.due))
}

// SetTargets tells the queue which targets may get calls.
func (q *Queue) SetTargets(targets []Target) {
	for _, e := range q.engines {
		e.present = false
	}
	for _, t := range targets {
		e := q.engines[t.ID]
		if e == nil {
			e = &engine{held: map[string]held{}, ratio: 1}
			q.engines[t.ID] = e
		}
		e.target, e.present = t, true
	}
	for id, e := range q.engines {
		if !e.present && len(e.calls) == 0 {
			delete(q.engines, id)
		}
	}
}

// Drop takes a job out whose caller has left.
func (q *Queue) Drop(id string) {
	if e := q.byID[id]; e != nil {
		q.finish(e, Result{Reason: ReasonDropped})
	}
}

func (q *Queue) finish(e *entry, r Result) {
	if r.Reason != ReasonNone {
		for _, h := range e.handles {
			if h != "" {
				q.orphans = append(q.orphans, h)
			}
		}
	}
	e.end(r)
	delete(q.byID, e.job.ID)
	e.todo = nil
	q.jobs = slices.DeleteFunc(q.jobs, func(o *entry) bool { return o == e })
}

// Expire ends jobs that can no longer be done in time and forgets results whose
// life is over.
func (q *Queue) Expire(now time.Time) {
	for _, e := range slices.Clone(q.jobs) {
		if len(e.todo) > 0 && now.Add(q.spec.Call).After(e.until) || now.After(e.until) {
			q.finish(e, Result{Reason: ReasonLate})
		}
	}
	for _, e := range q.engines {
		for h, r := range e.held {
			if now.After(r.until) {
				e.bytes -= r.bytes
				delete(e.held, h)
			}
		}
	}
}

// Free notes that results were given up and returns their targets.
func (q *Queue) Free(handles []string) map[string][]string {
	out := map[string][]string{}
	for _, h := range handles {
		for id, e := range q.engines {
			if r, ok := e.held[h]; ok {
				e.bytes -= r.bytes
				delete(e.held, h)
				out[id] = append(out[id], h)
				break
			}
		}
	}
	return out
}

// Orphans returns the results that nobody will use, once.
func (q *Queue) Orphans() []string {
	out := q.orphans
	q.orphans = nil
	return out
}

// Address returns where a target is.
func (q *Queue) Address(id string) (string, bool) {
	e := q.engines[id]
	if e == nil {
		return "", false
	}
	return e.target.Address, true
}

// Plan returns the calls to be made now.
func (q *Queue) Plan(now time.Time) []*Call {
	var out []*Call
	if len(q.jobs) == 0 {
		return nil
	}
	slices.SortStableFunc(q.jobs, func(a, b *entry) int { return q.compare(a, b, now) })
	for {
		e := q.freeEngine(now, len(out) > 0)
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

// freeEngine returns the target that would start a call soonest, or nil. A call
// beyond those at work waits at the target only if it is full, so that the next
// one starts without a pause and no piece is tied to a target too early.
func (q *Queue) freeEngine(now time.Time, _ bool) *engine {
	waiting := q.Len()
	if waiting == 0 {
		return nil
	}
	var best *engine
	for _, e := range q.engines {
		if !e.present || now.Before(e.pause) {
			continue
		}
		n := len(e.calls)
		if n >= max(q.spec.Slots, 1) && (n >= max(q.spec.Slots, 1)+1 || q.spec.Queue < 1 || waiting < q.spec.Batch || e.ratio > slowFrom) {
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
	for _, e := range q.engines {
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
	order := q.jobs
	if len(q.engines) > 1 {
		order = slices.Clone(q.jobs)
		slices.SortStableFunc(order, func(a, b *entry) int {
			x, y := q.isOnTime(a, now), q.isOnTime(b, now)
			if x != y || a.job.Priority != b.job.Priority {
				return 0
			}
			return q.dueAt(a, e).Compare(q.dueAt(b, e))
		})
	}
	for _, j := range order {
		if !allows(j.job.Regions, e.target.Region) {
			continue
		}
		for len(j.todo) > 0 && len(c.Pieces) < q.spec.Batch {
			if q.spec.RoomBytes > 0 && c.bytes+j.job.ResultBytes > room && (len(c.Pieces) > 0 || e.bytes > 0) {
				break
			}
			n := j.todo[0]
			j.todo = j.todo[1:]
			j.pending++
			if j.started.IsZero() {
				j.started = now
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
	own := q.spec.Call + time.Duration(len(c.Pieces))*q.spec.Item
	c.Expected = own
	if n := len(e.calls); n > 0 {
		before := e.calls[n-1]
		c.Expected += max(before.started.Add(before.Expected).Sub(now), 0)
	}
	c.Limit = time.Duration(limitFactor*max(min(e.ratio, 3), 1)*float64(c.Expected)) + limitExtra
	e.calls = append(e.calls, c)
	e.bytes += c.bytes
	return c
}

func (q *Queue) dueAt(j *entry, e *engine) time.Time {
	if j.job.DataCentre == e.target.DataCentre {
		return j.due
	}
	return j.due.Add(awayPenalty)
}

func allows(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}

// Done takes the outcome of a call. made has an entry for each piece if failure
// is FailureNone.
func (q *Queue) Done(c *Call, made []Made, failure Failure, now time.Time) {
	e := q.engines[c.Target]
	if e != nil {
		e.calls = slices.DeleteFunc(e.calls, func(o *Call) bool { return o == c })
		e.bytes -= c.bytes
		q.judge(e, c, failure, now)
	}
	counted := map[*entry]bool{}
	for i, j := range c.entries {
		j.pending--
		m := Made{Reason: FaultError}
		if failure == FailureNone {
			m = made[i]
		}
		if m.Handle != "" && e != nil {
			e.held[m.Handle] = held{bytes: j.job.ResultBytes, until: now.Add(q.spec.HoldFor)}
			e.bytes += j.job.ResultBytes
		}
		if j.finished {
			if m.Handle != "" {
				q.orphans = append(q.orphans, m.Handle)
			}
			continue
		}
		if failure != FailureNone && failure != FailureRefused && !counted[j] {
			counted[j] = true
			j.tries++
		}
		q.takePiece(j, c.Pieces[i].Number, m, failure, e, now)
	}
}

func (q *Queue) takePiece(j *entry, number int, m Made, failure Failure, e *engine, now time.Time) {
	switch {
	case m.Handle != "":
		j.handles[number] = m.Handle
		if len(j.todo) == 0 && j.pending == 0 {
			q.finish(j, Result{Handles: j.handles})
		}
		return
	case m.Reason == FaultGone:
		q.finish(j, Result{Reason: ReasonGone})
		return
	case m.Reason == FaultLate:
		q.finish(j, Result{Reason: ReasonLate})
		return
	case m.Reason == FaultRoom && e != nil:
		e.pause = later(e.pause, now.Add(roomPause))
	case failure == FailureNone:
		j.tries++
	}
	if j.tries >= maxTries {
		q.finish(j, Result{Reason: ReasonFailed})
		return
	}
	j.todo = append(j.todo, number)
}

// judge learns from a call how fast a target is and whether it is to be left alone.
func (q *Queue) judge(e *engine, c *Call, failure Failure, now time.Time) {
	took := now.Sub(c.started)
	ratio := float64(took) / float64(c.Expected)
	switch failure {
	case FailureNone:
		e.ratio += ratioWeight * (ratio - e.ratio)
		e.pauses = 0
		return
	case FailureTimeout:
		e.ratio = max(e.ratio, ratio)
	}
	pause := map[Failure]time.Duration{
		FailureRefused: fullPause, FailureAbsent: absentPause, FailureBroken: brokenPause, FailureTimeout: absentPause,
	}[failure]
	if failure != FailureRefused {
		pause = min(pause<<min(e.pauses, 4), maxPause)
		e.pauses++
	}
	e.pause = later(e.pause, now.Add(pause))
}
