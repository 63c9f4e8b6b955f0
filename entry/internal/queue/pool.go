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
	ready  chan struct{}
	slot   Slot
	err    error
}

func (w *waiter) finish(s Slot, err error) {
	w.slot, w.err = s, err
	close(w.ready)
}

func (w *waiter) isLate(now time.Time) bool {
	return !w.latest.IsZero() && now.After(w.latest)
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
	view    []route.Target
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

// dropLate ends the jobs that can't be served in time any more.
func (p *pool) dropLate(now time.Time) {
	var late []*waiter
	for _, l := range p.order {
		for _, w := range l.jobs {
			if w.isLate(now) {
				late = append(late, w)
			}
		}
	}
	for _, w := range late {
		p.remove(w)
		w.finish(Slot{}, ErrDeadline)
	}
}

func (p *pool) hasFree() bool {
	return slices.ContainsFunc(p.view, func(t route.Target) bool { return t.Free > 0 })
}

// next serves one job by deficit round robin, and returns false when no line can
// be served. Each job costs one unit.
func (p *pool) next(serve func(*line) bool) bool {
	for range 2 {
		for k := range p.order {
			at := (p.cursor + k) % len(p.order)
			l := p.order[at]
			if l.deficit < 1 {
				continue
			}
			// The cursor is set first, since serve removes a line that becomes empty.
			p.cursor = at
			if serve(l) {
				l.deficit--
				if l.deficit < 1 && len(l.jobs) > 0 {
					p.cursor = at + 1
				}
				return true
			}
		}
		p.refill()
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
