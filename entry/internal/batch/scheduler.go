package batch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"chivepost/entry/internal/place"
	"chivepost/share/fleet"
)

const (
	// wipFactor limits the pieces released to a service: this many full calls per
	// target, times the service's depth in the stage graph. One call runs, and part of
	// another waits.
	wipFactor = 1.1
	// onTimeMargin is the factor on the critical path of an order. The order can still
	// be on time if the product fits before its due time.
	onTimeMargin = 1.0
	// rankStep is added to the due time of an order for each rank of its route, among
	// orders of the same priority. It is the time of three stages, so that bursts delay
	// the less urgent routes unless their orders are due much earlier. maxRank limits
	// the ranks that count.
	rankStep = 1000 * time.Millisecond
	maxRank  = 5
	// estimateInterval is how often the critical paths of waiting orders are updated.
	estimateInterval = 50 * time.Millisecond
	// callOverhead is the time that a stage takes in addition to its call.
	callOverhead = 20 * time.Millisecond
	// retryJitter is the relative width of the jitter of retry times.
	retryJitter = 0.5
	// minRateShare is the share of a service's rate that an order can count on even if
	// more urgent arrivals seem to take all of it.
	minRateShare = 0.25
	// minRetry is the shortest time after which a refused caller may retry.
	minRetry = 200 * time.Millisecond
	// minPlacementBytes is the total size of results in a data centre from which on
	// the request should run there.
	minPlacementBytes = 1_000_000
	// prefixTokenBytes is how many bytes may be moved between data centres to save
	// one token of a cached prefix from being computed again. crossRegionBytes is the
	// cost of sending a request to another region, in the same unit.
	prefixTokenBytes = 2000
	crossRegionBytes = 2_000_000
	// sessionTTL is how long a prefix is expected to stay in a target's cache.
	// maxSessions limits the sessions that are kept.
	sessionTTL  = 8 * time.Second
	maxSessions = 20_000
	// noTargetRetry is the time after which a caller may retry if a service has no
	// target.
	noTargetRetry = 600 * time.Millisecond
	// tightCalls is the number of full calls for each stage below which the objective of a
	// route is tight: the one before it at a target, and its own. tightPeriod is how long
	// services count as tight after such an order, so that they don't change their way of
	// queueing between the orders of a rare route.
	tightCalls  = 2
	tightPeriod = 10 * time.Second
	// maxRuns limits how often the stages of an order run if results are lost.
	maxRuns = 2
)

// Scheduler admits orders, releases them to the queues of their stages while these
// keep up, and runs the stages of each in dependency order. Only waiting orders are
// refused or reordered, since no work has been spent on them yet. A Scheduler isn't
// safe for concurrent use.
type Scheduler struct {
	rand           *rand.Rand
	queues         map[string]*Queue
	waiting        []*order
	byID           map[string]*order
	committed      map[string]int                 // pieces released and not yet done, by service
	freed          map[string][]string            // handles, by service
	freedElsewhere map[string]map[string][]string // handles of results from previous homes, by service and target
	arrivals       map[string]*arrivalRates
	sessions       map[string]sessionUse
	depth          map[string]int         // greatest depth of a service in the stage graphs of orders, from 1
	remoteHomes    map[string]*remoteHome // by region
	board          *place.Board
	models         map[string][]place.Target // by service
	seq            int
	now            time.Time // time of the current event
	lastSubmit     time.Time // last order from a host
	plannedAt      time.Time // last plan of the home
	planScheduled  bool      // a timer for the next plan is set
	estimatedAt    time.Time // last update of the critical paths
}

// order is an Order with its scheduling state.
type order struct {
	Order
	due          time.Time // late after this
	until        time.Time // of no use after this
	added        time.Time
	criticalPath time.Duration   // time of its stages without queueing
	pathAfter    []time.Duration // critical path after each stage
	load         map[string]int  // pieces by service
	depth        map[string]int  // depth of a service in the stage graph, from 1
	state        []stageState
	stagesLeft   int // stages that aren't done
	releasedAt   time.Time
	waited       time.Duration
	runs         int
	isHeld       bool // nobody polls for it
	ended        bool
	isRestarting bool
	finish       func(Result)
}

// stageState is the state of one stage of an order.
type stageState struct {
	jobID       string // ID in its queue; empty: not started
	done        bool
	handles     []string
	partial     []string // handles of some pieces from the previous home; "" where missing
	committed   int      // pieces counted in Scheduler.committed
	readers     int      // stages that still need the results
	inputsFreed bool     // no longer counted as a reader of its inputs
	isInput     bool     // another stage reads the results
}

// NewScheduler returns an empty scheduler. random is the source of retry jitter.
func NewScheduler(random *rand.Rand) *Scheduler {
	return &Scheduler{
		rand: random, queues: map[string]*Queue{}, byID: map[string]*order{}, committed: map[string]int{},
		freed: map[string][]string{}, freedElsewhere: map[string]map[string][]string{}, arrivals: map[string]*arrivalRates{},
		sessions: map[string]sessionUse{}, depth: map[string]int{}, remoteHomes: map[string]*remoteHome{},
		board: place.New(), models: map[string][]place.Target{},
	}
}

// SetService sets the batching parameters and the targets of a stage service.
func (sc *Scheduler) SetService(name string, spec fleet.Batching, targets []Target) {
	q := sc.queues[name]
	if q == nil {
		q = NewQueue(spec)
		sc.queues[name] = q
	}
	q.SetSpec(spec)
	q.SetTargets(targets)
	sc.dropOutlived(name)
}

// Services returns the names of the services with a queue.
func (sc *Scheduler) Services() []string {
	out := make([]string, 0, len(sc.queues))
	for name := range sc.queues {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// Submit queues an order. It refuses an order that can't be done in time, and
// hands over one that another region would serve better. finish is called exactly
// once with the result.
func (sc *Scheduler) Submit(in Order, now time.Time, finish func(Result)) {
	sc.now = now
	if u, ok := sc.sessionTarget(in.Session); ok && allows(in.Regions, u.Region) && sc.hasTargetsIn(u.DataCentre) {
		// The request should run where its prefix is cached, so the results are needed there.
		in.DataCentre = u.DataCentre
	}
	o := &order{Order: in, added: now, due: now.Add(in.DueIn), until: now.Add(in.TimeLeft), finish: finish}
	if !in.isValid() || !o.prepare(sc.queues, now) {
		o.end(Result{Reason: ReasonFailed})
		return
	}
	ahead := sc.piecesAhead(o, now)
	after, ok := sc.admits(o, ahead, now)
	if region, isBetter := sc.betterRegion(o, sc.releaseDelay(o, ahead, now), ok, now); isBetter {
		o.end(Result{Reason: ReasonMoved, Region: region})
		return
	}
	if !ok {
		o.end(Result{Reason: ReasonBusy, RetryAfter: after})
		return
	}
	for service, n := range o.depth {
		sc.depth[service] = max(sc.depth[service], n)
	}
	sc.byID[o.ID] = o
	sc.waiting = append(sc.waiting, o)
}

// prepare sets up the state of an order from its stage graph. It returns false
// if a service isn't known.
func (o *order) prepare(queues map[string]*Queue, now time.Time) bool {
	n := len(o.Stages)
	o.state, o.pathAfter = make([]stageState, n), make([]time.Duration, n)
	o.load, o.depth = map[string]int{}, map[string]int{}
	depth := make([]int, n)
	for i, s := range o.Stages {
		if o.pieceCount(i) == 0 {
			continue
		}
		if queues[s.Service] == nil {
			return false
		}
		o.load[s.Service] += o.pieceCount(i)
	}
	for _, s := range o.Stages {
		for _, a := range s.After {
			o.state[a].isInput = true
			o.state[a].readers++
		}
	}
	// Stages may be listed in any order; as many passes as there are stages suffice.
	for range o.Stages {
		for i, s := range o.Stages {
			for _, a := range s.After {
				depth[i] = max(depth[i], depth[a]+1)
			}
		}
	}
	for i, s := range o.Stages {
		o.depth[s.Service] = max(o.depth[s.Service], depth[i]+1)
	}
	o.markTight(queues, now)
	o.estimate(queues, now)
	return true
}

func (o *order) pieceCount(i int) int {
	if i < len(o.Pieces) {
		return o.Pieces[i]
	}
	return 0
}

// end reports the result of an order once.
func (o *order) end(r Result) {
	if o.ended {
		return
	}
	o.ended = true
	r.IsDone, r.Wait, r.Runs = true, o.waited, o.runs
	o.finish(r)
}

// Plan releases waiting orders and returns the calls to make now, by service.
func (sc *Scheduler) Plan(now time.Time) map[string][]*Call {
	sc.now = now
	sc.expire(now)
	if now.Sub(sc.estimatedAt) > estimateInterval {
		sc.estimatedAt = now
		for _, o := range sc.waiting {
			o.estimate(sc.queues, now)
		}
		slices.SortStableFunc(sc.waiting, func(a, b *order) int { return compareOrders(a, b, now) })
		sc.reviewWaiting(now)
	}
	sc.releaseWaiting(now)
	var out map[string][]*Call
	for _, name := range sc.Services() {
		if calls := sc.queues[name].Plan(now); len(calls) > 0 {
			if out == nil {
				out = map[string][]*Call{}
			}
			out[name] = calls
		}
	}
	return out
}

// expire drops waiting orders and jobs that can no longer be done in time, and
// forgets ended orders whose results are of no more use.
func (sc *Scheduler) expire(now time.Time) {
	for _, o := range slices.Clone(sc.waiting) {
		if now.Add(o.criticalPath).After(o.until) {
			sc.drop(o, Result{Reason: ReasonLate})
		}
	}
	for id, o := range sc.byID {
		if o.ended && now.After(o.until.Add(sc.resultTTL(o))) {
			delete(sc.byID, id) // targets have expired the results by themselves
		}
	}
	for _, name := range sc.Services() {
		sc.queues[name].Expire(now)
		sc.free(name, sc.queues[name].TakeOrphans())
	}
}

// start releases an order and starts the stages that are ready.
func (sc *Scheduler) start(o *order, now time.Time) {
	o.releasedAt, o.stagesLeft = now, len(o.Stages)
	o.waited += now.Sub(o.added)
	o.runs++
	for i := range o.state {
		o.state[i].committed = o.pieceCount(i)
	}
	sc.resumeProgress(o)
	for i := range o.Stages {
		if o.state[i].jobID == "" && !o.state[i].done && !o.ended && sc.isReady(o, i) {
			sc.startStage(o, i, now)
		}
	}
}

// startStage adds the job of stage i to the queue of its service.
func (sc *Scheduler) startStage(o *order, i int, now time.Time) {
	s := o.Stages[i]
	if o.pieceCount(i) == 0 {
		sc.completeStage(o, i, nil, now)
		return
	}
	for _, a := range s.After {
		if len(o.state[a].handles) != o.pieceCount(a) {
			sc.handleStageResult(o, i, Result{Reason: ReasonGone}) // a piece must not run on part of its inputs
			return
		}
	}
	sc.seq++
	job := Job{
		ID: o.ID + "#" + strconv.Itoa(sc.seq), Request: o.Request, Class: o.Route + "/" + strconv.Itoa(i), Stage: i, Pieces: o.pieceCount(i), Priority: o.Priority, RankDelay: o.rankDelay(),
		DataCentre: o.DataCentre, Regions: o.Regions, ResultBytes: s.ResultBytes,
		Partial: o.state[i].partial, TimeLeft: o.until.Sub(now) - o.pathAfter[i], DueIn: o.due.Sub(now) - o.pathAfter[i],
	}
	if len(s.After) == 0 {
		job.Key = o.Key
	}
	for _, a := range s.After {
		job.Inputs = append(job.Inputs, o.state[a].handles...)
		for _, h := range o.state[a].handles {
			if job.InputBytes == nil {
				job.InputBytes = map[string]int64{}
			}
			job.InputBytes[sc.queues[o.Stages[a].Service].dataCentreOf(h)] += o.Stages[a].ResultBytes
		}
	}
	for k, later := range o.Stages {
		if slices.Contains(later.After, i) {
			job.Readers += o.pieceCount(k)
		}
	}
	o.state[i].jobID = job.ID
	sc.queues[s.Service].Add(job, now, func() bool { return sc.freeInputsIfShort(o, i) }, func(r Result) { sc.handleStageResult(o, i, r) })
}

// handleStageResult completes the stage, restarts the order if inputs were lost, or
// drops it.
func (sc *Scheduler) handleStageResult(o *order, i int, r Result) {
	if o.ended || o.isRestarting { // other stages of an order that restarts are dropped
		return
	}
	now := sc.now
	o.waited += r.Wait
	if r.Reason == ReasonNone {
		sc.completeStage(o, i, r.Handles, now)
		return
	}
	if o.isHeld {
		o.end(r)
		sc.Release(o.ID) // the results may be another home's
		return
	}
	if r.Reason == ReasonGone && o.runs < maxRuns && now.Add(o.criticalPath).Before(o.until) {
		sc.restart(o)
		return
	}
	sc.drop(o, r)
}

// restart returns an order whose results were lost to the waiting orders.
func (sc *Scheduler) restart(o *order) {
	o.isRestarting = true
	sc.dropWork(o)
	o.isRestarting = false
	for i := range o.state {
		isInput := o.state[i].isInput
		o.state[i] = stageState{isInput: isInput}
	}
	for _, s := range o.Stages {
		for _, a := range s.After {
			o.state[a].readers++
		}
	}
	sc.waiting = append(sc.waiting, o)
}

// completeStage records the results of stage i and starts the stages that are now
// ready.
func (sc *Scheduler) completeStage(o *order, i int, handles []string, now time.Time) {
	st := &o.state[i]
	st.done, st.handles = true, handles
	sc.committed[o.Stages[i].Service] -= st.committed
	st.committed = 0
	o.stagesLeft--
	if !o.isHeld {
		sc.freeInputs(o, i)
	}
	if sc.endIfDone(o) || o.isHeld {
		return
	}
	for k, s := range o.Stages {
		if o.state[k].jobID == "" && !o.state[k].done && slices.Contains(s.After, i) && sc.isReady(o, k) {
			sc.startStage(o, k, now)
		}
	}
}

// endIfDone ends an order whose stages are all done and reports whether it did.
func (sc *Scheduler) endIfDone(o *order) bool {
	if o.stagesLeft > 0 {
		return false
	}
	var out []string
	for k := range o.state {
		if !o.state[k].isInput {
			out = append(out, o.state[k].handles...)
		}
	}
	r := Result{Handles: out}
	r.DataCentre, r.PrefixTarget, r.IsPlaced = sc.placeRequest(o)
	o.end(r)
	return true
}

// isReady reports whether all inputs of stage k are done.
func (sc *Scheduler) isReady(o *order, k int) bool {
	for _, a := range o.Stages[k].After {
		if !o.state[a].done {
			return false
		}
	}
	return true
}

// drop ends an order without results.
func (sc *Scheduler) drop(o *order, r Result) {
	sc.waiting = slices.DeleteFunc(sc.waiting, func(w *order) bool { return w == o })
	o.end(r)
	sc.dropWork(o)
	delete(sc.byID, o.ID)
}

// dropWork removes the jobs of an order from the queues and frees its results.
func (sc *Scheduler) dropWork(o *order) {
	for i := range o.state {
		st := &o.state[i]
		service := o.Stages[i].Service
		sc.committed[service] -= st.committed
		st.committed = 0
		if st.jobID != "" && !st.done {
			sc.queues[service].Drop(st.jobID)
		}
		sc.free(service, st.handles)
		st.handles = nil
	}
}

// Drop ends an order whose caller has left, or frees the results of one that is
// done. It reports whether the order was known.
func (sc *Scheduler) Drop(id string) bool {
	sc.board.Done(id)
	o := sc.byID[id]
	if o != nil {
		sc.drop(o, Result{Reason: ReasonDropped})
	}
	return o != nil
}

// Release ends an order with which another home goes on. Its results stay for that home, which
// reads and frees them; those of pieces that are being made now are freed when they are done.
func (sc *Scheduler) Release(id string) {
	sc.board.Done(id)
	o := sc.byID[id]
	if o == nil {
		return
	}
	o.end(Result{Reason: ReasonDropped})
	for i := range o.state {
		st := &o.state[i]
		st.handles = nil
		if st.jobID != "" && !st.done {
			sc.queues[o.Stages[i].Service].Release(st.jobID)
		}
	}
	sc.drop(o, Result{Reason: ReasonDropped})
}

// Target returns a target of a service by its ID.
func (sc *Scheduler) Target(service, id string) (Target, bool) {
	q := sc.queues[service]
	if q == nil {
		return Target{}, false
	}
	return q.Target(id)
}

// CompleteCall passes the outcome of a call to the queue of its service.
func (sc *Scheduler) CompleteCall(service string, c *Call, outcomes []Outcome, failure Failure, now time.Time) {
	sc.now = now
	if q := sc.queues[service]; q != nil {
		q.CompleteCall(c, outcomes, failure, now)
		sc.dropOutlived(service)
	}
}

// Waiting returns the number of orders that aren't released yet.
func (sc *Scheduler) Waiting() int { return len(sc.waiting) }

// Queued returns the number of pieces that wait in the queue of a service.
func (sc *Scheduler) Queued(service string) int {
	if q := sc.queues[service]; q != nil {
		return q.Len()
	}
	return 0
}

// targetSummary describes the load of a target, for the log.
func (sc *Scheduler) targetSummary(service, target string) string {
	q := sc.queues[service]
	if q == nil || q.targets[target] == nil {
		return ""
	}
	ts := q.targets[target]
	return fmt.Sprintf("%d results, %d of %d bytes, %d calls, slowdown %.2f", len(ts.results), ts.bytes, q.spec.ResultSpaceBytes, len(ts.calls), ts.slowdown)
}
