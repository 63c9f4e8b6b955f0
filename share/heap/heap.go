// Package heap measures memory in tests.
package heap

import (
	"runtime"
	"time"
)

const sampleInterval = 2 * time.Millisecond

// Peak runs f and returns the largest heap in use that was seen meanwhile, in bytes. It
// includes garbage that has not been collected.
func Peak(f func()) uint64 {
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	highest := uint64(0)
	for {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		highest = max(highest, m.HeapInuse)
		select {
		case <-done:
			return highest
		case <-time.After(sampleInterval):
		}
	}
}
