package batch

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"chivepost/share/fleet"
)

const (
	// maxTries is how many calls of a job may fail.
	maxTries = 4
	// roomShare is the part of a target's space for results that is planned with:
	// sizes are approximate, and a piece without space costs only its way.
	roomShare = 0.97
	// minFill is the part of what waits, or of a full call, for which a target must
	// have space while results that it holds are about to be freed.
	minFill = 0.6
	// maxLife bounds how long results are believed to be held, in full calls: one for
	// the results to be made, and for the next stage to take them up.
	maxLife = 3
	// lifeWeight is the weight of a new measurement of how long results are held.
	lifeWeight = 0.1
	// pathWeight is the weight of a longer way than the shortest one seen.
	pathWeight = 0.05
	// maxPath bounds how much longer than the shortest a way is believed to be.
	maxPath = 60 * time.Millisecond
	// latencyWeight is the weight of a new measurement of a job's time.
	latencyWeight = 0.05
	// itemWeight is the weight of a call's error in the times of its pieces, and
	// minItem and maxItem bound them against what is announced.
	itemWeight = 0.3
	minItem    = 0.1
	maxItem    = 3.0
	// maxClasses bounds the classes that are told apart.
	maxClasses = 1024
	// recoverEvery is the time in which a slow target without calls is believed to
	// have become half as slow.
	recoverEvery = 2 * time.Second
	// awayWait is how long a MB of results waits for a target where it is wanted
	// rather than cross links, and maxAwayWait bounds that for large ones.
	awayWait    = 150 * time.Millisecond
	maxAwayWait = 320 * time.Millisecond
	// slowFrom is the ratio of measured to expected time from which on a target gets
	// work only when no faster one is free.
	slowFrom = 2.0
	// ratioWeight is the weight of a new measurement of that ratio.
	ratioWeight = 0.4
	// limitFactor and limitExtra bound a call: slow targets take several times as long.
	limitFactor = 2.2
	limitExtra  = 400 * time.Millisecond
	// absentPause, brokenPause and fullPause are how long a target gets no call after
	// it could not be reached, broke off, or was full through the calls of others.
	absentPause = time.Second
	brokenPause = 500 * time.Millisecond
	fullPause   = 120 * time.Millisecond
	// maxPause bounds the growing pause of a target that fails again and again.
	maxPause = 5 * time.Second
	// callLead is how long a call is on its way to a target and its answer back.
	callLead = 25 * time.Millisecond
	// roomPause is how long a target that had no space is taken for full.
	roomPause = 350 * time.Millisecond
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
	ratio   float64         // measured to expected time, without the way
	path    time.Duration   // the way to the target and back; negative: not known
	judged  time.Time       // when the ratio was last measured
	pause   time.Time
	pauses  int // in a row
	present bool
}

type held struct {
	bytes int64
	made  time.Time // when its call began
	until time.Time
}

// Queue holds the waiting jobs of one service. It isn't safe for concurrent use.
type Queue struct {
	spec     fleet.Batching
	jobs     []*entry
	byID     map[string]*entry
	engines  map[string]*engine
	orphans  []string // results of jobs that have ended otherwise
	phantoms int
	life     time.Duration      // mean time from the beginning of a call to the freeing of its results
	size     float64            // mean bytes of a result
	mean     float64            // mean factor on the time of a piece; 0: not known
	latency  time.Duration      // mean time from a job's coming to its results
	items    map[string]float64 // factor on the time of a piece, by class
}

// NewQueue returns an empty queue.
func NewQueue(spec fleet.Batching) *Queue {
	return &Queue{spec: spec, byID: map[string]*entry{}, engines: map[string]*engine{}, items: map[string]float64{}}
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
	for class, k := range counts {
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
	for _, e := range q.engines {
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

// Add takes a job. finish is called once.
func (q *Queue) Add(j Job, now time.Time, finish func(Result)) {
	e := &entry{job: j, added: now, due: now.Add(j.DueIn), until: now.Add(j.TimeLeft), finish: finish, handles: make([]string, j.Pieces)}
	for i := range j.Pieces {
		e.todo = append(e.todo, i)
	}
	q.jobs = append(q.jobs, e)
	q.byID[j.ID] = e
}

// capacity returns the pieces that the targets at hand take in one full call each.
func (q *Queue) capacity(now time.Time) float64 {
	return q.rate(now) * q.fullCall().Seconds()
}

func (q *Queue) hasTargets() bool {
	for _, e := range q.engines {
		if e.present {
			return true
		}
	}
	return false
}

// isOnTime reports whether a job can still be done before it is late.
func (q *Queue) isOnTime(e *entry, now time.Time) bool {
	return !now.Add(q.spec.Call + time.Duration(len(e.todo))*q.item(e.job.Class)).After(e.due)
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
			e = &engine{held: map[string]held{}, ratio: 1, path: -1}
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
	if e.finished {
		return
	}
	delete(q.byID, e.job.ID)
	e.todo = nil
	q.jobs = slices.DeleteFunc(q.jobs, func(o *entry) bool { return o == e })
	if r.Reason != ReasonNone {
		for _, h := range e.handles {
			if h != "" {
				q.orphans = append(q.orphans, h)
			}
		}
	}
	e.end(r)
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
func (q *Queue) Free(handles []string, now time.Time) map[string][]string {
	out := map[string][]string{}
	for _, h := range handles {
		for id, e := range q.engines {
			if r, ok := e.held[h]; ok {
				q.life += time.Duration(lifeWeight * float64(now.Sub(r.made)-q.life))
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

// place returns the data centre of the maker of a result; empty if it isn't known.
func (q *Queue) place(handle string) string {
	for _, e := range q.engines {
		if _, ok := e.held[handle]; ok {
			return e.target.DataCentre
		}
	}
	return ""
}

// adopt notes results that another home had made. A handle begins with the
// address of its maker.
func (q *Queue) adopt(handles []string, bytes int64, now time.Time) {
	for _, h := range handles {
		for _, e := range q.engines {
			if strings.HasPrefix(h, e.target.Address+"/") {
				e.held[h] = held{bytes: bytes, made: now, until: now.Add(q.spec.HoldFor)}
				e.bytes += bytes
				break
			}
		}
	}
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
	for _, e := range q.engines {
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
	for _, e := range q.engines {
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
	if short && e.bytes > 0 && float64(len(c.Pieces)) < minFill*float64(min(waiting, q.spec.Batch)) {
		q.takeBack(c)
		return nil
	}
	own := q.spec.Call
	for _, j := range c.entries {
		own += q.item(j.job.Class)
	}
	c.own = own
	c.Expected = own + max(e.path, 0)
	if n := len(e.calls); n > 0 {
		c.isQueued = true
		before := e.calls[n-1]
		c.Expected += max(before.started.Add(before.Expected).Sub(now), 0)
	}
	c.Limit = time.Duration(limitFactor*max(min(e.ratio, 3), 1)*float64(c.Expected)) + limitExtra
	e.calls = append(e.calls, c)
	e.bytes += c.bytes
	return c
}

// takeBack undoes the packing of a call.
func (q *Queue) takeBack(c *Call) {
	for i := len(c.entries) - 1; i >= 0; i-- {
		j := c.entries[i]
		j.pending--
		j.todo = append([]int{c.Pieces[i].Number}, j.todo...)
		if j.started.Equal(c.started) {
			j.started = time.Time{}
		}
	}
}

// dueAt ranks a job for a target: one whose results are wanted elsewhere goes
// behind.
func (q *Queue) dueAt(j *entry, e *engine) time.Time {
	if j.job.DataCentre == e.target.DataCentre {
		return j.due
	}
	return j.due.Add(crossing(j))
}

// crossing returns how long the results of a job wait rather than cross links.
func crossing(j *entry) time.Duration {
	bytes := j.job.ResultBytes * int64(j.job.Pieces)
	return min(time.Duration(float64(awayWait)*float64(bytes)/1e6), maxAwayWait)
}

// shouldWait reports whether a job is better left for a target where its results
// are wanted: one is free soon, and the job has the time.
func (q *Queue) shouldWait(j *entry, e *engine, now time.Time) bool {
	if j.job.DataCentre == e.target.DataCentre {
		return false
	}
	bears := crossing(j)
	if slack := j.due.Sub(now) - q.fullCall(); slack < bears {
		return false
	}
	engines, ahead := 0, 0
	soonest := time.Duration(1<<62 - 1)
	for _, o := range q.engines {
		if !o.present || now.Before(o.pause) || o.ratio > slowFrom || o.target.DataCentre != j.job.DataCentre {
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
		if o.job.DataCentre == j.job.DataCentre {
			ahead += len(o.todo)
		}
	}
	calls := ahead / (q.spec.Batch * engines)
	return soonest+time.Duration(calls)*q.fullCall() <= bears
}

func allows(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}

// Done takes the outcome of a call. made has an entry for each piece if failure
// is FailureNone.
func (q *Queue) Done(c *Call, made []Outcome, failure Failure, now time.Time) {
	e := q.engines[c.Target]
	if e != nil {
		e.calls = slices.DeleteFunc(e.calls, func(o *Call) bool { return o == c })
		e.bytes -= c.bytes
		q.judge(e, c, failure, now)
	}
	counted := map[*entry]bool{}
	for i, j := range c.entries {
		j.pending--
		m := Outcome{Reason: FaultError}
		if failure == FailureNone {
			m = made[i]
		}
		if m.Handle != "" && e != nil {
			e.held[m.Handle] = held{bytes: j.job.ResultBytes, made: c.started, until: now.Add(q.spec.HoldFor)}
			e.bytes += j.job.ResultBytes
			q.size += lifeWeight * (float64(j.job.ResultBytes) - q.size)
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

func (q *Queue) takePiece(j *entry, number int, m Outcome, failure Failure, e *engine, now time.Time) {
	switch {
	case m.Handle != "":
		j.handles[number] = m.Handle
		if len(j.todo) == 0 && j.pending == 0 {
			q.latency += time.Duration(latencyWeight * float64(now.Sub(j.added)-q.latency))
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
		// Results that this host doesn't know of take the space.
		if rest := int64(roomShare*float64(q.spec.RoomBytes)) - e.bytes; rest > 0 {
			q.phantoms++
			h := fmt.Sprintf("unknown %d", q.phantoms)
			e.held[h] = held{bytes: rest, made: now, until: now.Add(roomPause)}
			e.bytes += rest
		}
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
	switch failure {
	case FailureNone:
		if !c.isQueued {
			way := max(took-c.own, 0)
			if e.path < 0 || way < e.path {
				e.path = way
			} else if way < 2*e.path+maxPath {
				e.path += time.Duration(pathWeight * float64(way-e.path))
			}
			if e.ratio < slowFrom {
				q.learn(c, took-e.path)
			}
		}
		ratio := float64(took-max(e.path, 0)) / float64(c.Expected-max(e.path, 0))
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
