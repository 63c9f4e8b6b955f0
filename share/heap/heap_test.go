package heap_test

import (
	"runtime"
	"testing"
	"time"

	"chivepost/share/heap"
)

// TestPeak guards against a peak that misses what f holds.
func TestPeak(t *testing.T) {
	const size = 64 << 20
	got := heap.Peak(func() {
		held := make([]byte, size)
		time.Sleep(50 * time.Millisecond)
		runtime.KeepAlive(held)
	})
	if got < size {
		t.Errorf("got %d bytes, want at least %d", got, size)
	}
}
