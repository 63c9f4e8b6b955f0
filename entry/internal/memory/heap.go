package memory

import (
	"expvar"
	"runtime/debug"
	"sync"
	"time"
)

const (
	// HeapRatio is the largest part of the process's memory for the heap, above which the garbage
	// collector works harder. minHeapRatio is the smallest.
	HeapRatio    = 0.75
	minHeapRatio = 0.4
	// programBytes is what a process takes beside its heap.
	programBytes = 12 << 20
	// uncountedRatio is the part of the memory for what the kernel holds beside what the account
	// covers: for connections that wait to be accepted, send a header or were just refused.
	uncountedRatio = 0.1
	// heapInterval is the time between two adjustments, and heapStep the least one.
	heapInterval = 50 * time.Millisecond
	heapStep     = 1 << 20
)

var heapLimit = expvar.NewInt("memory_heap_limit_bytes")

// HeapLimit keeps the limit of the garbage collector at what the memory of the process has left for
// the heap, since what the kernel holds for requests counts to the memory, too.
type HeapLimit struct {
	total   int64
	account *Account
	done    chan struct{}
	wait    sync.WaitGroup
}

// NewHeapLimit adjusts the limit for a process of total bytes until it is closed.
func NewHeapLimit(total int64, account *Account) *HeapLimit {
	l := &HeapLimit{total: total, account: account, done: make(chan struct{})}
	current := l.bytes()
	debug.SetMemoryLimit(current)
	heapLimit.Set(current)
	l.wait.Go(func() {
		tick := time.NewTicker(heapInterval)
		defer tick.Stop()
		for {
			select {
			case <-l.done:
				return
			case <-tick.C:
			}
			if next := l.bytes(); max(next-current, current-next) >= heapStep {
				current = next
				debug.SetMemoryLimit(current)
				heapLimit.Set(current)
			}
		}
	})
	return l
}

// bytes returns the limit for what the account holds now.
func (l *HeapLimit) bytes() int64 {
	total := float64(l.total)
	left := total - programBytes - uncountedRatio*total - float64(l.account.Fixed())
	return int64(max(minHeapRatio*total, min(HeapRatio*total, left)))
}

// Close ends the adjustment.
func (l *HeapLimit) Close() {
	close(l.done)
	l.wait.Wait()
}
