// Package model simulates a deployment under load in virtual time. It runs the
// scheduler of package batch against models of stage targets.
package model

import (
	"container/heap"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"chivepost/entry/internal/batch"
	"chivepost/share/fleet"
)

// Service describes a stage service and its targets.
type Service struct {
	Name    string
	Spec    fleet.Batching
	Targets []string // data centre of each
}

// Stage describes a stage of a kind of request.
type Stage struct {
	Service     string
	After       []int
	MeanPieces  float64 // 0: 1
	Spread      float64 // sigma of their log-normal number; 0: always the mean
	Share       float64 // share of the requests that have the stage; 0: all
	ResultBytes int64   // mean size of a result
	WorkFactor  float64 // factor on the time of a piece; 0: 1
}

// Kind is a kind of request.
type Kind struct {
	Name       string
	PerSecond  float64
	Objective  time.Duration // an answer is on time within this
	Timeout    time.Duration // an answer is of no use after this
	Credit     float64       // for an answer on time
	LateCredit float64       // for a late answer
	Priority   int
	Stages     []Stage
	RunTime    time.Duration // time of the request itself after its stages
	Retries    int
}

// Burst multiplies the arrivals of a kind, or of all kinds, for a while.
type Burst struct {
	Kind       string // empty: all
	DataCentre string // data centre of the callers; empty: all
	At         time.Duration
	Duration   time.Duration
	Factor     float64
}

// Fault slows or stops targets for a while.
type Fault struct {
	Service  string
	Targets  int // number of affected targets, from the first
	Every    int // affects only each n-th of these; 0: all
	At       time.Duration
	Duration time.Duration
	Slowdown float64 // factor on the time of a call; 0: calls get no answer
}

// Load describes a deployment and its load.
type Load struct {
	Services []Service
	Kinds    []Kind
	Bursts   []Burst
	Faults   []Fault
	// Schedulers is the number of schedulers. 1 is a home for all hosts, more are hosts
	// that schedule on their own.
	Schedulers int
	// HomePerDataCentre gives each data centre a home, as regions of large deployments
	// have one. NoReports keeps these homes from reporting their backlogs to each other.
	HomePerDataCentre bool
	NoReports         bool
	// HomesLost are the times at which the home is lost with its state.
	HomesLost []time.Duration
	// OnePriority gives all client accounts the same priority, so that requests differ
	// only in the ranks of their routes. NoRanks removes the ranks too.
	OnePriority bool
	NoRanks     bool
	// NoObjectives leaves the latency objectives of routes out of orders, as hosts of
	// earlier versions do.
	NoObjectives bool
	// FIFO serves requests in the order of arrival, without priorities and due times.
	FIFO bool
	// ImmediateRetries is how many times refused callers retry immediately, regardless
	// of the retry time.
	ImmediateRetries int
	// CancelShare is the share of callers that cancel after cancelAfter.
	CancelShare float64
	Duration    time.Duration
	Seed        uint64
	// Transit is the time between a scheduler and a target, one way.
	Transit time.Duration
}

// event is a function that runs at a virtual time.
type event struct {
	at  time.Time
	seq int
	run func()
}

// events is a heap of events by time, then by sequence number.
type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// request is a request of a simulated caller, over all its retries.
type request struct {
	kind       *Kind
	dataCentre string
	sentAt     time.Time // first sent by the caller
	retries    int
	pieces     []int
	cancelled  bool // its caller has cancelled
}

// simulation is the state of one run.
type simulation struct {
	load               Load
	rand               *rand.Rand
	now                time.Time
	start              time.Time
	queue              events
	seq                int
	schedulers         []*batch.Scheduler
	targets            map[string]*target
	targetViews        map[string][]batch.Target
	dataCentres        []string
	outcome            Outcome
	workDone           map[string]time.Duration // by request
	lastID             int
	burstCalls         map[string]int        // number of calls in bursts, by service
	workFactors        map[string][]float64  // of each stage, by request
	resultSizes        map[string][]float64  // of each stage, by request
	requestDataCentres map[string]string     // data centre, by request
	results            map[string]result     // by handle
	openOrders         map[string]*openOrder // orders without a result
}

// Run simulates a load and returns its outcome.
func Run(l Load) Outcome {
	if l.Schedulers == 0 {
		l.Schedulers = 1
	}
	if l.Transit == 0 {
		l.Transit = 20 * time.Millisecond
	}
	sim := &simulation{
		load: l, rand: rand.New(rand.NewPCG(l.Seed, 1)), targets: map[string]*target{}, targetViews: map[string][]batch.Target{},
		workDone: map[string]time.Duration{}, burstCalls: map[string]int{}, workFactors: map[string][]float64{}, resultSizes: map[string][]float64{}, requestDataCentres: map[string]string{}, results: map[string]result{}, openOrders: map[string]*openOrder{}, outcome: Outcome{ByKind: map[string]*KindOutcome{}, Fill: map[string]float64{}},
	}
	sim.start = time.Unix(1_700_000_000, 0)
	sim.now = sim.start
	seen := map[string]bool{}
	for i := range l.Services {
		s := &l.Services[i]
		for k, dc := range s.Targets {
			id := s.Name + "-" + strconv.Itoa(k)
			sim.targets[id] = &target{service: s, index: k, dataCentre: dc, results: map[string]int64{}}
			sim.targetViews[s.Name] = append(sim.targetViews[s.Name], batch.Target{ID: id, Address: id, DataCentre: dc, Region: dc})
			if !seen[dc] {
				seen[dc] = true
				sim.dataCentres = append(sim.dataCentres, dc)
			}
		}
	}
	if l.HomePerDataCentre {
		sim.load.Schedulers = len(sim.dataCentres)
	}
	for range sim.load.Schedulers {
		sim.schedulers = append(sim.schedulers, batch.NewScheduler(sim.rand))
	}
	for i := range l.Kinds {
		sim.outcome.ByKind[l.Kinds[i].Name] = &KindOutcome{}
		sim.scheduleArrivals(&l.Kinds[i])
		for _, b := range l.Bursts {
			if b.DataCentre != "" && (b.Kind == "" || b.Kind == l.Kinds[i].Name) {
				sim.scheduleBurst(&l.Kinds[i], b)
			}
		}
	}
	for i := range sim.schedulers {
		sim.tick(i)
		if l.HomePerDataCentre && !l.NoReports {
			sim.sendReports(i)
		}
	}
	for _, at := range l.HomesLost {
		sim.after(at, sim.loseHome)
	}
	for len(sim.queue) > 0 {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		e.run()
	}
	return sim.outcome
}

// after schedules a function to run after d.
func (sim *simulation) after(d time.Duration, run func()) {
	sim.seq++
	heap.Push(&sim.queue, event{at: sim.now.Add(d), seq: sim.seq, run: run})
}

// cancelAfter is when callers of the CancelShare cancel.
const cancelAfter = 250 * time.Millisecond

// tailTime is how long the simulation continues after the last arrival.
const tailTime = 25 * time.Second

// tick advances a scheduler periodically.
func (sim *simulation) tick(index int) {
	sim.advance(index)
	if sim.now.Sub(sim.start) < sim.load.Duration+tailTime {
		sim.after(100*time.Millisecond, func() { sim.tick(index) })
	}
}

// scheduleArrivals schedules the next arrival of a kind, which schedules the one
// after it.
func (sim *simulation) scheduleArrivals(k *Kind) {
	rate := k.PerSecond
	at := sim.now.Sub(sim.start)
	for _, b := range sim.load.Bursts {
		if b.DataCentre == "" && (b.Kind == "" || b.Kind == k.Name) && at >= b.At && at < b.At+b.Duration {
			rate *= b.Factor
		}
	}
	gap := time.Duration(sim.rand.ExpFloat64() / rate * float64(time.Second))
	sim.after(gap, func() {
		if sim.now.Sub(sim.start) > sim.load.Duration {
			return
		}
		sim.startRequest(k, sim.dataCentres[sim.rand.IntN(len(sim.dataCentres))])
		sim.scheduleArrivals(k)
	})
}

// drawPieces draws the number of pieces of a stage.
func (sim *simulation) drawPieces(s Stage) int {
	if s.Share > 0 && sim.rand.Float64() >= s.Share {
		return 0
	}
	mean := s.MeanPieces
	if mean == 0 {
		mean = 1
	}
	if s.Spread == 0 {
		return int(math.Round(mean))
	}
	return max(int(math.Round(mean*math.Exp(s.Spread*sim.rand.NormFloat64()-s.Spread*s.Spread/2))), 1)
}

// scheduleBurst schedules the additional arrivals of a burst at one data centre.
func (sim *simulation) scheduleBurst(k *Kind, b Burst) {
	rate := k.PerSecond / float64(len(sim.dataCentres)) * (b.Factor - 1)
	for at := b.At; at < b.At+b.Duration; at += time.Duration(sim.rand.ExpFloat64() / rate * float64(time.Second)) {
		sim.after(at, func() { sim.startRequest(k, b.DataCentre) })
	}
}

// startRequest counts and sends a new request.
func (sim *simulation) startRequest(k *Kind, dc string) {
	r := &request{kind: k, dataCentre: dc, sentAt: sim.now}
	for _, s := range k.Stages {
		r.pieces = append(r.pieces, sim.drawPieces(s))
	}
	sim.outcome.Requests++
	sim.outcome.MaxCredit += k.Credit
	sim.outcome.ByKind[k.Name].Requests++
	sim.outcome.ByKind[k.Name].MaxCredit += k.Credit
	sim.sendRequest(r)
}

// sizeSpread is the greatest relative deviation of result sizes from the configured
// ones.
const sizeSpread = 0.15

// sendRequest submits the order of a request, or of its retry, to a scheduler.
func (sim *simulation) sendRequest(r *request) {
	k := r.kind
	sim.lastID++
	id := strconv.Itoa(sim.lastID)
	stages := make([]fleet.Stage, len(k.Stages))
	factors := make([]float64, len(k.Stages))
	for i, s := range k.Stages {
		stages[i] = fleet.Stage{Service: s.Service, After: s.After, ResultBytes: s.ResultBytes}
		if factors[i] = s.WorkFactor; s.WorkFactor == 0 {
			factors[i] = 1
		}
	}
	sim.workFactors[id], sim.requestDataCentres[id] = factors, r.dataCentre
	sim.resultSizes[id] = make([]float64, len(k.Stages))
	for i, s := range k.Stages {
		sim.resultSizes[id][i] = float64(s.ResultBytes) * (1 + sizeSpread*(2*sim.rand.Float64()-1))
	}
	index := sim.rand.IntN(len(sim.schedulers))
	if sim.load.HomePerDataCentre {
		index = slices.Index(sim.dataCentres, r.dataCentre)
	}
	sim.refreshServices(index)
	startedAt := sim.now
	timeLeft := r.sentAt.Add(k.Timeout).Sub(sim.now) - k.RunTime
	due := r.sentAt.Add(k.Objective).Sub(sim.now) - k.RunTime
	priority, rank := k.Priority, 0
	if sim.load.OnePriority {
		priority = 1
		if !sim.load.NoRanks {
			rank = k.Priority
		}
	}
	if sim.load.FIFO {
		due, priority = time.Hour, 0
	}
	if r.retries == 0 && sim.rand.Float64() < sim.load.CancelShare {
		sim.after(cancelAfter, func() {
			r.cancelled = true
			sim.schedulers[index].Drop(id)
			sim.advance(index)
		})
	}
	objective := k.Objective
	if sim.load.NoObjectives {
		objective = 0
	}
	sim.submitOrder(r, index, startedAt, batch.Order{
		ID: id, Request: id, Route: k.Name, Stages: stages, Pieces: r.pieces, Key: "k", TimeLeft: timeLeft,
		DueIn: due, Priority: priority, Rank: rank, Objective: objective, DataCentre: r.dataCentre,
	})
}

// submitOrder submits an order to a scheduler, which may hand it over to another.
func (sim *simulation) submitOrder(r *request, index int, startedAt time.Time, o batch.Order) {
	sent := sim.now
	sim.openOrders[o.ID] = &openOrder{request: r, order: o, sentAt: sent, startedAt: startedAt}
	sim.schedulers[index].Submit(o, sim.now, func(res batch.Result) {
		delete(sim.openOrders, o.ID)
		if res.Reason != batch.ReasonMoved {
			sim.endOrder(r, o.ID, index, startedAt, res)
			return
		}
		sim.outcome.Moved++
		sim.after(2*sim.load.Transit, func() {
			passed := sim.now.Sub(sent)
			o.TimeLeft, o.DueIn, o.Moved, o.DataCentre = o.TimeLeft-passed, o.DueIn-passed, true, res.Region
			sim.requestDataCentres[o.ID] = res.Region
			next := slices.Index(sim.dataCentres, res.Region)
			sim.refreshServices(next)
			sim.submitOrder(r, next, startedAt, o)
		})
	})
	sim.advance(index)
}

// openOrder is an order that a scheduler has not ended yet.
type openOrder struct {
	request           *request
	order             batch.Order
	sentAt, startedAt time.Time
}

// lossDetectionTime is how long hosts take to notice that a home is lost: the timeout
// of a poll and its network slack.
const lossDetectionTime = 750 * time.Millisecond

// loseHome replaces the home by one without state. Its orders are submitted again
// with the progress that their hosts know of.
func (sim *simulation) loseHome() {
	lost := sim.schedulers[0]
	sim.schedulers[0] = batch.NewScheduler(sim.rand)
	sim.refreshServices(0)
	orders := sim.openOrders
	sim.openOrders = map[string]*openOrder{}
	for _, id := range slices.Sorted(maps.Keys(orders)) {
		o := orders[id]
		o.order.Progress = lost.Progress(id)
		sim.after(lossDetectionTime, func() {
			passed := sim.now.Sub(o.sentAt)
			o.order.TimeLeft, o.order.DueIn = o.order.TimeLeft-passed, o.order.DueIn-passed
			sim.submitOrder(o.request, 0, o.startedAt, o.order)
		})
	}
}

// reportInterval is how often homes report their backlogs to each other.
const reportInterval = 250 * time.Millisecond

// sendReports periodically sends the backlogs of a home to the others.
func (sim *simulation) sendReports(index int) {
	report := batch.RegionReport{Region: sim.dataCentres[index], Backlogs: sim.schedulers[index].Backlogs(sim.now)}
	sim.after(sim.load.Transit, func() {
		for i, sc := range sim.schedulers {
			if i != index {
				sc.HandleReport(report, sim.now)
			}
		}
	})
	if sim.now.Sub(sim.start) < sim.load.Duration+tailTime {
		sim.after(reportInterval, func() { sim.sendReports(index) })
	}
}

// endOrder handles the result of an order: it runs the request, retries it or counts
// it as refused or failed.
func (sim *simulation) endOrder(r *request, id string, index int, startedAt time.Time, res batch.Result) {
	if r.cancelled {
		sim.outcome.Cancelled++
		sim.outcome.Wasted += sim.workDone[id]
		return
	}
	if res.Reason == batch.ReasonNone {
		dataCentre := sim.requestDataCentres[id]
		if res.DataCentre != "" {
			dataCentre = res.DataCentre
		}
		sim.countReads(res.Handles, dataCentre)
		sim.after(r.kind.RunTime, func() {
			if !sim.schedulers[index].Drop(id) {
				sim.schedulers[index].FreeHandles(res.Handles)
			}
			sim.countServed(r)
		})
		return
	}
	sim.outcome.Wasted += sim.workDone[id]
	if sim.now.Sub(startedAt) > r.kind.Timeout/4 {
		sim.outcome.RefusedLate++
	}
	retryAfter := res.RetryAfter
	if retryAfter == 0 {
		retryAfter = 400 * time.Millisecond
	}
	if r.retries < sim.load.ImmediateRetries {
		r.retries++
		sim.after(time.Millisecond, func() { sim.sendRequest(r) })
		return
	}
	timeLeft := r.sentAt.Add(r.kind.Timeout).Sub(sim.now)
	if r.retries < r.kind.Retries+sim.load.ImmediateRetries && retryAfter < timeLeft/3 {
		r.retries++
		sim.after(retryAfter, func() { sim.sendRequest(r) })
		return
	}
	if res.Reason == batch.ReasonBusy {
		sim.outcome.Refused++
	} else {
		sim.outcome.Failed++
	}
}

// countServed counts an answered request and its credit.
func (sim *simulation) countServed(r *request) {
	took := sim.now.Sub(r.sentAt)
	k := sim.outcome.ByKind[r.kind.Name]
	earned := 0.0
	switch {
	case took <= r.kind.Objective:
		sim.outcome.OnTime++
		k.OnTime++
		earned = r.kind.Credit
	case took <= r.kind.Timeout:
		sim.outcome.Late++
		earned = r.kind.LateCredit
	default:
		sim.outcome.Failed++
		return
	}
	k.Served++
	k.Credit += earned
	sim.outcome.Credit += earned
}

// refreshServices updates the services and targets of a scheduler.
func (sim *simulation) refreshServices(index int) {
	for i := range sim.load.Services {
		s := &sim.load.Services[i]
		view := sim.targetViews[s.Name]
		if sim.load.HomePerDataCentre {
			view = slices.DeleteFunc(slices.Clone(view), func(t batch.Target) bool { return t.DataCentre != sim.dataCentres[index] })
		}
		sim.schedulers[index].SetService(s.Name, s.Spec, view)
	}
}

// advance starts the calls that a scheduler plans and frees results at targets.
func (sim *simulation) advance(index int) {
	sim.refreshServices(index)
	calls := sim.schedulers[index].Plan(sim.now)
	for _, service := range slices.Sorted(maps.Keys(calls)) {
		for _, c := range calls[service] {
			sim.runCall(index, service, c)
		}
	}
	freed := sim.schedulers[index].TakeFreed(sim.now)
	for _, service := range slices.Sorted(maps.Keys(freed)) {
		for id, handles := range freed[service] {
			sim.after(freeDelay+sim.load.Transit, func() { sim.targets[id].free(handles) })
		}
	}
}

// freeDelay is how long a home collects freed results.
const freeDelay = 10 * time.Millisecond
