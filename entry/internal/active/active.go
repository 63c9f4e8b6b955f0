// Package active bounds the requests in progress. Above the bound, a request waits only for the
// place of one whose caller doesn't take its response; otherwise it is refused at once.
package active

import (
	"context"
	"expvar"
	"slices"
	"sync"
	"time"

	"chivepost/entry/internal/invar"
)

const (
	// endInterval is the time between two rounds of ending holders.
	endInterval = 20 * time.Millisecond
	// countInterval is how long the number of blocked holders is taken for true.
	countInterval = 10 * time.Millisecond
)

var (
	inProgress   = expvar.NewInt("active_requests_count")
	waitingCount = expvar.NewInt("active_requests_waiting_count")
	waitedCount  = expvar.NewInt("active_requests_waited_count")
)

// Holders are the requests in progress whose responses are written.
type Holders interface {
	// Blocked returns how many of them wait for their callers to read.
	Blocked() int
	// End ends up to n of those whose callers read too little, the slowest first.
	End(n int)
}

// Limiter bounds the requests in progress. It is safe for concurrent use.
type Limiter struct {
	limit   int
	holders Holders

	mu        sync.Mutex
	used      int
	byClient  map[string]int
	waiting   []*waiter // in the order of arrival
	blocked   int       // holders, when last counted
	countedAt time.Time
	endedAt   time.Time
}

// waiter is a request that waits for a place.
type waiter struct {
	client string
	ready  chan struct{} // closed when it has a place
}

// New returns a limiter of limit requests.
func New(limit int, holders Holders) *Limiter {
	return &Limiter{limit: limit, holders: holders, byClient: map[string]int{}}
}

// Acquire takes a place for a request of a client and reports whether there is one. If all are
// taken, it waits for up to maxWait for one that is held by a blocked holder.
func (l *Limiter) Acquire(ctx context.Context, client string, maxWait time.Duration) bool {
	w := l.enter(client)
	if w == nil {
		return false
	}
	select {
	case <-w.ready:
		return true
	default:
	}
	waitedCount.Add(1)
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	tick := time.NewTicker(endInterval)
	defer tick.Stop()
	for {
		l.endHolders()
		select {
		case <-w.ready:
			return true
		case <-tick.C:
		case <-ctx.Done():
			return !l.leave(w)
		}
	}
}

// HasWaiting reports whether requests wait, which they do only while responses are blocked.
func (l *Limiter) HasWaiting() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting) > 0
}

// enter returns a waiter that has a place or waits for one, or nil if more requests wait already
// than there are blocked holders.
func (l *Limiter) enter(client string) *waiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := &waiter{client: client, ready: make(chan struct{})}
	if l.used < l.limit {
		l.grant(w)
		return w
	}
	if now := time.Now(); now.Sub(l.countedAt) >= countInterval {
		l.blocked, l.countedAt = l.holders.Blocked(), now
	}
	if len(l.waiting) >= l.blocked {
		return nil
	}
	l.waiting = append(l.waiting, w)
	waitingCount.Set(int64(len(l.waiting)))
	return w
}

// leave takes a waiter out of the queue. It returns false if the waiter has a place.
func (l *Limiter) leave(w *waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := slices.Index(l.waiting, w)
	if i < 0 {
		return false
	}
	l.waiting = slices.Delete(l.waiting, i, i+1)
	waitingCount.Set(int64(len(l.waiting)))
	return true
}

// endHolders ends as many holders as requests wait.
func (l *Limiter) endHolders() {
	l.mu.Lock()
	n, now := 0, time.Now()
	if now.Sub(l.endedAt) >= endInterval {
		n, l.endedAt = len(l.waiting), now
	}
	l.mu.Unlock()
	if n > 0 {
		l.holders.End(n)
	}
}

// Release returns the place of a request of a client.
func (l *Limiter) Release(client string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used--
	l.byClient[client]--
	invar.Check(l.used >= 0 && l.byClient[client] >= 0, "requests in progress: %d, %d of one client", l.used, l.byClient[client])
	if l.byClient[client] == 0 {
		delete(l.byClient, client)
	}
	if len(l.waiting) > 0 && l.used < l.limit {
		i := l.next()
		w := l.waiting[i]
		l.waiting = slices.Delete(l.waiting, i, i+1)
		waitingCount.Set(int64(len(l.waiting)))
		l.grant(w)
	}
	inProgress.Set(int64(l.used))
}

// next returns the index of the waiter that gets the next place: of a client with the fewest
// requests in progress, the one that has waited for longest. The caller holds the lock.
func (l *Limiter) next() int {
	best := 0
	for i, w := range l.waiting {
		if l.byClient[w.client] < l.byClient[l.waiting[best].client] {
			best = i
		}
	}
	return best
}

// grant gives a waiter a place. The caller holds the lock.
func (l *Limiter) grant(w *waiter) {
	l.used++
	l.byClient[w.client]++
	inProgress.Set(int64(l.used))
	close(w.ready)
}
