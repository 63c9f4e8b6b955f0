// Package queue holds the calls that wait for a slot of a target and hands slots
// out: by fair shares between accounts, and by slack within an account.
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

// Errors of Acquire besides those of its context. Nothing was sent.
var (
	ErrDeadline = errors.New("the deadline can't be met any more")
	ErrFull     = errors.New("the queue is full")
	ErrClosed   = errors.New("the queue is closed")
)

// Hold is one slot in use. Check is called immediately before the send; Done
// gives the slot back, once.
type Hold interface {
	Check() error
	Fence() uint64
	Done(res target.Result, took time.Duration)
}

// Slots are the slots that this host may use. The queue calls View, Take and
// Want under its lock, so they neither block nor call the queue. The slice of
// View is only read.
type Slots interface {
	View(pool string) []route.Target
	// Take returns false when the target has no slot any more.
	Take(name string) (Hold, bool)
	// SetWaiting tells how many calls wait for slots of the pool.
	SetWaiting(pool string, n int)
	// Changed is ready to receive when slots may have become free.
	Changed() <-chan struct{}
}

// Job is one call to place.
type Job struct {
	Pool    string
	Account string
	// Share weighs the account against others; values below 1 count as 1.
	Share int
	// Deadline is that of the request; the zero time means none.
	Deadline time.Time
	// Expected is the service time of this and the later stages.
	Expected time.Duration
	// Priority goes before slack; a higher one comes first.
	Priority int
	Prefix   uint64
	Exclude  route.Set
}

// Slot is a slot taken for a job. Its holder must call Done.
type Slot struct {
	Hold
	Target route.Target
	Waited time.Duration
}

// Options sets a queue. The zero value selects the defaults.
type Options struct {
	DataCentre string
	Region     string
	// MaxPool and MaxAccount bound the calls that wait per pool, and per account
	// in a pool (defaults 4096 and 1024).
	MaxPool    int
	MaxAccount int
	// PreferredWait is how long a call waits for the target that is likely to have its
	// prefix while others are free: less than the time to compute a prefix (default
	// 100 ms, none if below 0).
	PreferredWait time.Duration
	// FIFO serves calls in order of arrival and drops none early. The baselines
	// use it.
	FIFO bool
}

// Queue hands out slots to waiting calls. It is safe for concurrent use.
type Queue struct {
	opts   Options
	slots  Slots
	policy route.Policy
	logger logr.Logger
	spill  time.Duration
	homes  homes

	mu     sync.Mutex
	pools  map[string]*pool
	closed chan struct{}
	once   sync.Once
	ended  sync.WaitGroup
}

// homes is a policy that knows where the prefix of a call is likely to be cached.
type homes interface {
	Preferred(req route.Request, targets []route.Target) int
}

// New returns a queue that is to be closed.
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
		q.spill = s.SpillWait()
	}
	q.homes, _ = policy.(homes)
	q.ended.Go(func() {
		for {
			// The channel is read before the dispatch, so that a change during the
			// dispatch is seen by the next receive.
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

// Close ends the queue; waiting calls get ErrClosed.
func (q *Queue) Close() {
	q.once.Do(func() { close(q.closed) })
	q.ended.Wait()
}

// Acquire waits for a slot. The error is ErrDeadline, ErrFull, ErrClosed or that
// of ctx.
func (q *Queue) Acquire(ctx context.Context, job Job) (Slot, error) {
	if err := ctx.Err(); err != nil {
		return Slot{}, err
	}
	w, err := q.enter(job)
	if err != nil {
		return Slot{}, err
	}
	return q.await(ctx, w)
}

// enter puts the job in its line and hands out slots.
func (q *Queue) enter(job Job) (*waiter, error) {
	now := time.Now()
	w := &waiter{job: job, since: now, ready: make(chan struct{})}
	if !job.Deadline.IsZero() {
		w.latest = job.Deadline.Add(-job.Expected)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.opts.FIFO && w.isLate(now) {
		return nil, ErrDeadline
	}
	p := q.pools[job.Pool]
	if p == nil {
		p = &pool{name: job.Pool, lines: map[string]*line{}, byAccount: map[string]*meter{}, plain: q.opts.FIFO}
		q.pools[job.Pool] = p
	}
	if !p.add(w, q.opts) {
		return nil, ErrFull
	}
	q.dispatchIfFree(p, now)
	return w, nil
}

// await waits until the job has a slot or must leave.
func (q *Queue) await(ctx context.Context, w *waiter) (Slot, error) {
	timer := time.NewTimer(q.nextLook(w))
	defer timer.Stop()
	for {
		select {
		case <-w.ready:
			return w.slot, w.err
		case <-ctx.Done():
			return q.leave(w, ctx.Err())
		case <-q.closed:
			return q.leave(w, ErrClosed)
		case <-timer.C:
			q.look(w)
			timer.Reset(q.nextLook(w))
		}
	}
}

// nextLook returns when the job's own state changes: when it may go to another
// target than its preferred one or to another region, or when it can't be served
// in time any more.
func (q *Queue) nextLook(w *waiter) time.Duration {
	now := time.Now()
	next := 24 * time.Hour
	if !q.opts.FIFO && !w.latest.IsZero() {
		next = max(w.latest.Sub(now)+1, 1)
	}
	for _, wait := range []time.Duration{q.opts.PreferredWait, q.spill} {
		if d := wait - now.Sub(w.since); d > 0 {
			next = min(next, d)
		}
	}
	return next
}

// look drops the job when it is late, and hands out slots otherwise: it may now go
// further.
func (q *Queue) look(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	p, now := q.pools[w.job.Pool], time.Now()
	if !w.isServed() && !q.opts.FIFO && w.isLate(now) {
		p.remove(w)
		w.finish(Slot{}, ErrDeadline)
		q.want(p)
		return
	}
	q.dispatchIfFree(p, now)
}

// dispatchIfFree spares the view of the slots when the last dispatch left calls
// waiting and no free slot: the change of the slots then starts the next one.
func (q *Queue) dispatchIfFree(p *pool, now time.Time) {
	if p.waiting > 1 && len(p.free) == 0 {
		q.want(p)
		return
	}
	q.dispatch(p, now)
}

// leave takes the job out of its line; a slot that it was given meanwhile goes back.
func (q *Queue) leave(w *waiter, err error) (Slot, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	p := q.pools[w.job.Pool]
	if !w.isServed() {
		p.remove(w)
		q.want(p)
	} else if w.err == nil {
		w.slot.Done(target.Result{Sent: target.SentNo, Err: err}, 0)
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

// dispatch hands out the free slots of the pool.
func (q *Queue) dispatch(p *pool, now time.Time) {
	if p.waiting > 0 {
		p.see(q.slots.View(p.name))
		for p.waiting > 0 && len(p.free) > 0 && p.next(
			func(l *line, look *int) bool { return q.serveHome(p, l, now, look) },
			func(l *line, _ *int) bool { return q.serve(p, l, now) }) {
		}
	}
	q.want(p)
}

// serveHome places one of the first jobs of the line at the target where its prefix
// is cached, unless the first job can't wait any longer. It examines up to look
// jobs and counts them off.
func (q *Queue) serveHome(p *pool, l *line, now time.Time, look *int) bool {
	const window = 32
	if q.homes == nil || l.jobs[0].isUrgent(now) {
		return false
	}
	for _, w := range l.jobs[:min(window, *look, len(l.jobs))] {
		*look--
		if q.isHomeFree(p, w) && q.place(p, w, now) {
			return true
		}
	}
	return false
}

// waitsForHome reports whether the job would rather wait for the target that has
// its prefix than compute the prefix elsewhere.
func (q *Queue) waitsForHome(p *pool, w *waiter, now time.Time) bool {
	return q.homes != nil && now.Sub(w.since) < q.opts.PreferredWait && !w.isUrgent(now) && q.homeOf(p, w) != ""
}

// serve places one of the first jobs of the line. A job that no target can take
// now, since it was tried there before or may not leave the region yet, does not
// hold up those behind it.
func (q *Queue) serve(p *pool, l *line, now time.Time) bool {
	const tries = 4
	for _, w := range l.jobs[:min(tries, len(l.jobs))] {
		if !q.waitsForHome(p, w, now) && q.place(p, w, now) {
			return true
		}
	}
	return false
}

// isHomeFree reports whether the target that has the job's prefix has a free slot.
// The home of a job is found once: it changes only with the targets of the pool.
func (q *Queue) isHomeFree(p *pool, w *waiter) bool {
	home := q.homeOf(p, w)
	if home == "" {
		return false
	}
	for _, i := range p.free {
		if p.view[i].Name == home {
			return true
		}
	}
	return false
}

func (q *Queue) homeOf(p *pool, w *waiter) string {
	if !w.homeKnown {
		w.homeKnown = true
		if i := q.homes.Preferred(q.request(p, w, 0), p.view); i >= 0 {
			w.home = p.view[i].Name
		}
	}
	return w.home
}

func (q *Queue) request(p *pool, w *waiter, wait time.Duration) route.Request {
	return route.Request{
		Pool: p.name, Prefix: w.job.Prefix, DataCentre: q.opts.DataCentre, Region: q.opts.Region,
		Wait: wait, Exclude: w.job.Exclude,
	}
}

func (q *Queue) place(p *pool, w *waiter, now time.Time) bool {
	if !q.opts.FIFO && w.isLate(now) {
		// Its own timer ends it.
		return false
	}
	req := q.request(p, w, now.Sub(w.since))
	for {
		i := q.policy.Pick(req, p.view)
		if i < 0 {
			return false
		}
		hold, ok := q.slots.Take(p.view[i].Name)
		if !ok {
			// The view was older than the slots.
			p.use(i, p.view[i].Free)
			continue
		}
		p.use(i, 1)
		p.view[i].InUse++
		p.remove(w)
		p.served(w.job.Account, now)
		w.finish(Slot{Hold: hold, Target: p.view[i], Waited: req.Wait}, nil)
		return true
	}
}

func (q *Queue) want(p *pool) {
	if p.wanted != p.waiting {
		p.wanted = p.waiting
		q.slots.SetWaiting(p.name, p.waiting)
	}
}
