// Package queue holds the calls that wait for a slot of a target and assigns slots to
// them: by fair shares between accounts, and by slack within an account.
package queue

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"chivepost/entry/internal/route"
	"chivepost/share/target"
)

// Errors that Acquire returns besides those of its context. With all of them, no call
// was sent.
var (
	ErrDeadline = errors.New("the deadline can no longer be met")
	ErrFull     = errors.New("the queue is full")
	ErrClosed   = errors.New("the queue is closed")
)

// Hold is a slot in use. Check is called immediately before the call is sent and fails
// if the slot may no longer be used. Done returns the slot and must be called once.
type Hold interface {
	Check() error
	Fence() uint64
	Done(res target.Result, took time.Duration)
}

// Slots manages the slots that this host may use. The queue calls View, Take and
// SetWaiting under its lock, so they must neither block nor call the queue. The queue
// doesn't modify the slice that View returns.
type Slots interface {
	View(pool string) []route.Target
	// Take takes a slot of the target. It returns false if none is left.
	Take(name string) (Hold, bool)
	// SetWaiting sets the number of calls that wait for slots of the pool.
	SetWaiting(pool string, n int)
	// Changed returns a channel that becomes readable when slots may have become free.
	Changed() <-chan struct{}
}

// Job describes a call that needs a slot.
type Job struct {
	Pool    string
	Account string
	// Share is the weight of the account; values below 1 count as 1.
	Share int
	// Deadline is the deadline of the request; the zero time means none.
	Deadline time.Time
	// Expected is the expected service time of this stage and the later ones.
	Expected time.Duration
	// Priority takes precedence over slack; higher values are served first.
	Priority int
	Prefix   uint64
	Exclude  route.Set
}

// Slot is a slot assigned to a job. The caller of Acquire must call Done.
type Slot struct {
	Hold
	Target route.Target
	Waited time.Duration
}

// Options configures a queue. The zero value selects the defaults.
type Options struct {
	DataCentre string
	Region     string
	// MaxPool and MaxAccount limit the number of calls that wait per pool, and per
	// account in a pool (defaults 4096 and 1024).
	MaxPool    int
	MaxAccount int
	// PreferredWait is how long a call waits for the target that probably has its prefix
	// cached while others are free. It should be less than the time to compute a prefix
	// (default 100 ms; a negative value disables the wait).
	PreferredWait time.Duration
	// FIFO serves calls in order of arrival and keeps those that can no longer be served
	// in time. The baseline policies use it.
	FIFO bool
}

// Queue assigns slots to waiting calls. It is safe for concurrent use.
type Queue struct {
	opts      Options
	slots     Slots
	policy    route.Policy
	logger    logr.Logger
	spillWait time.Duration
	preferrer preferrer

	mu        sync.Mutex
	pools     map[string]*pool
	closed    chan struct{}
	closeOnce sync.Once
	workers   sync.WaitGroup
}

// preferrer is implemented by policies that predict which target has the prefix of a
// call cached.
type preferrer interface {
	Preferred(req route.Request, targets []route.Target) int
}

// New returns a queue and starts its dispatcher, which runs until Close.
func New(opts Options, slots Slots, policy route.Policy, logger logr.Logger) *Queue {
	if opts.MaxPool == 0 {
		opts.MaxPool = 4096
	}
	if opts.MaxAccount == 0 {
		opts.MaxAccount = 1024
	}
	if opts.PreferredWait == 0 {
		opts.PreferredWait = 100 * time.Millisecond
	}
	q := &Queue{
		opts: opts, slots: slots, policy: policy, logger: logger.WithName("queue"),
		pools: map[string]*pool{}, closed: make(chan struct{}),
	}
	if s, ok := policy.(interface{ SpillWait() time.Duration }); ok {
		q.spillWait = s.SpillWait()
	}
	q.preferrer, _ = policy.(preferrer)
	q.workers.Go(func() {
		for {
			// Get the channel before the dispatch, so that a change during the
			// dispatch isn't missed.
			changed := q.slots.Changed()
			q.dispatchAll()
			select {
			case <-changed:
			case <-q.closed:
				return
			}
		}
	})
	return q
}

// Close stops the queue. Waiting calls return ErrClosed.
func (q *Queue) Close() {
	q.closeOnce.Do(func() { close(q.closed) })
	q.workers.Wait()
}

// Acquire waits for a slot. The error is ErrDeadline, ErrFull, ErrClosed or the error
// of ctx.
func (q *Queue) Acquire(ctx context.Context, job Job) (Slot, error) {
	if err := ctx.Err(); err != nil {
		return Slot{}, err
	}
	w, err := q.enqueue(job)
	if err != nil {
		return Slot{}, err
	}
	return q.wait(ctx, w)
}

// enqueue adds the job to its account's queue and dispatches free slots.
func (q *Queue) enqueue(job Job) (*waiter, error) {
	now := time.Now()
	w := &waiter{job: job, enqueued: now, ready: make(chan struct{})}
	if !job.Deadline.IsZero() {
		w.latestStart = job.Deadline.Add(-job.Expected)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.opts.FIFO && w.isLate(now) {
		return nil, ErrDeadline
	}
	p := q.pools[job.Pool]
	if p == nil {
		p = &pool{name: job.Pool, queues: map[string]*accountQueue{}, byAccount: map[string]*rateMeter{}, fifo: q.opts.FIFO}
		q.pools[job.Pool] = p
	}
	if !p.add(w, q.opts) {
		return nil, ErrFull
	}
	q.dispatchIfFree(p, now)
	return w, nil
}

// wait waits until the job has a slot, is dropped or is cancelled.
func (q *Queue) wait(ctx context.Context, w *waiter) (Slot, error) {
	timer := time.NewTimer(q.nextCheck(w))
	defer timer.Stop()
	for {
		select {
		case <-w.ready:
			return w.slot, w.err
		case <-ctx.Done():
			return q.cancel(w, ctx.Err())
		case <-q.closed:
			return q.cancel(w, ErrClosed)
		case <-timer.C:
			q.check(w)
			timer.Reset(q.nextCheck(w))
		}
	}
}

// nextCheck returns the time until the job has to be checked again: until it may use a
// target other than the preferred one, may go to another region, or can no longer be
// served in time.
func (q *Queue) nextCheck(w *waiter) time.Duration {
	now := time.Now()
	next := 24 * time.Hour
	if !q.opts.FIFO && !w.latestStart.IsZero() {
		next = max(w.latestStart.Sub(now)+1, 1)
	}
	for _, wait := range []time.Duration{q.opts.PreferredWait, q.spillWait} {
		if d := wait - now.Sub(w.enqueued); d > 0 {
			next = min(next, d)
		}
	}
	return next
}

// check drops the job if it is late. Otherwise it dispatches, since the job may now go
// to more targets.
func (q *Queue) check(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	p, now := q.pools[w.job.Pool], time.Now()
	if !w.isDone() && !q.opts.FIFO && w.isLate(now) {
		p.remove(w)
		w.finish(Slot{}, ErrDeadline)
		q.reportWaiting(p)
		return
	}
	q.dispatchIfFree(p, now)
}

// dispatchIfFree dispatches unless the last dispatch left calls waiting and no slot free.
// In that case getting a new view of the slots would be wasted: a change of the slots
// triggers the next dispatch.
func (q *Queue) dispatchIfFree(p *pool, now time.Time) {
	if p.waiting > 1 && len(p.free) == 0 {
		q.reportWaiting(p)
		return
	}
	q.dispatch(p, now)
}

// cancel removes the job from the queue. If a slot has been assigned to it meanwhile, the
// slot is returned.
func (q *Queue) cancel(w *waiter, err error) (Slot, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	p := q.pools[w.job.Pool]
	if !w.isDone() {
		p.remove(w)
		q.reportWaiting(p)
	} else if w.err == nil {
		w.slot.Done(target.Result{Execution: target.NotExecuted, Err: err}, 0)
	}
	return Slot{}, err
}

func (q *Queue) dispatchAll() {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	for _, p := range q.pools {
		q.dispatch(p, now)
	}
}

// dispatch assigns the free slots of the pool to waiting jobs.
func (q *Queue) dispatch(p *pool, now time.Time) {
	if p.waiting > 0 {
		p.setView(q.slots.View(p.name))
		for p.waiting > 0 && len(p.free) > 0 && p.serveNext(
			func(aq *accountQueue, scanBudget *int) bool { return q.servePreferred(p, aq, now, scanBudget) },
			func(aq *accountQueue, _ *int) bool { return q.serve(p, aq, now) }) {
		}
	}
	q.reportWaiting(p)
}

// servePreferred places one of the first jobs of the account's queue at the target that
// probably has its prefix cached, unless the first job is urgent. It examines up to
// scanBudget jobs and subtracts their number from it.
func (q *Queue) servePreferred(p *pool, aq *accountQueue, now time.Time, scanBudget *int) bool {
	const window = 32
	if q.preferrer == nil || aq.jobs[0].isUrgent(now) {
		return false
	}
	for _, w := range aq.jobs[:min(window, *scanBudget, len(aq.jobs))] {
		*scanBudget--
		if q.isPreferredFree(p, w) && q.place(p, w, now) {
			return true
		}
	}
	return false
}

// waitsForPreferred reports whether the job should still wait for the target that probably
// has its prefix cached, rather than compute the prefix elsewhere.
func (q *Queue) waitsForPreferred(p *pool, w *waiter, now time.Time) bool {
	return q.preferrer != nil && now.Sub(w.enqueued) < q.opts.PreferredWait && !w.isUrgent(now) && q.preferredTarget(p, w) != ""
}

// serve places one of the first jobs of the account's queue. A job that no free target
// may take, because it has failed there or may not leave the region yet, doesn't block
// those behind it.
func (q *Queue) serve(p *pool, aq *accountQueue, now time.Time) bool {
	const maxTries = 4
	for _, w := range aq.jobs[:min(maxTries, len(aq.jobs))] {
		if !q.waitsForPreferred(p, w, now) && q.place(p, w, now) {
			return true
		}
	}
	return false
}

// isPreferredFree reports whether the preferred target of the job has a free slot.
func (q *Queue) isPreferredFree(p *pool, w *waiter) bool {
	preferred := q.preferredTarget(p, w)
	if preferred == "" {
		return false
	}
	for _, i := range p.free {
		if p.view[i].Name == preferred {
			return true
		}
	}
	return false
}

// preferredTarget returns the name of the job's preferred target, "" for none. It is
// computed once per job, since it changes only with the targets of the pool.
func (q *Queue) preferredTarget(p *pool, w *waiter) string {
	if !w.preferredKnown {
		w.preferredKnown = true
		if i := q.preferrer.Preferred(q.request(p, w, 0), p.view); i >= 0 {
			w.preferred = p.view[i].Name
		}
	}
	return w.preferred
}

func (q *Queue) request(p *pool, w *waiter, wait time.Duration) route.Request {
	return route.Request{
		Pool: p.name, Prefix: w.job.Prefix, DataCentre: q.opts.DataCentre, Region: q.opts.Region,
		Wait: wait, Exclude: w.job.Exclude,
	}
}

// place assigns a slot to the job and reports whether it did.
func (q *Queue) place(p *pool, w *waiter, now time.Time) bool {
	if !q.opts.FIFO && w.isLate(now) {
		// The job's timer drops it.
		return false
	}
	req := q.request(p, w, now.Sub(w.enqueued))
	for {
		i := q.policy.Pick(req, p.view)
		if i < 0 {
			return false
		}
		hold, ok := q.slots.Take(p.view[i].Name)
		if !ok {
			// The view is out of date: the target has no slot left.
			p.takeSlots(i, p.view[i].Free)
			continue
		}
		p.takeSlots(i, 1)
		p.view[i].InUse++
		p.remove(w)
		p.countServed(w.job.Account, now)
		w.finish(Slot{Hold: hold, Target: p.view[i], Waited: req.Wait}, nil)
		return true
	}
}

// reportWaiting passes the number of waiting jobs to the slots if it has changed.
func (q *Queue) reportWaiting(p *pool) {
	if p.reported != p.waiting {
		p.reported = p.waiting
		q.slots.SetWaiting(p.name, p.waiting)
	}
}
