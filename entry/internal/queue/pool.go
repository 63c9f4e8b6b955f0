package queue

import (
	"cmp"
	"math"
	"slices"
	"time"

	"chivepost/entry/internal/route"
)

// waiter is one job in line. Its fields but job and since are guarded by the
// queue's lock until ready is closed.
type waiter struct {
	job   Job
	since time.Time
	// latest is when service must start; zero means any time.
	latest time.Time
	// home names the target that is likely to have the prefix, once it is known.
	home      string
	homeKnown bool
	ready     chan struct{}
	slot      Slot
	err       error
}

func (w *waiter) finish(s Slot, err error) {
	w.slot, w.err = s, err
	close(w.ready)
}

func (w *waiter) isServed() bool {
	select {
	case <-w.ready:
		return true
	default:
		return false
	}
}

func (w *waiter) isLate(now time.Time) bool {
	return !w.latest.IsZero() && now.After(w.latest)
}

// isUrgent reports whether the job must be served before others with a longer
// slack.
func (w *waiter) isUrgent(now time.Time) bool {
	const margin = 100 * time.Millisecond
	return !w.latest.IsZero() && w.latest.Sub(now) < margin
}

// before orders the jobs of one account: priority, then slack. The slack of all
// jobs shrinks alike, so the order never changes while they wait.
func before(a, b *waiter) int {
	if c := cmp.Compare(b.job.Priority, a.job.Priority); c != 0 {
		return c
	}
	switch {
	case a.latest.IsZero() && b.latest.IsZero():
		return 0
	case a.latest.IsZero():
		return 1
	case b.latest.IsZero():
		return -1
	}
	return a.latest.Compare(b.latest)
}

// line is the waiting jobs of one account, in the order of service. It exists
// while it has jobs, so an idle account saves up nothing.
type line struct {
	account string
	share   float64
	deficit float64
	jobs    []*waiter
}

// pool is the waiting jobs for the targets of one pool.
type pool struct {
	name    string
	plain   bool
	lines   map[string]*line
	order   []*line
	cursor  int
	waiting int
	wanted  int
	// view is what the slots were at the dispatch, free the indices of the targets
	// with free slots.
	view []route.Target
	free []int
	// all and byAccount measure how many jobs are served.
	all       meter
	byAccount map[string]*meter
}

// meterSpan is the time over which a meter averages: long enough for some calls
// of a slow pool, short against the deadline.
const meterSpan = 2 * time.Second

// meter measures a rate as an exponentially decaying count.
type meter struct {
	count float64
	at    time.Time
}

func (m *meter) decay(now time.Time) {
	m.count *= math.Exp(-now.Sub(m.at).Seconds() / meterSpan.Seconds())
	m.at = now
}

// rate returns the events a second.
func (m *meter) rate(now time.Time) float64 {
	m.decay(now)
	return m.count / meterSpan.Seconds()
}

// served counts one job of the account.
func (p *pool) served(account string, now time.Time) {
	m := p.byAccount[account]
	if m == nil {
		p.forgetIdle(now)
		m = &meter{at: now}
		p.byAccount[account] = m
	}
	m.decay(now)
	m.count++
	p.all.decay(now)
	p.all.count++
}

// forgetIdle keeps the meters of accounts that no longer call from piling up.
func (p *pool) forgetIdle(now time.Time) {
	if len(p.byAccount) < 64+2*len(p.lines) {
		return
	}
	for account, m := range p.byAccount {
		if m.rate(now) < 0.01 {
			delete(p.byAccount, account)
		}
	}
}

// wait estimates how long a new job of the account would wait: its line divided
// by the rate at which the account is served. The rate is at least the account's
// fair part of the pool's, which an account that begins to call will get.
func (p *pool) wait(account string, share int, now time.Time) time.Duration {
	l := p.lines[account]
	if p.waiting == 0 || l == nil {
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
	const most = time.Hour
	if seconds := float64(len(l.jobs)) / rate; seconds < most.Seconds() {
		return time.Duration(seconds * float64(time.Second))
	}
	return most
}

// add puts the job in line, or returns false when the pool or the line is full.
func (p *pool) add(w *waiter, opts Options) bool {
	account := w.job.Account
	if p.plain {
		account = ""
	}
	l := p.lines[account]
	if p.waiting >= opts.MaxPool || (l != nil && !p.plain && len(l.jobs) >= opts.MaxAccount) {
		return false
	}
	if l == nil {
		l = &line{account: account}
		p.lines[account] = l
		p.order = append(p.order, l)
	}
	l.share = float64(max(1, w.job.Share))
	at := len(l.jobs)
	if !p.plain {
		// A job goes behind its equals.
		at, _ = slices.BinarySearchFunc(l.jobs, w, func(a, b *waiter) int {
			if before(a, b) <= 0 {
				return -1
			}
			return 1
		})
	}
	l.jobs = slices.Insert(l.jobs, at, w)
	p.waiting++
	return true
}

// remove takes the job out of line; it must be in line.
func (p *pool) remove(w *waiter) {
	account := w.job.Account
	if p.plain {
		account = ""
	}
	l := p.lines[account]
	at := slices.Index(l.jobs, w)
	l.jobs = slices.Delete(l.jobs, at, at+1)
	p.waiting--
	if len(l.jobs) > 0 {
		return
	}
	delete(p.lines, account)
	k := slices.Index(p.order, l)
	p.order = slices.Delete(p.order, k, k+1)
	if p.cursor > k {
		p.cursor--
	}
}

// see takes over the present slots.
func (p *pool) see(view []route.Target) {
	p.view = append(p.view[:0], view...)
	p.free = p.free[:0]
	for i := range p.view {
		if p.view[i].Free > 0 {
			p.free = append(p.free, i)
		}
	}
}

// use counts n slots of target i as used.
func (p *pool) use(i, n int) {
	p.view[i].Free -= n
	if p.view[i].Free <= 0 {
		p.free = slices.DeleteFunc(p.free, func(k int) bool { return k == i })
	}
}

// next serves one job by deficit round robin, and returns false when no line can
// be served. Each job costs one unit. Among the lines with units left, one with a
// job that prefers a free target goes first; the others keep their units.
func (p *pool) next(prefers, serve func(l *line, look *int) bool) bool {
	// The jobs examined are bounded, so that the cost does not grow with the accounts.
	look := 128
	for range 2 {
		if p.nextOf(prefers, &look) || p.nextOf(serve, &look) {
			return true
		}
		p.refill()
	}
	return false
}

func (p *pool) nextOf(serve func(l *line, look *int) bool, look *int) bool {
	for k := range p.order {
		at := (p.cursor + k) % len(p.order)
		l := p.order[at]
		if l.deficit < 1 || !serve(l, look) {
			continue
		}
		l.deficit--
		p.cursor = at
		if l.deficit < 1 && len(l.jobs) > 0 {
			p.cursor = at + 1
		}
		return true
	}
	return false
}

// refill adds as many rounds as the first of the spent lines needs. A round gives
// the largest account one unit and the others a part of it, so that large shares
// don't make long bursts.
func (p *pool) refill() {
	largest, rounds := 1.0, math.Inf(1)
	for _, l := range p.order {
		largest = max(largest, l.share)
	}
	for _, l := range p.order {
		if l.deficit < 1 {
			rounds = min(rounds, math.Ceil((1-l.deficit)*largest/l.share))
		}
	}
	if math.IsInf(rounds, 1) {
		return
	}
	for _, l := range p.order {
		// A line that could not be served keeps no more than two units.
		l.deficit = min(l.deficit+rounds*l.share/largest, max(l.deficit, 2))
	}
}
