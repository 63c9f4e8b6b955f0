// Package gate limits the number of running calls and queues the others by priority.
package gate

import (
	"container/heap"
	"context"
	"errors"
	"sync"
)

// ErrFull is returned by Enter when the queue is full.
var ErrFull = errors.New("queue is full")

// Gate counts the running calls and holds a bounded queue of waiting ones.
type Gate struct {
	mu         sync.Mutex
	limit      int
	maxWaiting int
	running    int
	seq        uint64
	waiting    waiters
}

// New returns a gate for at most limit running calls and at most maxWaiting waiting ones.
func New(limit, maxWaiting int) *Gate { return &Gate{limit: limit, maxWaiting: maxWaiting} }

// Enter waits for a slot. After a nil error, the caller must call Leave.
func (g *Gate) Enter(ctx context.Context, priority int) error {
	g.mu.Lock()
	if g.running < g.limit {
		g.running++
		g.mu.Unlock()
		return nil
	}
	if len(g.waiting) >= g.maxWaiting {
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
		// The slot was granted at the same time: pass it on.
		g.releaseSlot()
	} else {
		heap.Remove(&g.waiting, w.index)
	}
	return ctx.Err()
}

// Leave releases the slot of a call.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.releaseSlot()
}

// releaseSlot passes a slot on to the first waiting call or frees it. The caller holds the
// lock.
func (g *Gate) releaseSlot() {
	if len(g.waiting) == 0 {
		g.running--
		return
	}
	w := heap.Pop(&g.waiting).(*waiter)
	close(w.admitted)
}

// Load returns the numbers of running and waiting calls.
func (g *Gate) Load() (running, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running, len(g.waiting)
}

type waiter struct {
	priority int
	seq      uint64
	index    int // Position in the heap, -1 after removal.
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

// Push implements heap.Interface.
func (w *waiters) Push(x any) {
	item := x.(*waiter)
	item.index = len(*w)
	*w = append(*w, item)
}

// Pop implements heap.Interface.
func (w *waiters) Pop() any {
	n := len(*w) - 1
	item := (*w)[n]
	(*w)[n] = nil
	*w = (*w)[:n]
	item.index = -1
	return item
}
