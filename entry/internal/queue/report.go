package queue

import "time"

// Waiting returns the number of calls that wait for slots of the pool, in total and of
// the account.
func (q *Queue) Waiting(pool, account string) (all, own int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	p := q.pools[pool]
	if p == nil {
		return 0, 0
	}
	if aq := p.queues[account]; aq != nil {
		own = len(aq.jobs)
	}
	return p.waiting, own
}

// ExpectedWait estimates how long a new call of the account would wait for a slot
// of the pool.
func (q *Queue) ExpectedWait(pool, account string, share int) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	if p := q.pools[pool]; p != nil {
		return p.expectedWait(account, share, time.Now())
	}
	return 0
}

// WaitingByTarget returns the number of calls that wait for slots of the pool, by the
// target that probably has their prefix cached. Calls without such a target are left
// out. A host that requests slots requests those targets first: with slots elsewhere,
// the calls have to recompute their prefixes.
func (q *Queue) WaitingByTarget(pool string) map[string]int {
	q.mu.Lock()
	defer q.mu.Unlock()
	waiting := map[string]int{}
	p := q.pools[pool]
	if p == nil || q.preferrer == nil {
		return waiting
	}
	for _, aq := range p.order {
		for _, w := range aq.jobs {
			if preferred := q.preferredTarget(p, w); preferred != "" {
				waiting[preferred]++
			}
		}
	}
	return waiting
}
