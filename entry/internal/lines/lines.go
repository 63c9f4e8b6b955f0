// Package lines writes log lines without ever making their author wait.
package lines

import (
	"expvar"
	"io"
	"sync"
	"time"
)

var dropped = expvar.NewInt("log_dropped_bytes")

const (
	// maxKept bounds the lines that wait to be written.
	maxKept = 512 << 10
	// writeEvery is how long lines are gathered into one write.
	writeEvery = 50 * time.Millisecond
)

// Writer takes lines at once and writes them from a goroutine of its own. Lines
// that find its buffer full are dropped and counted.
type Writer struct {
	out  io.Writer
	done chan struct{}
	wait sync.WaitGroup
	once sync.Once

	mu   sync.Mutex
	kept []byte
	next []byte // the other buffer, which is written or free
}

// New returns a writer to out.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, done: make(chan struct{})}
	w.wait.Go(func() {
		tick := time.NewTicker(writeEvery)
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

// Write keeps a line. It never fails.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.kept)+len(p) > maxKept {
		dropped.Add(int64(len(p)))
		return len(p), nil
	}
	w.kept = append(w.kept, p...)
	return len(p), nil
}

func (w *Writer) flush() {
	w.mu.Lock()
	data := w.kept
	w.kept = w.next[:0]
	w.mu.Unlock()
	if len(data) > 0 {
		if _, err := w.out.Write(data); err != nil {
			dropped.Add(int64(len(data))) // there is no other place to say so
		}
	}
	w.mu.Lock()
	w.next = data
	w.mu.Unlock()
}

// Sync implements zapcore.WriteSyncer; lines are written soon.
func (w *Writer) Sync() error { return nil }

// Close writes what is kept.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.done) })
	w.wait.Wait()
}
