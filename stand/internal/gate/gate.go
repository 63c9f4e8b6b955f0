// Package gate admits calls up to a limit, those with higher priority first.
package gate

import (
	"container/heap"
	"context"
	"errors"
	"sync"
)

// ErrFull means that the queue is full.
var ErrFull = errors.New("queue is full")

// Gate holds a number of running calls and a bounded queue of waiting ones.
type Gate struct {
	mu      sync.Mutex
	limit   int
	queue   int
	running int
	seq     uint64
	waiting waiters
}

// New returns a gate for limit running calls and at most queue waiting ones.
func New(limit, queue int) *Gate { return &Gate{limit: limit, queue: queue} }

// Enter waits for a place. A nil error obliges the caller to call Leave.
func (g *Gate) Enter(ctx context.Context, priority int) error {
	g.mu.Lock()
	if g.running < g.limit {
		g.running++
		g.mu.Unlock()
		return nil
	}
	if len(g.waiting) >= g.queue {
		g.mu.Unlock()
		return ErrFull
	}
	g.seq++
	w := &waiter{priority: priority, seq: g.seq, admitted: make(chan struct{})}
	heap.Push(&g.waiting, w)
	g.mu.Unlock()
	select {
	case <-w.admitted:
		return nil
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.index < 0 {
		// The place was given at the same moment; pass it on.
		g.release()
	} else {
		heap.Remove(&g.waiting, w.index)
	}
	return ctx.Err()
}

// Leave gives a place back.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.release()
}

func (g *Gate) release() {
	if len(g.waiting) == 0 {
		g.running--
		return
	}
	w := heap.Pop(&g.waiting).(*waiter)
	close(w.admitted)
}

// Load returns the number of running and waiting calls.
func (g *Gate) Load() (running, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running, len(g.waiting)
}

type waiter struct {
	priority int
	seq      uint64
	index    int
	admitted chan struct{}
}

// waiters is a heap: highest priority first, then oldest.
type waiters []*waiter

func (w waiters) Len() int { return len(w) }

func (w waiters) Less(i, j int) bool {
	if w[i].priority != w[j].priority {
		return w[i].priority > w[j].priority
	}
	return w[i].seq < w[j].seq
}

func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}

// Push adds x, for package heap.
func (w *waiters) Push(x any) {
	item := x.(*waiter)
	item.index = len(*w)
	*w = append(*w, item)
}

// Pop removes the last item, for package heap.
func (w *waiters) Pop() any {
	n := len(*w) - 1
	item := (*w)[n]
	(*w)[n] = nil
	*w = (*w)[:n]
	item.index = -1
	return item
}
