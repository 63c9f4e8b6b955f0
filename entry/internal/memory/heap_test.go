package memory

import (
	"runtime/debug"
	"testing"
	"time"
)

// Guards against a heap that takes what the kernel holds for requests.
func TestHeapLimitLeavesRoomForKernel(t *testing.T) {
	before := debug.SetMemoryLimit(-1)
	defer debug.SetMemoryLimit(before)
	const total = 1 << 30
	a := New(total)
	l := NewHeapLimit(total, a)
	defer l.Close()
	if got := debug.SetMemoryLimit(-1); got != total*3/4 {
		t.Errorf("the limit is %d, want three quarters of %d", got, total)
	}
	r := a.Open("x")
	if err := r.AddFixed(300 << 20); err != nil {
		t.Fatal(err)
	}
	const want = total - programBytes - total/10 - 300<<20
	await := func(want int64) {
		t.Helper()
		for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
			got := debug.SetMemoryLimit(-1)
			if max(got-want, want-got) < heapStep {
				return
			}
			if time.Now().After(deadline) {
				t.Fatalf("the limit is %d, want %d", got, want)
			}
		}
	}
	await(want)
	r.Close()
	await(total * 3 / 4)
}
