// Package model plays the load of a deployment against models of its stage
// targets, in virtual time and with the desk as it runs in the product.
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

// Service is a stage service with its targets' data centres.
type Service struct {
	Name    string
	Spec    fleet.Batching
	Targets []string // data centre of each
}

// Stage is one stage of a kind of request.
type Stage struct {
	Service string
	After   []int
	Mean    float64 // pieces
	Spread  float64 // of their number, log-normal; 0: always the mean
	Share   float64 // of the requests that have the stage; 0: all
	Bytes   int64
	Work    float64 // factor on the time of a piece; 0: 1
}

// Kind is a kind of request.
type Kind struct {
	Name      string
	PerSecond float64
	Aim       time.Duration
	Timeout   time.Duration
	Worth     float64
	LateWorth float64
	Priority  int
	Stages    []Stage
	After     time.Duration // what the request takes after its stages
	Retries   int
}

// Burst multiplies the arrivals of a kind, or of all, for a while.
type Burst struct {
	Kind   string // empty: all
	Zone   string // data centre whose callers it is of; empty: all
	At     time.Duration
	For    time.Duration
	Factor float64
}

// Fault slows or stops targets for a while.
type Fault struct {
	Service string
	Targets int // the first ones
	Every   int // of these, each such one; 0: all
	At      time.Duration
	For     time.Duration
	Slow    float64 // factor on the time of a call; 0: calls get no answer
}

// Load is a deployment under load.
type Load struct {
	Services []Service
	Kinds    []Kind
	Bursts   []Burst
	Faults   []Fault
	// Hosts is the number of desks; 1 is a home for all, more are hosts each on its own.
	Hosts int
	// Split gives each data centre a home of its own, as regions of large deployments
	// have one. IsMute keeps these from telling each other of their load.
	Split  bool
	IsMute bool
	// HomesLost are the times at which the home is lost with all that it knows.
	HomesLost []time.Duration
	// OnePriority gives all accounts the same priority, so that only the ranks of
	// their routes tell requests apart; NoRanks leaves these out.
	OnePriority bool
	NoRanks     bool
	// FirstCome serves in the order of arrival, whatever is urgent or due.
	FirstCome bool
	// Impatient is how many times refused callers come back at once, whatever they
	// are told.
	Impatient int
	// Leaving is the part of the callers that leave after a quarter of a second.
	Leaving float64
	Length  time.Duration
	Seed    uint64
	// Transit is the time between a desk and a target, one way.
	Transit time.Duration
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

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

type request struct {
	kind   *Kind
	dc     string
	sent   time.Time // by the caller, first of all
	tries  int
	pieces []int
	left   bool // its caller has left
}

type world struct {
	load    Load
	rand    *rand.Rand
	now     time.Time
	start   time.Time
	queue   events
	seq     int
	desks   []*batch.Scheduler
	targets map[string]*target
	views   map[string][]batch.Target
	zones   []string
	out     Outcome
	made    map[string]time.Duration // work by request
	ids     int
	fills   map[string]int       // calls in bursts, by service
	work    map[string][]float64 // request to the factor of each stage
	sizes   map[string][]float64 // request to the bytes of a result of each stage
	places  map[string]string    // request to its data centre
	where   map[string]result    // by handle
	open    map[string]*open     // orders at their home, if homes are lost
}

// Run plays a load and returns how it was served.
func Run(l Load) Outcome {
	if l.Hosts == 0 {
		l.Hosts = 1
	}
	if l.Transit == 0 {
		l.Transit = 20 * time.Millisecond
	}
	w := &world{
		load: l, rand: rand.New(rand.NewPCG(l.Seed, 1)), targets: map[string]*target{}, views: map[string][]batch.Target{},
		made: map[string]time.Duration{}, fills: map[string]int{}, work: map[string][]float64{}, sizes: map[string][]float64{}, places: map[string]string{}, where: map[string]result{}, open: map[string]*open{}, out: Outcome{ByKind: map[string]*KindOutcome{}, Fill: map[string]float64{}},
	}
	w.start = time.Unix(1_700_000_000, 0)
	w.now = w.start
	seen := map[string]bool{}
	for i := range l.Services {
		s := &l.Services[i]
		for k, dc := range s.Targets {
			id := s.Name + "-" + strconv.Itoa(k)
			w.targets[id] = &target{service: s, index: k, dataCentre: dc, held: map[string]int64{}}
			w.views[s.Name] = append(w.views[s.Name], batch.Target{ID: id, Address: id, DataCentre: dc, Region: dc})
			if !seen[dc] {
				seen[dc] = true
				w.zones = append(w.zones, dc)
			}
		}
	}
	if l.Split {
		w.load.Hosts = len(w.zones)
	}
	for range w.load.Hosts {
		w.desks = append(w.desks, batch.NewScheduler(w.rand))
	}
	for i := range l.Kinds {
		w.out.ByKind[l.Kinds[i].Name] = &KindOutcome{}
		w.arrive(&l.Kinds[i])
		for _, b := range l.Bursts {
			if b.Zone != "" && (b.Kind == "" || b.Kind == l.Kinds[i].Name) {
				w.burstAt(&l.Kinds[i], b)
			}
		}
	}
	for i := range w.desks {
		w.tick(i)
		if l.Split && !l.IsMute {
			w.tell(i)
		}
	}
	for _, at := range l.HomesLost {
		w.after(at, w.loseHome)
	}
	for len(w.queue) > 0 {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	return w.out
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now.Add(d), seq: w.seq, do: do})
}

// leaveAfter is when impatient callers leave.
const leaveAfter = 250 * time.Millisecond

// tailTime is how long the model runs on after the last arrival.
const tailTime = 25 * time.Second

func (w *world) tick(desk int) {
	w.advance(desk)
	if w.now.Sub(w.start) < w.load.Length+tailTime {
		w.after(100*time.Millisecond, func() { w.tick(desk) })
	}
}

// arrive makes the arrivals of a kind, one after the other.
func (w *world) arrive(k *Kind) {
	rate := k.PerSecond
	at := w.now.Sub(w.start)
	for _, b := range w.load.Bursts {
		if b.Zone == "" && (b.Kind == "" || b.Kind == k.Name) && at >= b.At && at < b.At+b.For {
			rate *= b.Factor
		}
	}
	gap := time.Duration(w.rand.ExpFloat64() / rate * float64(time.Second))
	w.after(gap, func() {
		if w.now.Sub(w.start) > w.load.Length {
			return
		}
		w.request(k, w.zones[w.rand.IntN(len(w.zones))])
		w.arrive(k)
	})
}

func (w *world) count(s Stage) int {
	if s.Share > 0 && w.rand.Float64() >= s.Share {
		return 0
	}
	mean := s.Mean
	if mean == 0 {
		mean = 1
	}
	if s.Spread == 0 {
		return int(math.Round(mean))
	}
	return max(int(math.Round(mean*math.Exp(s.Spread*w.rand.NormFloat64()-s.Spread*s.Spread/2))), 1)
}

// burstAt makes the further arrivals of bursts at one data centre.
func (w *world) burstAt(k *Kind, b Burst) {
	rate := k.PerSecond / float64(len(w.zones)) * (b.Factor - 1)
	for at := b.At; at < b.At+b.For; at += time.Duration(w.rand.ExpFloat64() / rate * float64(time.Second)) {
		w.after(at, func() { w.request(k, b.Zone) })
	}
}

func (w *world) request(k *Kind, dc string) {
	r := &request{kind: k, dc: dc, sent: w.now}
	for _, s := range k.Stages {
		r.pieces = append(r.pieces, w.count(s))
	}
	w.out.Asked++
	w.out.Owed += k.Worth
	w.out.ByKind[k.Name].Asked++
	w.out.ByKind[k.Name].Owed += k.Worth
	w.try(r)
}

// sizeSpread is how far the sizes of results are from what is announced.
const sizeSpread = 0.15

// try sends a request to a desk.
func (w *world) try(r *request) {
	k := r.kind
	w.ids++
	id := strconv.Itoa(w.ids)
	stages := make([]fleet.Stage, len(k.Stages))
	factors := make([]float64, len(k.Stages))
	for i, s := range k.Stages {
		stages[i] = fleet.Stage{Service: s.Service, After: s.After, ResultBytes: s.Bytes}
		if factors[i] = s.Work; s.Work == 0 {
			factors[i] = 1
		}
	}
	w.work[id], w.places[id] = factors, r.dc
	w.sizes[id] = make([]float64, len(k.Stages))
	for i, s := range k.Stages {
		w.sizes[id][i] = float64(s.Bytes) * (1 + sizeSpread*(2*w.rand.Float64()-1))
	}
	desk := w.rand.IntN(len(w.desks))
	if w.load.Split {
		desk = slices.Index(w.zones, r.dc)
	}
	w.refresh(desk)
	begun := w.now
	left := r.sent.Add(k.Timeout).Sub(w.now) - k.After
	due := r.sent.Add(k.Aim).Sub(w.now) - k.After
	priority, rank := k.Priority, 0
	if w.load.OnePriority {
		priority = 1
		if !w.load.NoRanks {
			rank = k.Priority
		}
	}
	if w.load.FirstCome {
		due, priority = time.Hour, 0
	}
	if r.tries == 0 && w.rand.Float64() < w.load.Leaving {
		w.after(leaveAfter, func() {
			r.left = true
			w.desks[desk].Drop(id)
			w.advance(desk)
		})
	}
	w.submit(r, desk, begun, batch.Order{
		ID: id, Request: id, Route: k.Name, Stages: stages, Pieces: r.pieces, Key: "k", TimeLeft: left,
		DueIn: due, Priority: priority, Rank: rank, DataCentre: r.dc,
	})
}

// submit gives a desk an order, which it may hand over to another one.
func (w *world) submit(r *request, desk int, begun time.Time, o batch.Order) {
	sent := w.now
	w.open[o.ID] = &open{request: r, order: o, sent: sent, begun: begun}
	w.desks[desk].Submit(o, w.now, func(res batch.Result) {
		delete(w.open, o.ID)
		if res.Reason != batch.ReasonMoved {
			w.ended(r, o.ID, desk, begun, res)
			return
		}
		w.out.Moved++
		w.after(2*w.load.Transit, func() {
			passed := w.now.Sub(sent)
			o.TimeLeft, o.DueIn, o.Moved, o.DataCentre = o.TimeLeft-passed, o.DueIn-passed, true, res.Region
			w.places[o.ID] = res.Region
			next := slices.Index(w.zones, res.Region)
			w.refresh(next)
			w.submit(r, next, begun, o)
		})
	})
	w.advance(desk)
}

// open is an order that a home has.
type open struct {
	request     *request
	order       batch.Order
	sent, begun time.Time
}

// missAfter is how long hosts take to miss a home that is lost: a poll and its slack.
const missAfter = 750 * time.Millisecond

// loseHome replaces the home by one that knows nothing; its orders come again with
// what their hosts have been told of them.
func (w *world) loseHome() {
	lost := w.desks[0]
	w.desks[0] = batch.NewScheduler(w.rand)
	w.refresh(0)
	orders := w.open
	w.open = map[string]*open{}
	for _, id := range slices.Sorted(maps.Keys(orders)) {
		o := orders[id]
		o.order.Progress = lost.Progress(id)
		w.after(missAfter, func() {
			passed := w.now.Sub(o.sent)
			o.order.TimeLeft, o.order.DueIn = o.order.TimeLeft-passed, o.order.DueIn-passed
			w.submit(o.request, 0, o.begun, o.order)
		})
	}
}

// tellEvery is how often homes tell each other of their load.
const tellEvery = 250 * time.Millisecond

func (w *world) tell(desk int) {
	news := batch.RegionReport{Region: w.zones[desk], Backlogs: w.desks[desk].Backlogs(w.now)}
	w.after(w.load.Transit, func() {
		for i, d := range w.desks {
			if i != desk {
				d.HandleReport(news, w.now)
			}
		}
	})
	if w.now.Sub(w.start) < w.load.Length+tailTime {
		w.after(tellEvery, func() { w.tell(desk) })
	}
}

// ended takes the result of a request's stages.
func (w *world) ended(r *request, id string, desk int, begun time.Time, res batch.Result) {
	if r.left {
		w.out.Left++
		w.out.Wasted += w.made[id]
		return
	}
	if res.Reason == batch.ReasonNone {
		at := w.places[id]
		if res.DataCentre != "" {
			at = res.DataCentre
		}
		w.read(res.Handles, at)
		w.after(r.kind.After, func() {
			if !w.desks[desk].Drop(id) {
				w.desks[desk].FreeHandles(res.Handles)
			}
			w.served(r)
		})
		return
	}
	w.out.Wasted += w.made[id]
	if w.now.Sub(begun) > r.kind.Timeout/4 {
		w.out.HeldLate++
	}
	back := res.RetryAfter
	if back == 0 {
		back = 400 * time.Millisecond
	}
	if r.tries < w.load.Impatient {
		r.tries++
		w.after(time.Millisecond, func() { w.try(r) })
		return
	}
	left := r.sent.Add(r.kind.Timeout).Sub(w.now)
	if r.tries < r.kind.Retries+w.load.Impatient && back < left/3 {
		r.tries++
		w.after(back, func() { w.try(r) })
		return
	}
	if res.Reason == batch.ReasonBusy {
		w.out.Refused++
	} else {
		w.out.Failed++
	}
}

func (w *world) served(r *request) {
	took := w.now.Sub(r.sent)
	k := w.out.ByKind[r.kind.Name]
	earned := 0.0
	switch {
	case took <= r.kind.Aim:
		w.out.OnTime++
		k.OnTime++
		earned = r.kind.Worth
	case took <= r.kind.Timeout:
		w.out.Late++
		earned = r.kind.LateWorth
	default:
		w.out.Failed++
		return
	}
	k.Served++
	k.Earned += earned
	w.out.Earned += earned
}

func (w *world) refresh(desk int) {
	for i := range w.load.Services {
		s := &w.load.Services[i]
		view := w.views[s.Name]
		if w.load.Split {
			view = slices.DeleteFunc(slices.Clone(view), func(t batch.Target) bool { return t.DataCentre != w.zones[desk] })
		}
		w.desks[desk].SetService(s.Name, s.Spec, view)
	}
}

// advance makes the calls that a desk plans.
func (w *world) advance(desk int) {
	w.refresh(desk)
	plan := w.desks[desk].Plan(w.now)
	for _, service := range slices.Sorted(maps.Keys(plan)) {
		for _, c := range plan[service] {
			w.call(desk, service, c)
		}
	}
	frees := w.desks[desk].TakeFreed(w.now)
	for _, service := range slices.Sorted(maps.Keys(frees)) {
		for id, handles := range frees[service] {
			w.after(freeDelay+w.load.Transit, func() { w.targets[id].free(handles) })
		}
	}
}

// freeDelay is how long a home gathers results that were given up.
const freeDelay = 10 * time.Millisecond
