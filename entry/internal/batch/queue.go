package batch

import (
	"cmp"
	"fmt"
	"maps"
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
	// readTime is how long a target takes to fetch the inputs of a call whose turn has
	// come, besides the way: some 20 MB over links of 10 Gbit/s that others use too.
	readTime = 80 * time.Millisecond
	// tightShare is the part of a target's space from which on pieces may find none.
	tightShare = 0.85
	// shortShare is the part of the space of all targets from which on results are
	// given up as soon as they have been read.
	shortShare = 0.3
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
	list     []*engine // the same by id, so that equal loads give equal decisions
	orphans  []string  // results of jobs that have ended otherwise
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

// Add takes a job. finish is called once, and onFetched before it once the targets
// have all inputs; it returns whether they are given up.
func (q *Queue) Add(j Job, now time.Time, onFetched func() bool, finish func(Result)) {
	e := &entry{
		job: j, added: now, due: now.Add(j.DueIn), until: now.Add(j.TimeLeft), handles: make([]string, j.Pieces),
		onFetched: onFetched, finish: finish,
	}
	for i := range j.Pieces {
		if i < len(j.Partial) && j.Partial[i] != "" {
			e.handles[i] = j.Partial[i]
			continue
		}
		e.todo = append(e.todo, i)
	}
	q.jobs = append(q.jobs, e)
	q.byID[j.ID] = e
}

func (q *Queue) hasTargets() bool {
	for _, e := range q.list {
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

// ranked is the time by which a job is ordered.
func (j *entry) ranked() time.Time { return j.due.Add(j.job.RankDelay) }

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
	return cmp.Or(cmp.Compare(a.job.Priority, b.job.Priority), a.ranked().Compare(b.ranked()))
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
	if len(q.list) != len(q.engines) || slices.ContainsFunc(q.list, func(e *engine) bool { return q.engines[e.target.ID] != e }) {
		q.list = slices.SortedFunc(maps.Values(q.engines), func(a, b *engine) int { return cmp.Compare(a.target.ID, b.target.ID) })
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
	for _, e := range q.list {
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

// TakeOrphans returns the results that nobody will use, once.
func (q *Queue) TakeOrphans() []string {
	out := q.orphans
	q.orphans = nil
	return out
}

// place returns the data centre of the maker of a result; empty if it isn't known.
func (q *Queue) place(handle string) string {
	for _, e := range q.list {
		if _, ok := e.held[handle]; ok {
			return e.target.DataCentre
		}
	}
	return ""
}

// makers returns results by the target that has made them. A handle begins with
// the address of its maker.
func (q *Queue) makers(handles []string) map[string][]string {
	out := map[string][]string{}
	for _, h := range handles {
		for id, e := range q.engines {
			if strings.HasPrefix(h, e.target.Address+"/") {
				out[id] = append(out[id], h)
				break
			}
		}
	}
	return out
}

// adopt notes results that another home had made.
func (q *Queue) adopt(handles []string, bytes int64, now time.Time) {
	for id, list := range q.makers(handles) {
		e := q.engines[id]
		for _, h := range list {
			e.bytes += bytes - e.held[h].bytes
			e.held[h] = held{bytes: bytes, made: now, until: now.Add(q.spec.HoldFor)}
		}
	}
}

// part returns the results that there are of a job under way; empty ones are
// missing.
func (q *Queue) part(id string) []string {
	e := q.byID[id]
	if e == nil || len(e.todo)+e.pending == e.job.Pieces {
		return nil
	}
	return slices.Clone(e.handles)
}

// TargetAddress returns where a target is.
func (q *Queue) TargetAddress(id string) (string, bool) {
	e := q.engines[id]
	if e == nil {
		return "", false
	}
	return e.target.Address, true
}

// CompleteCall takes the outcome of a call. made has an entry for each piece if failure
// is FailureNone.
func (q *Queue) CompleteCall(c *Call, made []Outcome, failure Failure, now time.Time) {
	e := q.engines[c.Target]
	if e != nil {
		e.calls = slices.DeleteFunc(e.calls, func(o *Call) bool { return o == c })
		e.bytes -= c.bytes
		q.judge(e, c, failure, now)
		for _, o := range e.calls[:min(len(e.calls), max(q.spec.Slots, 1))] {
			if o.turn.IsZero() {
				o.turn = now
			}
		}
	}
	counted := map[*entry]bool{}
	for i, j := range c.entries {
		j.pending--
		m := Outcome{Fault: FaultError}
		if failure == FailureNone {
			m = made[i]
		}
		if m.Handle != "" && e != nil {
			e.bytes += j.job.ResultBytes - e.held[m.Handle].bytes // a target may name two results alike
			e.held[m.Handle] = held{bytes: j.job.ResultBytes, made: c.started, until: now.Add(q.spec.HoldFor)}
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
		if c.hasFetched && m.Handle == "" {
			j.fetched--
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
	case m.Fault == FaultGone:
		q.finish(j, Result{Reason: ReasonGone})
		return
	case m.Fault == FaultLate:
		q.finish(j, Result{Reason: ReasonLate})
		return
	case m.Fault == FaultNoSpace && e != nil:
		// Results that this host doesn't know of take the space; smaller ones may fit.
		if rest := int64(roomShare*float64(q.spec.RoomBytes)) - e.bytes - j.job.ResultBytes + 1; rest > 0 {
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
	if j.isFreed {
		q.finish(j, Result{Reason: ReasonGone}) // what it would be made from was given up
		return
	}
	j.todo = append(j.todo, number)
}
