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
	// maxFailures is the number of failed calls and pieces after which a job fails.
	maxFailures = 4
	// usableSpaceShare is the share of a target's result space that calls may fill. It
	// is close to 1 although sizes are approximate, since a piece that finds no space
	// costs only its round trip.
	usableSpaceShare = 0.97
	// minFill is the share of the waiting pieces, or of a full call, that a call must
	// reach if a target's space limits it. A smaller one waits, since results that the
	// target holds are about to be freed.
	minFill = 0.6
	// maxHoldCalls limits the estimated hold time of results, in full calls. The hold
	// time includes the call that returns the results and the start of the next stage.
	maxHoldCalls = 3
	// resultWeight is the weight of a new result in the mean hold time and size.
	resultWeight = 0.1
	// roundTripWeight is the weight of a round trip longer than the shortest one seen.
	roundTripWeight = 0.05
	// maxRoundTrip limits the first measurement of a round trip. Later ones that
	// exceed twice the known round trip by more than this are ignored.
	maxRoundTrip = 60 * time.Millisecond
	// meanWeight is the weight of a new measurement in the mean time of a job and the
	// mean factor of a piece.
	meanWeight = 0.05
	// itemWeight is the weight of a call's estimation error in the factors on the
	// configured time of its pieces. minItemFactor and maxItemFactor limit these factors.
	itemWeight    = 0.3
	minItemFactor = 0.1
	maxItemFactor = 3.0
	// maxClasses limits the classes that have a factor of their own.
	maxClasses = 1024
	// recoverInterval is the time after which the slowdown of an idle slow target is
	// halved.
	recoverInterval = 2 * time.Second
	// remoteWaitPerMB is how long a job waits for a target in its best data centre, for
	// each MB that another one would move between data centres. maxRemoteWait limits
	// the wait.
	remoteWaitPerMB = 150 * time.Millisecond
	maxRemoteWait   = 320 * time.Millisecond
	// slowThreshold is the slowdown above which a target gets calls only when no faster
	// one is free.
	slowThreshold = 2.0
	// slowdownWeight is the weight of a new measurement of the slowdown.
	slowdownWeight = 0.4
	// timeoutFactor and timeoutExtra set the timeout of a call from its expected time.
	// Slow targets take several times as long.
	timeoutFactor = 2.2
	timeoutExtra  = 400 * time.Millisecond
	// unreachablePause, brokenPause and fullPause are how long a target gets no calls after
	// it was unreachable or timed out, broke off a call, or was full of calls of other
	// hosts.
	unreachablePause = time.Second
	brokenPause      = 500 * time.Millisecond
	fullPause        = 120 * time.Millisecond
	// maxPause limits the pause of a target, which doubles with each failure in a row.
	maxPause = 5 * time.Second
	// callLead is the time for a call to reach a target and for the answer to return.
	callLead = 25 * time.Millisecond
	// fetchTime is how long a target takes to fetch the inputs of a call that it has
	// started, in addition to the round trip: about 20 MB over shared 10 Gbit/s links.
	fetchTime = 80 * time.Millisecond
	// tightSpaceShare is the share of a target's space above which pieces of a call
	// may find no space.
	tightSpaceShare = 0.85
	// shortSpaceShare is the share of the space of all targets above which results are
	// freed as soon as they have been read.
	shortSpaceShare = 0.3
	// noSpacePause is how long a target that had no space is assumed to stay full.
	noSpacePause = 350 * time.Millisecond
)

// Target is a stage target that may get calls.
type Target struct {
	ID         string
	Address    string
	DataCentre string
	Region     string
	// StartMillis distinguishes the incarnations of the target.
	StartMillis int64
	// BusyUntil is until when the target wants no calls; zero: it takes them.
	BusyUntil time.Time
}

// targetState is the state of a target: its calls, the results that it holds, and
// how fast and reachable it is.
type targetState struct {
	target      Target
	calls       []*Call
	results     map[string]heldResult // by handle
	bytes       int64                 // of the results held and of those of calls in progress
	slowdown    float64               // measured to expected time, without the round trip
	roundTrip   time.Duration         // time of a call besides its work; negative: not known
	measuredAt  time.Time             // last measurement of the slowdown
	pausedUntil time.Time             // no calls before this
	pauseCount  int                   // pauses in a row
	present     bool                  // listed by the last SetTargets
	repeatedAt  time.Time             // when it was last seen to repeat handles
}

// heldResult is a result that a target holds.
type heldResult struct {
	bytes       int64
	callStarted time.Time // start of the call that returned it
	expires     time.Time
}

// Queue packs the pieces of the jobs of one service into calls to its targets. It
// isn't safe for concurrent use.
type Queue struct {
	spec          fleet.Batching
	jobs          []*queuedJob
	byID          map[string]*queuedJob
	targets       map[string]*targetState
	sortedTargets []*targetState     // targets by ID, so that equal loads give equal decisions
	orphans       []string           // results of jobs that ended without success
	placeholders  int                // number of placeholders for unknown results so far
	holdTime      time.Duration      // mean time from the start of a call to the freeing of its results
	resultSize    float64            // mean bytes of a result
	meanFactor    float64            // mean factor on the time of a piece; 0: not known
	jobTime       time.Duration      // mean time from adding a job to its results
	itemFactors   map[string]float64 // factor on the time of a piece, by class
	callTime      time.Duration      // mean time of a call that finds its target free; 0: not known
	tightUntil    time.Time          // until then, orders count as tight
	wasTight      bool               // as last logged
	waiting       map[urgency]int    // waiting pieces by the urgency of their jobs, at waitingAt
	waitingAt     time.Time
	starts        map[string]int64 // newest known start at each address of a target
	outlived      outlived         // results lost and not yet returned by takeOutlived
}

// NewQueue returns an empty queue.
func NewQueue(spec fleet.Batching) *Queue {
	return &Queue{spec: spec, byID: map[string]*queuedJob{}, targets: map[string]*targetState{}, itemFactors: map[string]float64{}}
}

// SetSpec sets the batching parameters of the service.
func (q *Queue) SetSpec(spec fleet.Batching) { q.spec = spec }

// Len returns the number of pieces that wait.
func (q *Queue) Len() int {
	n := 0
	for _, j := range q.jobs {
		n += len(j.todo)
	}
	return n
}

// Add queues a job. finish is called exactly once. onFetched may be called before
// it, when the targets have fetched all inputs; it reports whether it frees them.
func (q *Queue) Add(job Job, now time.Time, onFetched func() bool, finish func(Result)) {
	j := &queuedJob{
		job: job, added: now, due: now.Add(job.DueIn), until: now.Add(job.TimeLeft), handles: make([]string, job.Pieces),
		onFetched: onFetched, finish: finish,
	}
	for i := range job.Pieces {
		if i < len(job.Partial) && job.Partial[i] != "" {
			j.handles[i] = job.Partial[i]
			continue
		}
		j.todo = append(j.todo, i)
	}
	q.jobs = append(q.jobs, j)
	q.byID[job.ID] = j
}

func (q *Queue) hasTargets() bool {
	for _, ts := range q.sortedTargets {
		if ts.present {
			return true
		}
	}
	return false
}

// isOnTime reports whether a job can still be done before it is late.
func (q *Queue) isOnTime(j *queuedJob, now time.Time) bool {
	return !now.Add(q.spec.CallOverhead + time.Duration(len(j.todo))*q.itemTime(j.job.Class)).After(j.due)
}

// rankedDue returns the due time of a job plus its rank delay.
func (j *queuedJob) rankedDue() time.Time { return j.due.Add(j.job.RankDelay) }

// compare sorts jobs that can still be on time first, then by priority, then by
// due time plus rank delay.
func (q *Queue) compare(a, b *queuedJob, now time.Time) int {
	x, y := q.isOnTime(a, now), q.isOnTime(b, now)
	if x != y {
		if x {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.job.Priority, b.job.Priority), a.rankedDue().Compare(b.rankedDue()))
}

// SetTargets sets the targets that may get calls. A target that is no longer listed
// is forgotten once its calls have ended.
func (q *Queue) SetTargets(targets []Target) {
	for _, ts := range q.targets {
		ts.present = false
	}
	hasChanged := false
	for _, t := range targets {
		ts := q.targets[t.ID]
		if ts == nil {
			ts = &targetState{results: map[string]heldResult{}, slowdown: 1, roundTrip: -1, target: t}
			q.targets[t.ID] = ts
			q.forgetResults(ts, t.StartMillis)
			hasChanged = true
		}
		if ts.target.StartMillis != t.StartMillis {
			ts.pausedUntil, ts.pauseCount = time.Time{}, 0 // that was another process
			q.forgetResults(ts, t.StartMillis)
			hasChanged = true
		}
		ts.target, ts.present = t, true
		ts.pausedUntil = later(ts.pausedUntil, t.BusyUntil)
	}
	for id, ts := range q.targets {
		if !ts.present && len(ts.calls) == 0 {
			delete(q.targets, id)
			hasChanged = true
		}
	}
	if hasChanged {
		q.starts = make(map[string]int64, len(q.targets))
		for _, ts := range q.targets {
			q.starts[ts.target.Address] = max(ts.target.StartMillis, q.starts[ts.target.Address])
		}
	}
	if len(q.sortedTargets) != len(q.targets) || slices.ContainsFunc(q.sortedTargets, func(ts *targetState) bool { return q.targets[ts.target.ID] != ts }) {
		q.sortedTargets = slices.SortedFunc(maps.Values(q.targets), func(a, b *targetState) int { return cmp.Compare(a.target.ID, b.target.ID) })
	}
}

// Drop removes a job whose caller has left.
func (q *Queue) Drop(id string) {
	if j := q.byID[id]; j != nil {
		q.finish(j, Result{Reason: ReasonDropped})
	}
}

// Release removes a job with which another home goes on. The results that it has are that
// home's.
func (q *Queue) Release(id string) {
	if j := q.byID[id]; j != nil {
		j.handles = nil
		q.finish(j, Result{Reason: ReasonDropped})
	}
}

// finish removes a job and reports its result. Results of a job without success
// become orphans.
func (q *Queue) finish(j *queuedJob, r Result) {
	if j.finished {
		return
	}
	delete(q.byID, j.job.ID)
	j.todo, j.held = nil, nil
	q.jobs = slices.DeleteFunc(q.jobs, func(o *queuedJob) bool { return o == j })
	if r.Reason != ReasonNone {
		for _, h := range j.handles {
			if h != "" {
				q.orphans = append(q.orphans, h)
			}
		}
	}
	j.end(r)
}

// Expire ends jobs that can no longer be done in time and forgets results that
// their targets have expired.
func (q *Queue) Expire(now time.Time) {
	for _, j := range slices.Clone(q.jobs) {
		if j.left() > 0 && now.Add(q.spec.CallOverhead).After(j.until) || now.After(j.until) {
			q.finish(j, Result{Reason: ReasonLate})
		}
	}
	for _, ts := range q.sortedTargets {
		for h, r := range ts.results {
			if now.After(r.expires) {
				ts.bytes -= r.bytes
				delete(ts.results, h)
			}
		}
	}
}

// Free removes results and returns their handles by target.
func (q *Queue) Free(handles []string, now time.Time) map[string][]string {
	out := map[string][]string{}
	for _, h := range handles {
		for id, ts := range q.targets {
			if r, ok := ts.results[h]; ok {
				q.holdTime += time.Duration(resultWeight * float64(now.Sub(r.callStarted)-q.holdTime))
				ts.bytes -= r.bytes
				delete(ts.results, h)
				out[id] = append(out[id], h)
				break
			}
		}
	}
	return out
}

// TakeOrphans returns and forgets the results that no stage will read.
func (q *Queue) TakeOrphans() []string {
	out := q.orphans
	q.orphans = nil
	return out
}

// dataCentreOf returns the data centre of the target that holds a result, or "".
func (q *Queue) dataCentreOf(handle string) string {
	for _, ts := range q.sortedTargets {
		if _, ok := ts.results[handle]; ok {
			return ts.target.DataCentre
		}
	}
	return ""
}

// groupByTarget groups handles by target. A handle begins with the address of the
// target that holds the result.
func (q *Queue) groupByTarget(handles []string) map[string][]string {
	out := map[string][]string{}
	for _, h := range handles {
		for id, ts := range q.targets {
			if strings.HasPrefix(h, ts.target.Address+"/") {
				out[id] = append(out[id], h)
				break
			}
		}
	}
	return out
}

// adopt adds results of jobs that a previous home ran.
func (q *Queue) adopt(handles []string, bytes int64, now time.Time) {
	for id, list := range q.groupByTarget(handles) {
		ts := q.targets[id]
		for _, h := range list {
			ts.bytes += bytes - ts.results[h].bytes
			ts.results[h] = heldResult{bytes: bytes, callStarted: now, expires: now.Add(q.spec.ResultTTL)}
		}
	}
}

// partialResults returns the handles of a running job, "" where missing, or nil if
// it has none.
func (q *Queue) partialResults(id string) []string {
	j := q.byID[id]
	if j == nil || j.left()+j.pending == j.job.Pieces {
		return nil
	}
	return slices.Clone(j.handles)
}

// Target returns a target by its ID.
func (q *Queue) Target(id string) (Target, bool) {
	ts := q.targets[id]
	if ts == nil {
		return Target{}, false
	}
	return ts.target, true
}

// CompleteCall records the outcome of a call. outcomes has an entry for each piece
// if failure is FailureNone.
func (q *Queue) CompleteCall(c *Call, outcomes []Outcome, failure Failure, now time.Time) {
	ts := q.targets[c.Target]
	if ts != nil {
		ts.calls = slices.DeleteFunc(ts.calls, func(o *Call) bool { return o == c })
		ts.bytes -= c.resultBytes
		failure = q.checkStart(ts, c, outcomes, failure, now)
		if failure != failureOutlived { // that says nothing of the start that is known
			q.observeCall(ts, c, failure, now)
		}
		for _, o := range ts.calls[:min(len(ts.calls), max(q.spec.Slots, 1))] {
			if o.runningSince.IsZero() {
				o.runningSince = now
			}
		}
	}
	counted := map[*queuedJob]bool{}
	for i, j := range c.jobs {
		j.pending--
		out := Outcome{Fault: FaultError}
		if failure == FailureNone {
			out = outcomes[i]
		}
		if out.Handle != "" && ts != nil {
			ts.bytes += j.job.ResultBytes - ts.results[out.Handle].bytes // a target may return the same handle twice
			ts.results[out.Handle] = heldResult{bytes: j.job.ResultBytes, callStarted: c.started, expires: now.Add(q.spec.ResultTTL)}
			q.resultSize += resultWeight * (float64(j.job.ResultBytes) - q.resultSize)
		}
		if j.finished {
			if out.Handle != "" {
				q.orphans = append(q.orphans, out.Handle)
			}
			continue
		}
		if failure != FailureNone && failure != FailureRefused && failure != failureOutlived && !counted[j] {
			counted[j] = true
			j.failures++
		}
		if c.inputsFetched && out.Handle == "" {
			j.fetched--
		}
		q.completePiece(j, c.Pieces[i].Number, out, failure, ts, now)
	}
}

// completePiece records the outcome of a piece, and queues it again if it failed
// and may be retried.
func (q *Queue) completePiece(j *queuedJob, number int, out Outcome, failure Failure, ts *targetState, now time.Time) {
	switch {
	case out.Handle != "":
		j.handles[number] = out.Handle
		if j.left() == 0 && j.pending == 0 {
			q.jobTime += time.Duration(meanWeight * float64(now.Sub(j.added)-q.jobTime))
			q.finish(j, Result{Handles: j.handles})
		}
		return
	case out.Fault == FaultGone:
		q.finish(j, Result{Reason: ReasonGone})
		return
	case out.Fault == FaultLate:
		q.finish(j, Result{Reason: ReasonLate})
		return
	case out.Fault == FaultNoSpace && ts != nil:
		// Results unknown to this host use the space. A placeholder keeps results of this
		// size away for a while; smaller ones may still fit.
		if unknown := int64(usableSpaceShare*float64(q.spec.ResultSpaceBytes)) - ts.bytes - j.job.ResultBytes + 1; unknown > 0 {
			q.placeholders++
			h := fmt.Sprintf("unknown %d", q.placeholders)
			ts.results[h] = heldResult{bytes: unknown, callStarted: now, expires: now.Add(noSpacePause)}
			ts.bytes += unknown
		}
	case failure == FailureNone:
		j.failures++
	}
	if j.failures >= maxFailures {
		q.finish(j, Result{Reason: ReasonFailed})
		return
	}
	if j.inputsFreed {
		q.finish(j, Result{Reason: ReasonGone}) // the inputs are freed, so the piece can't be retried
		return
	}
	if j.isHeld {
		j.held = append(j.held, number)
		return
	}
	j.todo = append(j.todo, number)
}
