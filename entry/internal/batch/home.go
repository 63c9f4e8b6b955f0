package batch

import (
	"context"
	"expvar"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"chivepost/share/fleet"
)

var (
	callsMade     = expvar.NewInt("stage_calls_count")
	piecesSent    = expvar.NewInt("stage_pieces_count")
	callsFailed   = expvar.NewInt("stage_calls_failed_count")
	ordersRefused = expvar.NewInt("stage_orders_refused_count")
	ordersMoved   = expvar.NewInt("stage_orders_moved_count")
)

const (
	// tickEvery is how often waiting jobs are looked at where nothing else happens.
	tickEvery = 100 * time.Millisecond
	// freeEvery is how long results that were given up are gathered before their
	// targets are told.
	freeEvery = 10 * time.Millisecond
	// tellEvery is how often the homes of regions tell each other of sessions and of
	// their load, while they have orders.
	tellEvery = 250 * time.Millisecond
	// tellFor is how long after its last order a home goes on telling.
	tellFor = 2 * time.Second
	// freeTime bounds the call that tells a target.
	freeTime = time.Second
	// forgetAfter is how long an order whose host doesn't ask for it is kept.
	forgetAfter = 2500 * time.Millisecond
)

// TargetClient makes calls to stage targets.
type TargetClient interface {
	Run(ctx context.Context, c *Call) ([]Outcome, Failure, error)
	Free(ctx context.Context, target, address string, handles []string) error
}

// Catalog tells a service's figures and its targets at hand, in a region or in all.
type Catalog interface {
	Stage(service, region string) (fleet.Batching, []Target, bool)
}

// Home runs the stages of requests for which this host is home.
type Home struct {
	caller TargetClient
	stock  Catalog
	logger logr.Logger
	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup

	mu      sync.Mutex
	desks   map[string]*Scheduler // by region; the empty one has all targets
	tickets map[string]*ticket
	uses    []SessionTarget // not yet told to other homes
	tell    func(ctx context.Context, news RegionReport)
	told    time.Time // when other homes were last told
	telling bool      // results given up are about to be told
}

// ticket is an order that a host waits for.
type ticket struct {
	desk   *Scheduler
	result Result
	done   chan struct{}
	isDone bool
	asked  time.Time
}

// New returns a home without orders.
func New(caller TargetClient, stock Catalog, logger logr.Logger) *Home {
	ctx, cancel := context.WithCancel(context.Background())
	h := &Home{
		caller: caller, stock: stock, logger: logger, ctx: ctx, cancel: cancel,
		desks: map[string]*Scheduler{}, tickets: map[string]*ticket{},
	}
	h.wait.Go(func() { h.tick() })
	return h
}

func (h *Home) tick() {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-tick.C:
		}
		h.mu.Lock()
		now := time.Now()
		for id, t := range h.tickets {
			if now.Sub(t.asked) > forgetAfter {
				t.desk.Drop(id)
				delete(h.tickets, id)
			}
		}
		for region, d := range h.desks {
			h.refresh(d, region, d.Services())
			h.advance(d, now)
		}
		if now.Sub(h.told) >= tellEvery {
			h.told = now
			h.tellNews(now)
		}
		h.mu.Unlock()
	}
}

// tellNews tells the homes of other regions where sessions went and how much
// there is to do here.
func (h *Home) tellNews(now time.Time) {
	uses := h.uses
	h.uses = nil
	if h.tell == nil {
		return
	}
	for region, d := range h.desks {
		if region == "" || now.Sub(d.used) > tellFor {
			continue
		}
		news := RegionReport{Region: region, Sessions: uses, Backlogs: d.Backlogs(now)}
		h.wait.Go(func() { h.tell(h.ctx, news) })
	}
}

// refresh tells a desk what is known of services.
func (h *Home) refresh(d *Scheduler, region string, services []string) {
	for _, name := range services {
		if spec, targets, ok := h.stock.Stage(name, region); ok {
			d.SetService(name, spec, targets)
		}
	}
}

// advance makes the calls that can be made now.
func (h *Home) advance(d *Scheduler, now time.Time) {
	for service, calls := range d.Plan(now) {
		for _, c := range calls {
			callsMade.Add(1)
			piecesSent.Add(int64(len(c.Pieces)))
			h.wait.Go(func() { h.run(d, service, c) })
		}
	}
	if d.HasFreed() && !h.telling {
		h.telling = true
		time.AfterFunc(freeEvery, h.tellFrees)
	}
}

func (h *Home) run(d *Scheduler, service string, c *Call) {
	ctx, cancel := context.WithTimeout(h.ctx, c.Timeout)
	made, failure, err := h.caller.Run(ctx, c)
	cancel()
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.logger.V(1).Info("stage call", "service", service, "target", c.Target, "pieces", len(c.Pieces), "took", now.Sub(c.started).String(),
		"expected", c.Expected.String(), "waiting", d.Waiting(), "queued", d.Queued(service), "failure", int(failure),
		"room", d.room(service, c.Target))
	if failure != FailureNone {
		callsFailed.Add(1)
		h.logger.Info("stage call failed", "service", service, "target", c.Target, "pieces", len(c.Pieces),
			"took", now.Sub(c.started).String(), "expected", c.Expected.String(), "failure", int(failure), "err", errText(err))
	}
	d.CompleteCall(service, c, made, failure, now)
	h.advance(d, now)
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// Submit takes an order. Taking one again changes nothing.
func (h *Home) Submit(o Order) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	if t := h.tickets[o.ID]; t != nil {
		t.asked = now
		return
	}
	d := h.desks[o.Region]
	if d == nil {
		d = NewScheduler(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
		h.desks[o.Region] = d
	}
	t := &ticket{desk: d, done: make(chan struct{}), asked: now}
	h.tickets[o.ID] = t
	var services []string
	for _, s := range o.Stages {
		services = append(services, s.Service)
	}
	h.refresh(d, o.Region, services)
	d.used = now
	d.Submit(o, now, func(r Result) {
		t.result, t.isDone = r, true
		close(t.done)
		switch r.Reason {
		case ReasonBusy:
			ordersRefused.Add(1)
		case ReasonMoved:
			ordersMoved.Add(1)
			h.logger.Info("order moved", "id", o.Request, "from", o.Region, "to", r.Region)
		}
	})
	h.advance(d, now)
}

// Await waits for an order for up to wait. A result that isn't done may be asked
// for again.
func (h *Home) Await(ctx context.Context, id string, wait time.Duration) Result {
	h.mu.Lock()
	t := h.tickets[id]
	if t != nil {
		t.asked = time.Now()
	}
	h.mu.Unlock()
	if t == nil {
		return Result{IsDone: true, Reason: ReasonUnknown}
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-t.done:
	case <-timer.C:
		h.mu.Lock()
		defer h.mu.Unlock()
		return Result{Progress: t.desk.Progress(id)}
	case <-ctx.Done():
		return Result{}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.tickets, id)
	return t.result
}

// Drop ends an order whose caller has left, or gives up the results of one that
// is done, also if a home before has made them. use says where the request went,
// if it did.
func (h *Home) Drop(id string, use SessionTarget, handles []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.tickets, id)
	now := time.Now()
	isKnown := false
	for _, d := range h.desks {
		isKnown = d.Drop(id) || isKnown
		d.RecordSession(use, now)
	}
	for _, d := range h.desks {
		if !isKnown {
			d.FreeHandles(handles)
		}
		h.advance(d, now)
	}
	if use.Session != "" && h.tell != nil {
		h.uses = append(h.uses, use)
	}
}

// HandleReport notes what the home of another region has told.
func (h *Home) HandleReport(n RegionReport) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	for region, d := range h.desks {
		if region != n.Region {
			d.HandleReport(n, now)
		}
	}
}

// SetReporter sets what tells the homes of other regions; it is called once, before the
// first order.
func (h *Home) SetReporter(tell func(ctx context.Context, news RegionReport)) { h.tell = tell }

// tellFrees tells targets which results were given up.
func (h *Home) tellFrees() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.telling = false
	if h.ctx.Err() != nil {
		return
	}
	for _, d := range h.desks {
		for service, targets := range d.TakeFreed(time.Now()) {
			for target, handles := range targets {
				if address, ok := d.TargetAddress(service, target); ok {
					h.wait.Go(func() { h.tellFree(target, address, handles) })
				}
			}
		}
		h.advance(d, time.Now())
	}
}

func (h *Home) tellFree(target, address string, handles []string) {
	ctx, cancel := context.WithTimeout(h.ctx, freeTime)
	defer cancel()
	if err := h.caller.Free(ctx, target, address, handles); err != nil {
		h.logger.V(1).Info("results not freed", "target", target, "results", len(handles), "err", err.Error())
	}
}

// Waiting returns the number of orders that have not begun.
func (h *Home) Waiting() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, d := range h.desks {
		n += d.Waiting()
	}
	return n
}

// Name implements a controller's name.
func (h *Home) Name() string { return "batch" }

// Close ends all calls.
func (h *Home) Close() {
	h.cancel()
	h.wait.Wait()
}
