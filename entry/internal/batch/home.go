package batch

import (
	"context"
	"errors"
	"expvar"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"chivepost/entry/internal/guard"
	"chivepost/entry/internal/notice"
	"chivepost/entry/internal/place"
	"chivepost/share/fleet"
)

var (
	callsMade     = expvar.NewInt("stage_calls_count")
	piecesSent    = expvar.NewInt("stage_pieces_count")
	callsFailed   = expvar.NewInt("stage_calls_failed_count")
	ordersRefused = expvar.NewInt("stage_orders_refused_count")
	ordersMoved   = expvar.NewInt("stage_orders_moved_count")
	ordersHeld    = expvar.NewInt("stage_orders_held_count")
	ordersGiven   = expvar.NewInt("stage_orders_released_count")
	plansMade     = expvar.NewInt("stage_plans_count")
)

const (
	// tickInterval is how often schedulers are advanced without other events.
	tickInterval = 100 * time.Millisecond
	// planInterval is the least time between two plans of a scheduler. A plan looks at all that
	// waits, so one for each event takes all the time of the home in a burst.
	planInterval = 5 * time.Millisecond
	// freeDelay is how long freed results are collected before they are sent to their
	// targets.
	freeDelay = 10 * time.Millisecond
	// reportInterval is how often the homes of regions report their sessions and
	// backlogs to each other, while they get orders.
	reportInterval = 250 * time.Millisecond
	// reportPeriod is how long a home sends reports after its last order.
	reportPeriod = 2 * time.Second
	// busyFreeDelay is how long results of a target that wants no requests are kept before
	// they are freed once more. It costs no message while the target is busy.
	busyFreeDelay = 500 * time.Millisecond
	// freeTimeout is the timeout of the call that frees results at a target.
	freeTimeout = time.Second
	// holdAfter is the time after which nothing more is started for an order if its host
	// doesn't poll for it. It is less, by holdCheckInterval and more, than the time after which
	// a host without an answer goes on with another home.
	holdAfter         = 650 * time.Millisecond
	holdCheckInterval = 50 * time.Millisecond
	// abandonAfter is how long an order is kept if its host doesn't poll for it.
	abandonAfter = 2500 * time.Millisecond
)

// TargetClient makes calls to stage targets. It gets bound handles and returns plain ones.
type TargetClient interface {
	Run(ctx context.Context, c *Call) ([]Outcome, Failure, error)
	Free(ctx context.Context, target Target, handles []string) error
}

// Catalog returns the batching parameters of a service and its available targets in
// a region, or in all regions if region is empty.
type Catalog interface {
	Stage(service, region string) (fleet.Batching, []Target, bool)
	// Models returns the warm targets of a model service in a region.
	Models(service, region string) []place.Target
}

// Home runs the stages of requests for which this host is home.
type Home struct {
	client  TargetClient
	catalog Catalog
	logger  logr.Logger
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu            sync.Mutex
	schedulers    map[string]*Scheduler // by region; "" has the targets of all regions
	orders        map[string]*pendingOrder
	sessions      []SessionTarget // not yet reported to other homes
	report        func(ctx context.Context, report RegionReport)
	reportedAt    time.Time // last report to other homes
	freeScheduled bool      // a timer for sendFreed is set
	holdCheckedAt time.Time // when orders were last held for which no host polls
}

// pendingOrder is an order whose result a host waits for.
type pendingOrder struct {
	scheduler *Scheduler
	result    Result
	done      chan struct{}
	isDone    bool
	isHeld    bool
	polledAt  time.Time
}

// New returns a home without orders.
func New(client TargetClient, catalog Catalog, logger logr.Logger) *Home {
	ctx, cancel := context.WithCancel(context.Background())
	h := &Home{
		client: client, catalog: catalog, logger: logger, ctx: ctx, cancel: cancel,
		schedulers: map[string]*Scheduler{}, orders: map[string]*pendingOrder{},
	}
	h.wg.Go(func() { guard.Keep(ctx, logger, "stages", h.tick) })
	return h
}

// tick advances the home until it is closed.
func (h *Home) tick() {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-tick.C:
		}
		h.advanceAll(time.Now())
	}
}

// advanceAll drops abandoned orders, advances the schedulers and sends reports.
func (h *Home) advanceAll(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, p := range h.orders {
		if now.Sub(p.polledAt) > abandonAfter {
			// Its host may have gone on with another home while this one was silent.
			h.releaseOrder(id, p)
		}
	}
	for region, sc := range h.schedulers {
		h.refreshServices(sc, region, sc.Services())
		h.logTight(sc, region, now)
		for service := range sc.models {
			sc.SetModels(service, h.catalog.Models(service, region))
		}
		h.advance(sc, now)
	}
	if now.Sub(h.reportedAt) >= reportInterval {
		h.reportedAt = now
		h.sendReports(now)
	}
}

// logTight logs when orders of a service begin or cease to be tight.
func (h *Home) logTight(sc *Scheduler, region string, now time.Time) {
	for name, q := range sc.queues {
		if isTight := q.isTight(now); isTight != q.wasTight {
			q.wasTight = isTight
			h.logger.Info("tight orders", "service", name, "region", region, "tight", isTight)
		}
	}
}

// start runs f in a goroutine of its own. A panic ends f only.
func (h *Home) start(task string, f func()) {
	h.wg.Go(func() { _ = guard.Run(h.logger, task, f) }) // Run logs the error
}

// sendReports sends the sessions and backlogs of this home to the homes of other
// regions.
func (h *Home) sendReports(now time.Time) {
	sessions := h.sessions
	h.sessions = nil
	if h.report == nil {
		return
	}
	for region, sc := range h.schedulers {
		if region == "" || now.Sub(sc.lastSubmit) > reportPeriod {
			continue
		}
		report := RegionReport{Region: region, Sessions: sessions, Backlogs: sc.Backlogs(now)}
		h.start("report", func() { h.report(h.ctx, report) })
	}
}

// refreshServices updates services of a scheduler from the catalog.
func (h *Home) refreshServices(sc *Scheduler, region string, services []string) {
	for _, name := range services {
		if spec, targets, ok := h.catalog.Stage(name, region); ok {
			sc.SetService(name, spec, targets)
		}
	}
}

// advance starts the calls that can be made now, or a little later if there was a plan just
// before.
func (h *Home) advance(sc *Scheduler, now time.Time) {
	if wait := planInterval - now.Sub(sc.plannedAt); wait > 0 {
		if !sc.planScheduled {
			sc.planScheduled = true
			time.AfterFunc(wait, func() { _ = guard.Run(h.logger, "stages", func() { h.advanceLater(sc) }) }) // Run logs the error
		}
		return
	}
	sc.plannedAt = now
	h.holdUnpolled(now)
	plansMade.Add(1)
	for service, calls := range sc.Plan(now) {
		for _, c := range calls {
			callsMade.Add(1)
			piecesSent.Add(int64(len(c.Pieces)))
			h.start("stage call", func() { h.runCall(sc, service, c) })
		}
	}
	if sc.HasFreed() && !h.freeScheduled {
		h.freeScheduled = true
		time.AfterFunc(freeDelay, func() { _ = guard.Run(h.logger, "free", h.sendFreed) }) // Run logs the error
	}
}

// holdUnpolled holds the orders for which no host polls. A home that was frozen does so before
// it starts anything.
func (h *Home) holdUnpolled(now time.Time) {
	if now.Sub(h.holdCheckedAt) < holdCheckInterval {
		return
	}
	h.holdCheckedAt = now
	for id, p := range h.orders {
		if !p.isHeld && now.Sub(p.polledAt) > holdAfter {
			ordersHeld.Add(1)
			p.isHeld = true
			p.scheduler.Hold(id)
		}
	}
}

// recordPoll records that a host polls for an order. The caller holds h.mu.
func (h *Home) recordPoll(id string, p *pendingOrder) {
	now := time.Now()
	p.polledAt = now
	if p.isHeld {
		p.isHeld = false
		p.scheduler.Resume(id, now)
		h.advance(p.scheduler, now)
	}
}

func (h *Home) advanceLater(sc *Scheduler) {
	h.mu.Lock()
	defer h.mu.Unlock()
	sc.planScheduled = false
	if h.ctx.Err() == nil {
		h.advance(sc, time.Now())
	}
}

// runCall makes a call, logs it and passes its outcome to the scheduler.
func (h *Home) runCall(sc *Scheduler, service string, c *Call) {
	ctx, cancel := context.WithTimeout(h.ctx, c.Timeout)
	outcomes, failure, err := h.client.Run(ctx, c)
	cancel()
	bindOutcomes(outcomes, c.Start)
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.logger.V(1).Info("stage call", "service", service, "target", c.Target, "pieces", len(c.Pieces), "took", now.Sub(c.started).String(),
		"expected", c.Expected.String(), "waiting", sc.Waiting(), "queued", sc.Queued(service), "failure", int(failure),
		"room", sc.targetSummary(service, c.Target))
	if failure != FailureNone {
		callsFailed.Add(1)
		h.logger.Info("stage call failed", "service", service, "target", c.Target, "pieces", len(c.Pieces),
			"took", now.Sub(c.started).String(), "expected", c.Expected.String(), "failure", int(failure), "err", errText(err))
	}
	h.holdUnpolled(now)
	sc.CompleteCall(service, c, outcomes, failure, now)
	h.advance(sc, now)
}

// errText returns the text of an error, or "" for none.
func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// Submit queues an order. Submitting one again has no effect.
func (h *Home) Submit(o Order) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	if p := h.orders[o.ID]; p != nil {
		h.recordPoll(o.ID, p)
		return
	}
	sc := h.schedulers[o.Region]
	if sc == nil {
		sc = NewScheduler(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
		h.schedulers[o.Region] = sc
	}
	p := &pendingOrder{scheduler: sc, done: make(chan struct{}), polledAt: now}
	h.orders[o.ID] = p
	var services []string
	for _, s := range o.Stages {
		services = append(services, s.Service)
	}
	h.refreshServices(sc, o.Region, services)
	if o.Region != "" && o.Service != "" && !sc.hasModels(o.Service) {
		sc.SetModels(o.Service, h.catalog.Models(o.Service, o.Region))
	}
	sc.lastSubmit = now
	sc.Submit(o, now, func(r Result) {
		p.result, p.isDone = r, true
		close(p.done)
		switch r.Reason {
		case ReasonBusy:
			ordersRefused.Add(1)
		case ReasonMoved:
			ordersMoved.Add(1)
			h.logger.Info("order moved", "id", o.Request, "from", o.Region, "to", r.Region)
		}
	})
	h.advance(sc, now)
}

// Await waits up to wait for the result of an order. If the result isn't done, the
// caller should call Await again.
func (h *Home) Await(ctx context.Context, id string, wait time.Duration) Result {
	h.mu.Lock()
	p := h.orders[id]
	if p != nil {
		h.recordPoll(id, p)
	}
	h.mu.Unlock()
	if p == nil {
		return Result{IsDone: true, Reason: ReasonUnknown}
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-p.done:
	case <-timer.C:
		h.mu.Lock()
		defer h.mu.Unlock()
		return Result{Progress: p.scheduler.Progress(id)}
	case <-ctx.Done():
		return Result{}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.orders, id)
	return p.result
}

// Drop ends an order whose caller has left, or frees the results of one that is
// done. handles are freed if this home doesn't know the order, since a previous home
// ran it. session is the target that the request went to, or zero if it went to none.
func (h *Home) Drop(id string, session SessionTarget, handles []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.orders, id)
	now := time.Now()
	isKnown := false
	for _, sc := range h.schedulers {
		isKnown = sc.Drop(id) || isKnown
		sc.RecordSession(session, now)
	}
	for _, sc := range h.schedulers {
		if !isKnown {
			sc.FreeHandles(handles)
		}
		h.advance(sc, now)
	}
	if session.Session != "" && h.report != nil {
		h.sessions = append(h.sessions, session)
	}
}

// Release ends an order with which another home goes on, since this one seemed not to answer.
// What it has made is that home's.
func (h *Home) Release(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p := h.orders[id]; p != nil {
		h.releaseOrder(id, p)
		h.advance(p.scheduler, time.Now())
	}
}

// releaseOrder ends an order with which another home may go on. The caller holds h.mu.
func (h *Home) releaseOrder(id string, p *pendingOrder) {
	ordersGiven.Add(1)
	delete(h.orders, id)
	p.scheduler.Release(id)
}

// HandleReport passes a report from the home of another region to the schedulers.
func (h *Home) HandleReport(report RegionReport) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	for region, sc := range h.schedulers {
		if region != report.Region {
			sc.HandleReport(report, now)
		}
	}
}

// SetReporter sets the function that sends reports to the homes of other regions. It
// must be called before the first order.
func (h *Home) SetReporter(report func(ctx context.Context, report RegionReport)) { h.report = report }

// sendFreed sends the freed results to their targets.
func (h *Home) sendFreed() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.freeScheduled = false
	if h.ctx.Err() != nil {
		return
	}
	for _, sc := range h.schedulers {
		for service, targets := range sc.TakeFreed(time.Now()) {
			for id, handles := range targets {
				if target, ok := sc.Target(service, id); ok {
					h.start("free", func() { h.sendFree(sc, target, handles) })
				}
			}
		}
		h.advance(sc, time.Now())
	}
}

// sendFree frees results at one target, later if it wants no requests now.
func (h *Home) sendFree(sc *Scheduler, target Target, handles []string) {
	ctx, cancel := context.WithTimeout(h.ctx, freeTimeout)
	defer cancel()
	err := h.client.Free(ctx, target, handles)
	if err == nil {
		return
	}
	h.logger.V(1).Info("failed to free results", "target", target.ID, "results", len(handles), "err", err.Error())
	if errors.Is(err, notice.ErrBusy) {
		time.AfterFunc(busyFreeDelay, func() {
			_ = guard.Run(h.logger, "free", func() { h.freeAgain(sc, handles) }) // Run logs the error
		})
	}
}

// freeAgain frees results that couldn't be freed.
func (h *Home) freeAgain(sc *Scheduler, handles []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ctx.Err() == nil {
		sc.FreeHandles(handles)
		h.advance(sc, time.Now())
	}
}

// Waiting returns the number of orders that aren't released yet.
func (h *Home) Waiting() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, sc := range h.schedulers {
		n += sc.Waiting()
	}
	return n
}

// Name returns the name of this controller.
func (h *Home) Name() string { return "batch" }

// Close cancels all calls and waits for them to end.
func (h *Home) Close() {
	h.cancel()
	h.wg.Wait()
}
