package batch

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"chivepost/share/fleet"
)

var (
	callsMade   = expvar.NewInt("stage_calls_count")
	piecesSent  = expvar.NewInt("stage_pieces_count")
	callsFailed = expvar.NewInt("stage_calls_failed_count")
	jobsRefused = expvar.NewInt("stage_jobs_refused_count")
)

const (
	// tickEvery is how often waiting jobs are looked at where nothing else happens.
	tickEvery = 100 * time.Millisecond
	// freeEvery is how long results that were given up are gathered before their
	// targets are told.
	freeEvery = 60 * time.Millisecond
	// forgetAfter is how long a job whose host doesn't ask for it is kept.
	forgetAfter = 2500 * time.Millisecond
)

// Caller makes calls to stage targets.
type Caller interface {
	Run(ctx context.Context, c *Call) ([]Made, Failure, error)
	Free(ctx context.Context, target, address string, handles []string) error
}

// Stock tells the service's figures and its targets at hand.
type Stock interface {
	Stage(service string) (fleet.Batching, []Target, bool)
}

// Home keeps the queues of the services that this host is home of.
type Home struct {
	caller Caller
	stock  Stock
	logger logr.Logger
	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup

	mu     sync.Mutex
	queues map[string]*Queue
	jobs   map[string]*ticket
	frees  map[string]map[string][]string // service, target, handles
}

// ticket is a job that another host, or this one, waits for.
type ticket struct {
	service string
	result  Result
	done    chan struct{}
	asked   time.Time
}

// New returns a home without jobs.
func New(caller Caller, stock Stock, logger logr.Logger) *Home {
	ctx, cancel := context.WithCancel(context.Background())
	h := &Home{
		caller: caller, stock: stock, logger: logger, ctx: ctx, cancel: cancel,
		queues: map[string]*Queue{}, jobs: map[string]*ticket{}, frees: map[string]map[string][]string{},
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
		for id, t := range h.jobs {
			if now.Sub(t.asked) > forgetAfter {
				if q := h.queues[t.service]; q != nil {
					q.Drop(id)
				}
				delete(h.jobs, id)
			}
		}
		for service := range h.queues {
			h.advance(service, now)
		}
		h.mu.Unlock()
	}
}

// queue returns the queue of a service, or nil if there is no such service.
func (h *Home) queue(service string) *Queue {
	spec, targets, ok := h.stock.Stage(service)
	q := h.queues[service]
	if !ok {
		return q
	}
	if q == nil {
		q = NewQueue(spec)
		h.queues[service] = q
	}
	q.SetSpec(spec)
	q.SetTargets(targets)
	return q
}

// advance makes the calls that can be made now.
func (h *Home) advance(service string, now time.Time) {
	q := h.queue(service)
	if q == nil {
		return
	}
	q.Expire(now)
	if lost := q.Orphans(); len(lost) > 0 {
		h.free(service, q, lost)
	}
	for _, c := range q.Plan(now) {
		callsMade.Add(1)
		piecesSent.Add(int64(len(c.Pieces)))
		h.wait.Go(func() { h.run(service, c) })
	}
}

func (h *Home) run(service string, c *Call) {
	ctx, cancel := context.WithTimeout(h.ctx, c.Limit)
	made, failure, err := h.caller.Run(ctx, c)
	cancel()
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	if failure != FailureNone {
		callsFailed.Add(1)
		h.logger.Info("stage call failed", "service", service, "target", c.Target, "pieces", len(c.Pieces),
			"took", now.Sub(c.started).String(), "expected", c.Expected.String(), "failure", int(failure), "err", errText(err))
	}
	if q := h.queues[service]; q != nil {
		q.Done(c, made, failure, now)
		h.advance(service, now)
	}
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// Submit takes a job. Taking one again changes nothing.
func (h *Home) Submit(j Job) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	if t := h.jobs[j.ID]; t != nil {
		t.asked = now
		return
	}
	t := &ticket{service: j.Service, done: make(chan struct{}), asked: now}
	h.jobs[j.ID] = t
	finish := func(r Result) {
		t.result = r
		close(t.done)
		if r.Reason == ReasonBusy {
			jobsRefused.Add(1)
		}
	}
	q := h.queue(j.Service)
	if q == nil {
		finish(Result{IsDone: true, Reason: ReasonFailed})
		return
	}
	q.Add(j, now, finish)
	h.advance(j.Service, now)
}

// Await waits for a job for up to wait. A result that isn't done may be asked
// for again.
func (h *Home) Await(ctx context.Context, id string, wait time.Duration) Result {
	h.mu.Lock()
	t := h.jobs[id]
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
		return Result{}
	case <-ctx.Done():
		return Result{}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.jobs, id)
	return t.result
}

// Drop ends a job whose caller has left.
func (h *Home) Drop(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if t := h.jobs[id]; t != nil {
		if q := h.queues[t.service]; q != nil {
			q.Drop(id)
		}
		delete(h.jobs, id)
	}
}

// Free gives up results. Their targets are told in one call each.
func (h *Home) Free(service string, handles []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if q := h.queues[service]; q != nil {
		h.free(service, q, handles)
		h.advance(service, time.Now())
	}
}

func (h *Home) free(service string, q *Queue, handles []string) {
	first := len(h.frees) == 0
	for target, list := range q.Free(handles) {
		if h.frees[service] == nil {
			h.frees[service] = map[string][]string{}
		}
		h.frees[service][target] = append(h.frees[service][target], list...)
	}
	if first && len(h.frees) > 0 {
		time.AfterFunc(freeEvery, h.tellFrees)
	}
}

func (h *Home) tellFrees() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ctx.Err() != nil {
		return
	}
	for service, targets := range h.frees {
		for target, handles := range targets {
			address, ok := h.queues[service].Address(target)
			if !ok {
				continue
			}
			h.wait.Go(func() {
				ctx, cancel := context.WithTimeout(h.ctx, time.Second)
				defer cancel()
				if err := h.caller.Free(ctx, target, address, handles); err != nil {
					h.logger.V(1).Info("results not freed", "target", target, "results", len(handles), "err", err.Error())
				}
			})
		}
	}
	clear(h.frees)
}

// Waiting returns the number of pieces that wait.
func (h *Home) Waiting() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, q := range h.queues {
		n += q.Len()
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
