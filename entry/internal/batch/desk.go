package batch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"chivepost/share/fleet"
)

const (
	// wipFactor bounds the work released to the stages: this many full calls for each
	// target and stage of the chain. One is at work, and part of one waits.
	wipFactor = 1.1
	// onTimeMargin is the factor on the time of a chain of stages within which it is
	// taken for one that can still be on time.
	onTimeMargin = 1.0
	// rankStep is how much later an order ranks for each step that its route is less
	// urgent, where accounts have the same priority: three stages' time, so that bursts
	// are borne by the less urgent unless these are due long before. maxRank bounds the
	// steps.
	rankStep = 1000 * time.Millisecond
	maxRank  = 5
	// estimateEvery is how often the chains of waiting orders are estimated anew.
	estimateEvery = 50 * time.Millisecond
	// transit is what a stage takes besides its call.
	transit = 20 * time.Millisecond
	// busySpread spreads the time after which refused callers return.
	busySpread = 0.5
	// minRate is the part of a service that a request counts on where more urgent
	// ones seem to take all of it.
	minRate = 0.25
	// minRetry is the shortest time after which a refused caller may return.
	minRetry = 200 * time.Millisecond
	// nearBytes is the size from which on results are worth following.
	nearBytes = 1_000_000
	// tokenBytes is what moving may cost, in bytes between data centres, rather than
	// reading a token again; regionBytes is what sending a request to another region
	// costs in the same measure.
	tokenBytes  = 2000
	regionBytes = 2_000_000
	// sessionTime is how long the start of a prompt is expected to stay in a target's
	// cache, and maxSessions bounds the sessions that are kept.
	sessionTime = 8 * time.Second
	maxSessions = 20_000
	// absentRetry is the time after which a caller may return where a service has no
	// target.
	absentRetry = 600 * time.Millisecond
	// maxRuns is how often the stages of an order run if results are lost.
	maxRuns = 2
)

// Scheduler takes whole orders, releases them to the queues of their stages as far as
// these keep up, and carries each through its stages. Waiting orders have cost
// nothing yet, so the desk refuses and reorders among them only. It isn't safe
// for concurrent use.
type Scheduler struct {
	rand       *rand.Rand
	queues     map[string]*Queue
	waiting    []*order
	byID       map[string]*order
	committed  map[string]int // pieces released and not yet made, by service
	frees      map[string][]string
	released   map[string]map[string][]string // results of other homes, by service and target
	coming     map[string]*arrivals
	sessions   map[string]lastUse
	depth      map[string]int        // place of a service in the chains of orders, from 1
	neighbours map[string]*neighbour // by region
	seq        int
	now        time.Time // of the step under way
	used       time.Time // when it last got an order
	estimated  time.Time // when waiting orders were last estimated
}

// order is an Order on its way.
type order struct {
	Order
	due     time.Time
	until   time.Time
	added   time.Time
	chain   time.Duration   // what its stages take without waiting
	tails   []time.Duration // what follows each stage
	load    map[string]int  // pieces by service
	depth   map[string]int  // place of a service in the chain, from 1
	state   []stageState
	left    int // stages under way or to come
	release time.Time
	wait    time.Duration
	runs    int
	ended   bool
	finish  func(Result)
}

type stageState struct {
	job     string // id in its queue; empty: not begun
	done    bool
	handles []string
	part    []string // results of some pieces, from a home before; empty ones are missing
	missing int      // pieces still counted as committed
	users   int      // stages that still need the results
	hasRead bool     // the results before it are of no more use to it
	isUsed  bool
}

// NewScheduler returns an empty desk. random spreads the return of refused callers.
func NewScheduler(random *rand.Rand) *Scheduler {
	return &Scheduler{
		rand: random, queues: map[string]*Queue{}, byID: map[string]*order{}, committed: map[string]int{},
		frees: map[string][]string{}, released: map[string]map[string][]string{}, coming: map[string]*arrivals{},
		sessions: map[string]lastUse{}, depth: map[string]int{}, neighbours: map[string]*neighbour{},
	}
}

// SetService tells the desk a stage service's figures and targets.
func (d *Scheduler) SetService(name string, spec fleet.Batching, targets []Target) {
	q := d.queues[name]
	if q == nil {
		q = NewQueue(spec)
		d.queues[name] = q
	}
	q.SetSpec(spec)
	q.SetTargets(targets)
}

// Services returns the names of the services with a queue.
func (d *Scheduler) Services() []string {
	out := make([]string, 0, len(d.queues))
	for name := range d.queues {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// Submit takes an order, or refuses it at once if it can't be done in time.
// finish is called once.
func (d *Scheduler) Submit(in Order, now time.Time, finish func(Result)) {
	d.now = now
	if u, ok := d.session(in.Session); ok && allows(in.Regions, u.Region) && d.hasTargetsAt(u.DataCentre) {
		// Results are wanted where the start of the prompt is.
		in.DataCentre = u.DataCentre
	}
	o := &order{Order: in, added: now, due: now.Add(in.DueIn), until: now.Add(in.TimeLeft), finish: finish}
	if !o.prepare(d.queues) {
		o.end(Result{Reason: ReasonFailed})
		return
	}
	ahead := d.ahead(o, now)
	after, ok := d.admits(o, ahead, now)
	if region, isBetter := d.elsewhere(o, d.releaseIn(o, ahead, now), ok, now); isBetter {
		o.end(Result{Reason: ReasonMoved, Region: region})
		return
	}
	if !ok {
		o.end(Result{Reason: ReasonBusy, RetryAfter: after})
		return
	}
	for service, n := range o.depth {
		d.depth[service] = max(d.depth[service], n)
	}
	d.byID[o.ID] = o
	d.waiting = append(d.waiting, o)
}

// prepare works out the shape of an order; false if a service isn't known.
func (o *order) prepare(queues map[string]*Queue) bool {
	n := len(o.Stages)
	o.state, o.tails = make([]stageState, n), make([]time.Duration, n)
	o.load, o.depth = map[string]int{}, map[string]int{}
	depth := make([]int, n)
	for i, s := range o.Stages {
		if o.pieces(i) == 0 {
			continue
		}
		if queues[s.Service] == nil {
			return false
		}
		o.load[s.Service] += o.pieces(i)
	}
	for _, s := range o.Stages {
		for _, a := range s.After {
			o.state[a].isUsed = true
			o.state[a].users++
		}
	}
	// Stages may stand in any order; as many passes as stages settle everything.
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
	o.estimate(queues)
	return true
}

func (o *order) pieces(i int) int {
	if i < len(o.Pieces) {
		return o.Pieces[i]
	}
	return 0
}

func (o *order) end(r Result) {
	if o.ended {
		return
	}
	o.ended = true
	r.IsDone, r.Wait, r.Runs = true, o.wait, o.runs
	o.finish(r)
}

// Plan releases waiting orders and returns the calls to be made now.
func (d *Scheduler) Plan(now time.Time) map[string][]*Call {
	d.now = now
	d.expire(now)
	if now.Sub(d.estimated) > estimateEvery {
		d.estimated = now
		for _, o := range d.waiting {
			o.estimate(d.queues)
		}
		slices.SortStableFunc(d.waiting, func(a, b *order) int { return compare(a, b, now) })
		d.sortOut(now)
	}
	d.releaseAll(now)
	var out map[string][]*Call
	for _, name := range d.Services() {
		if calls := d.queues[name].Plan(now); len(calls) > 0 {
			if out == nil {
				out = map[string][]*Call{}
			}
			out[name] = calls
		}
	}
	return out
}

func (d *Scheduler) expire(now time.Time) {
	for _, o := range slices.Clone(d.waiting) {
		if now.Add(o.chain).After(o.until) {
			d.drop(o, Result{Reason: ReasonLate})
		}
	}
	for id, o := range d.byID {
		if o.ended && now.After(o.until) {
			delete(d.byID, id) // its results end by themselves
		}
	}
	for _, name := range d.Services() {
		d.queues[name].Expire(now)
		d.free(name, d.queues[name].TakeOrphans())
	}
}

// begin starts the stages of an order that need no others.
func (d *Scheduler) begin(o *order, now time.Time) {
	o.release, o.left = now, len(o.Stages)
	o.wait += now.Sub(o.added)
	o.runs++
	for i := range o.state {
		o.state[i].missing = o.pieces(i)
	}
	d.takeOver(o)
	for i := range o.Stages {
		if o.state[i].job == "" && !o.state[i].done && !o.ended && d.isReady(o, i) {
			d.startStage(o, i, now)
		}
	}
}

func (d *Scheduler) startStage(o *order, i int, now time.Time) {
	s := o.Stages[i]
	if o.pieces(i) == 0 {
		d.stageDone(o, i, nil, now)
		return
	}
	for _, a := range s.After {
		if len(o.state[a].handles) != o.pieces(a) {
			d.outcome(o, i, Result{Reason: ReasonGone}) // pieces are never made from part of their inputs
			return
		}
	}
	d.seq++
	job := Job{
		ID: o.ID + "#" + strconv.Itoa(d.seq), Request: o.Request, Class: o.Route + "/" + strconv.Itoa(i), Stage: i, Pieces: o.pieces(i), Priority: o.Priority, RankDelay: o.behind(),
		DataCentre: o.DataCentre, Regions: o.Regions, ResultBytes: s.ResultBytes,
		Partial: o.state[i].part, TimeLeft: o.until.Sub(now) - o.tails[i], DueIn: o.due.Sub(now) - o.tails[i],
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
			job.InputBytes[d.queues[o.Stages[a].Service].place(h)] += o.Stages[a].ResultBytes
		}
	}
	for k, later := range o.Stages {
		if slices.Contains(later.After, i) {
			job.Readers += o.pieces(k)
		}
	}
	o.state[i].job = job.ID
	d.queues[s.Service].Add(job, now, func() bool { return d.giveUpInputs(o, i) }, func(r Result) { d.outcome(o, i, r) })
}

// giveUpInputs gives up what a stage at work has read, if space is short there.
func (d *Scheduler) giveUpInputs(o *order, i int) bool {
	for _, a := range o.Stages[i].After {
		if d.queues[o.Stages[a].Service].isShort() {
			d.inputsRead(o, i)
			return true
		}
	}
	return false
}

// inputsRead notes that a stage has no more use for the results before it.
func (d *Scheduler) inputsRead(o *order, i int) {
	if o.state[i].hasRead {
		return
	}
	o.state[i].hasRead = true
	for _, a := range o.Stages[i].After {
		if o.state[a].users--; o.state[a].users == 0 {
			d.free(o.Stages[a].Service, o.state[a].handles)
			o.state[a].handles = nil
		}
	}
}

// outcome takes the result of a stage.
func (d *Scheduler) outcome(o *order, i int, r Result) {
	if o.ended {
		return
	}
	now := d.now
	o.wait += r.Wait
	if r.Reason == ReasonNone {
		d.stageDone(o, i, r.Handles, now)
		return
	}
	if r.Reason == ReasonGone && o.runs < maxRuns && now.Add(o.chain).Before(o.until) {
		d.restart(o)
		return
	}
	d.drop(o, r)
}

// restart puts an order whose results were lost back among those that wait.
func (d *Scheduler) restart(o *order) {
	d.clear(o)
	for i := range o.state {
		used := o.state[i].isUsed
		o.state[i] = stageState{isUsed: used}
	}
	for _, s := range o.Stages {
		for _, a := range s.After {
			o.state[a].users++
		}
	}
	d.waiting = append(d.waiting, o)
}

func (d *Scheduler) stageDone(o *order, i int, handles []string, now time.Time) {
	st := &o.state[i]
	st.done, st.handles = true, handles
	d.committed[o.Stages[i].Service] -= st.missing
	st.missing = 0
	o.left--
	d.inputsRead(o, i)
	if d.endIfDone(o) {
		return
	}
	for k, s := range o.Stages {
		if o.state[k].job == "" && !o.state[k].done && slices.Contains(s.After, i) && d.isReady(o, k) {
			d.startStage(o, k, now)
		}
	}
}

// endIfDone ends an order whose stages are all done.
func (d *Scheduler) endIfDone(o *order) bool {
	if o.left > 0 {
		return false
	}
	var out []string
	for k := range o.state {
		if !o.state[k].isUsed {
			out = append(out, o.state[k].handles...)
		}
	}
	r := Result{Handles: out}
	r.DataCentre, r.PrefixTarget = d.near(o)
	o.end(r)
	return true
}

func (d *Scheduler) isReady(o *order, k int) bool {
	for _, a := range o.Stages[k].After {
		if !o.state[a].done {
			return false
		}
	}
	return true
}

// drop ends an order without results.
func (d *Scheduler) drop(o *order, r Result) {
	d.waiting = slices.DeleteFunc(d.waiting, func(w *order) bool { return w == o })
	o.end(r)
	d.clear(o)
	delete(d.byID, o.ID)
}

// clear takes the work of an order back.
func (d *Scheduler) clear(o *order) {
	for i := range o.state {
		st := &o.state[i]
		service := o.Stages[i].Service
		d.committed[service] -= st.missing
		st.missing = 0
		if st.job != "" && !st.done {
			d.queues[service].Drop(st.job)
		}
		d.free(service, st.handles)
		st.handles = nil
	}
}

// Drop ends an order whose caller has left, or gives up the results of one that
// is done. It reports whether the desk knew it.
func (d *Scheduler) Drop(id string) bool {
	o := d.byID[id]
	if o != nil {
		d.drop(o, Result{Reason: ReasonDropped})
	}
	return o != nil
}

// FreeHandles gives up results that a home before had made.
func (d *Scheduler) FreeHandles(handles []string) {
	for service, q := range d.queues {
		for id, list := range q.makers(handles) {
			if d.released[service] == nil {
				d.released[service] = map[string][]string{}
			}
			d.released[service][id] = append(d.released[service][id], list...)
		}
	}
}

func (d *Scheduler) free(service string, handles []string) {
	if len(handles) > 0 {
		d.frees[service] = append(d.frees[service], handles...)
	}
}

// TakeFreed returns the results given up since it was last called, by service and
// target.
func (d *Scheduler) TakeFreed(now time.Time) map[string]map[string][]string {
	out := map[string]map[string][]string{}
	for service, handles := range d.frees {
		if targets := d.queues[service].Free(handles, now); len(targets) > 0 {
			out[service] = targets
		}
	}
	clear(d.frees)
	for service, targets := range d.released {
		if out[service] == nil {
			out[service] = map[string][]string{}
		}
		for id, handles := range targets {
			out[service][id] = append(out[service][id], handles...)
		}
	}
	clear(d.released)
	return out
}

// TargetAddress returns where a target of a service is.
func (d *Scheduler) TargetAddress(service, target string) (string, bool) {
	q := d.queues[service]
	if q == nil {
		return "", false
	}
	return q.TargetAddress(target)
}

// HasFreed reports whether results were given up.
func (d *Scheduler) HasFreed() bool { return len(d.frees) > 0 || len(d.released) > 0 }

// CompleteCall takes the outcome of a call.
func (d *Scheduler) CompleteCall(service string, c *Call, made []Outcome, failure Failure, now time.Time) {
	d.now = now
	if q := d.queues[service]; q != nil {
		q.CompleteCall(c, made, failure, now)
	}
}

// Waiting returns the number of orders that have not begun.
func (d *Scheduler) Waiting() int { return len(d.waiting) }

// Queued returns the number of pieces that wait at a service.
func (d *Scheduler) Queued(service string) int {
	if q := d.queues[service]; q != nil {
		return q.Len()
	}
	return 0
}

// room describes the results at a target, for the log.
func (d *Scheduler) room(service, target string) string {
	q := d.queues[service]
	if q == nil || q.engines[target] == nil {
		return ""
	}
	e := q.engines[target]
	return fmt.Sprintf("%d results, %d of %d bytes, %d calls, ratio %.2f", len(e.held), e.bytes, q.spec.RoomBytes, len(e.calls), e.ratio)
}
