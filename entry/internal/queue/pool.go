package queue

import (
	"cmp"
	"math"
	"slices"
	"time"

	"chivepost/entry/internal/route"
)

// waiter is a queued job. The queue's lock guards all fields except job and enqueued
// until ready is closed.
type waiter struct {
	job      Job
	enqueued time.Time
	// latestStart is when service must start at the latest; zero means no limit.
	latestStart time.Time
	// preferred is the target that probably has the prefix cached, "" for none. It is
	// valid once preferredKnown is set.
	preferred      string
	preferredKnown bool
	ready          chan struct{}
	slot           Slot
	err            error
}

// finish sets the result and ends the wait.
func (w *waiter) finish(s Slot, err error) {
	w.slot, w.err = s, err
	close(w.ready)
}

func (w *waiter) isDone() bool {
	select {
	case <-w.ready:
		return true
	default:
		return false
	}
}

func (w *waiter) isLate(now time.Time) bool {
	return !w.latestStart.IsZero() && now.After(w.latestStart)
}

// isUrgent reports whether the job has too little slack left to let others go first.
func (w *waiter) isUrgent(now time.Time) bool {
	const margin = 100 * time.Millisecond
	return !w.latestStart.IsZero() && w.latestStart.Sub(now) < margin
}

// compareWaiters orders the jobs of an account by priority, then by slack. The slack of
// all jobs shrinks at the same rate, so their order doesn't change while they wait.
func compareWaiters(a, b *waiter) int {
	if c := cmp.Compare(b.job.Priority, a.job.Priority); c != 0 {
		return c
	}
	switch {
	case a.latestStart.IsZero() && b.latestStart.IsZero():
		return 0
	case a.latestStart.IsZero():
		return 1
	case b.latestStart.IsZero():
		return -1
	}
	return a.latestStart.Compare(b.latestStart)
}

// accountQueue holds the waiting jobs of an account in the order of service, and the
// account's state in deficit round robin. It is removed when it becomes empty, so that
// an idle account accumulates no deficit.
type accountQueue struct {
	account string
	share   float64
	deficit float64
	jobs    []*waiter
}

// pool holds the jobs that wait for the targets of a pool.
type pool struct {
	name   string
	fifo   bool
	queues map[string]*accountQueue
	order  []*accountQueue
	cursor int
	// waiting is the number of queued jobs, reported the number last passed to
	// Slots.SetWaiting.
	waiting  int
	reported int
	// view is the state of the targets at the last dispatch, free the indices of those
	// with free slots.
	view []route.Target
	free []int
	// all and byAccount measure the rate at which jobs are served.
	all       rateMeter
	byAccount map[string]*rateMeter
}

// meterTimeConstant is the time over which a rateMeter averages: long enough for a few
// calls of a slow pool, short compared with the deadlines of requests.
const meterTimeConstant = 2 * time.Second

// rateMeter measures a rate as an exponentially decaying count.
type rateMeter struct {
	count float64
	at    time.Time
}

func (m *rateMeter) decay(now time.Time) {
	m.count *= math.Exp(-now.Sub(m.at).Seconds() / meterTimeConstant.Seconds())
	m.at = now
}

// rate returns the events per second.
func (m *rateMeter) rate(now time.Time) float64 {
	m.decay(now)
	return m.count / meterTimeConstant.Seconds()
}

// countServed counts a served job of the account.
func (p *pool) countServed(account string, now time.Time) {
	m := p.byAccount[account]
	if m == nil {
		p.dropIdleMeters(now)
		m = &rateMeter{at: now}
		p.byAccount[account] = m
	}
	m.decay(now)
	m.count++
	p.all.decay(now)
	p.all.count++
}

// dropIdleMeters deletes the meters of accounts that no longer call, which would
// otherwise accumulate.
func (p *pool) dropIdleMeters(now time.Time) {
	if len(p.byAccount) < 64+2*len(p.queues) {
		return
	}
	for account, m := range p.byAccount {
		if m.rate(now) < 0.01 {
			delete(p.byAccount, account)
		}
	}
}

// expectedWait estimates how long a new job of the account would wait: the length of the
// account's queue divided by the rate at which the account is served. The rate is at
// least the account's fair share of the pool's rate, which an account that has just
// begun to call will get.
func (p *pool) expectedWait(account string, share int, now time.Time) time.Duration {
	aq := p.queues[account]
	if p.waiting == 0 || aq == nil {
		return 0
	}
	shares := 0.0
	for _, o := range p.order {
		shares += o.share
	}
	rate := p.all.rate(now) * float64(max(1, share)) / shares
	if m := p.byAccount[account]; m != nil {
		rate = max(rate, m.rate(now))
	}
	const longest = time.Hour
	if seconds := float64(len(aq.jobs)) / rate; seconds < longest.Seconds() {
		return time.Duration(seconds * float64(time.Second))
	}
	return longest
}

// add queues the job. It returns false if the pool or the account's queue is full.
func (p *pool) add(w *waiter, opts Options) bool {
	account := w.job.Account
	if p.fifo {
		account = ""
	}
	aq := p.queues[account]
	if p.waiting >= opts.MaxPool || (aq != nil && !p.fifo && len(aq.jobs) >= opts.MaxAccount) {
		return false
	}
	if aq == nil {
		aq = &accountQueue{account: account}
		p.queues[account] = aq
		p.order = append(p.order, aq)
	}
	aq.share = float64(max(1, w.job.Share))
	at := len(aq.jobs)
	if !p.fifo {
		// Insert the job after those that compare equal.
		at, _ = slices.BinarySearchFunc(aq.jobs, w, func(a, b *waiter) int {
			if compareWaiters(a, b) <= 0 {
				return -1
			}
			return 1
		})
	}
	aq.jobs = slices.Insert(aq.jobs, at, w)
	p.waiting++
	return true
}

// remove removes the job from its account's queue, where it must be.
func (p *pool) remove(w *waiter) {
	account := w.job.Account
	if p.fifo {
		account = ""
	}
	aq := p.queues[account]
	at := slices.Index(aq.jobs, w)
	aq.jobs = slices.Delete(aq.jobs, at, at+1)
	p.waiting--
	if len(aq.jobs) > 0 {
		return
	}
	delete(p.queues, account)
	k := slices.Index(p.order, aq)
	p.order = slices.Delete(p.order, k, k+1)
	if p.cursor > k {
		p.cursor--
	}
}

// setView replaces the view of the targets.
func (p *pool) setView(view []route.Target) {
	p.view = append(p.view[:0], view...)
	p.free = p.free[:0]
	for i := range p.view {
		if p.view[i].Free > 0 {
			p.free = append(p.free, i)
		}
	}
}

// takeSlots marks n slots of target i as used in the view.
func (p *pool) takeSlots(i, n int) {
	p.view[i].Free -= n
	if p.view[i].Free <= 0 {
		p.free = slices.DeleteFunc(p.free, func(k int) bool { return k == i })
	}
}

// serveNext serves one job by deficit round robin and returns false if no account's queue
// can be served. Each job costs one unit. Among the queues with units left, one with a
// job whose preferred target is free goes first; the others keep their units.
func (p *pool) serveNext(servePreferred, serve func(aq *accountQueue, scanBudget *int) bool) bool {
	// Limit the number of jobs examined, so that the cost doesn't grow with the number
	// of accounts.
	scanBudget := 128
	for range 2 {
		if p.serveFirst(servePreferred, &scanBudget) || p.serveFirst(serve, &scanBudget) {
			return true
		}
		p.refill()
	}
	return false
}

// serveFirst calls serve for each queue with units left until it returns true for one.
func (p *pool) serveFirst(serve func(aq *accountQueue, scanBudget *int) bool, scanBudget *int) bool {
	for k := range p.order {
		at := (p.cursor + k) % len(p.order)
		aq := p.order[at]
		if aq.deficit < 1 || !serve(aq, scanBudget) {
			continue
		}
		aq.deficit--
		p.cursor = at
		if aq.deficit < 1 && len(aq.jobs) > 0 {
			p.cursor = at + 1
		}
		return true
	}
	return false
}

// refill runs as many rounds as the first queue without a unit needs to get one. A round
// gives one unit to the account with the largest share and proportionally less to the
// others, so that large shares don't cause long bursts.
func (p *pool) refill() {
	largest, rounds := 1.0, math.Inf(1)
	for _, aq := range p.order {
		largest = max(largest, aq.share)
	}
	for _, aq := range p.order {
		if aq.deficit < 1 {
			rounds = min(rounds, math.Ceil((1-aq.deficit)*largest/aq.share))
		}
	}
	if math.IsInf(rounds, 1) {
		return
	}
	for _, aq := range p.order {
		// A queue that could not be served accumulates no more than two units.
		aq.deficit = min(aq.deficit+rounds*aq.share/largest, max(aq.deficit, 2))
	}
}
