package queue

import "time"

// Waiting returns how many calls wait for slots of the pool, in all and of the
// account.
func (q *Queue) Waiting(pool, account string) (all, own int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	p := q.pools[pool]
	if p == nil {
		return 0, 0
	}
	if l := p.lines[account]; l != nil {
		own = len(l.jobs)
	}
	return p.waiting, own
}

// ExpectedWait estimates how long a new call of the account would wait for a slot
// of the pool.
func (q *Queue) ExpectedWait(pool, account string, share int) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	if p := q.pools[pool]; p != nil {
		return p.wait(account, share, time.Now())
	}
	return 0
}

// WaitingByTarget returns the calls that wait for slots of the pool, counted by the target
// where the prefix is likely to be cached; calls without one are left out. A holder
// of slots asks for those targets first: slots elsewhere make the calls recompute
// their prefixes.
func (q *Queue) WaitingByTarget(pool string) map[string]int {
	q.mu.Lock()
	defer q.mu.Unlock()
	homes := map[string]int{}
	p := q.pools[pool]
	if p == nil || q.homes == nil {
		return homes
	}
	for _, l := range p.order {
		for _, w := range l.jobs {
			if home := q.homeOf(p, w); home != "" {
				homes[home]++
			}
		}
	}
	return homes
}
