// Package lines writes log lines asynchronously, so that logging never blocks.
package lines

import (
	"expvar"
	"io"
	"sync"
	"time"
)

var droppedBytes = expvar.NewInt("log_dropped_bytes")

const (
	// maxBuffered bounds the bytes that wait to be written.
	maxBuffered = 512 << 10
	// flushInterval is how long lines are collected into one write.
	flushInterval = 50 * time.Millisecond
)

// Writer buffers lines and writes them from its own goroutine. Lines for which the buffer
// has no room are dropped, and their bytes are counted.
type Writer struct {
	out       io.Writer
	done      chan struct{}
	wait      sync.WaitGroup
	closeOnce sync.Once

	mu     sync.Mutex
	buffer []byte
	spare  []byte // the other buffer, which is being written or is free
}

// New returns a Writer that writes to out until Close.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, done: make(chan struct{})}
	w.wait.Go(func() {
		tick := time.NewTicker(flushInterval)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				w.flush()
			case <-w.done:
				w.flush()
				return
			}
		}
	})
	return w
}

// Write buffers or drops a line. It never fails or waits for the output.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buffer)+len(p) > maxBuffered {
		droppedBytes.Add(int64(len(p)))
		return len(p), nil
	}
	w.buffer = append(w.buffer, p...)
	return len(p), nil
}

// flush writes the buffered lines. Only the goroutine of New calls it.
func (w *Writer) flush() {
	w.mu.Lock()
	data := w.buffer
	w.buffer = w.spare[:0]
	w.mu.Unlock()
	if len(data) > 0 {
		if _, err := w.out.Write(data); err != nil {
			droppedBytes.Add(int64(len(data))) // counted, since the log itself failed
		}
	}
	w.mu.Lock()
	w.spare = data
	w.mu.Unlock()
}

// Sync implements zapcore.WriteSyncer. It does nothing, since lines are written within
// flushInterval.
func (w *Writer) Sync() error { return nil }

// Close writes the buffered lines and stops the goroutine.
func (w *Writer) Close() {
	w.closeOnce.Do(func() { close(w.done) })
	w.wait.Wait()
}
