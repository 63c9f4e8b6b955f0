package cmd

import (
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// These tests are no specs, because Ginkgo ends a suite on SIGTERM.

// raise sends signals to this process, slowly enough that none is merged with the one before.
func raise(t *testing.T, list ...syscall.Signal) {
	t.Helper()
	for _, s := range list {
		if err := syscall.Kill(syscall.Getpid(), s); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func startSignals(t *testing.T) *signals {
	t.Helper()
	s := notifySignals()
	t.Cleanup(func() { signal.Reset(syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP) })
	return s
}

// Guards against a host that is killed without a shutdown because its SIGTERM was dropped.
func TestManyReloadsDisplaceNoStop(t *testing.T) {
	s := startSignals(t)
	blocked, release := make(chan struct{}), make(chan struct{})
	stopped := make(chan time.Time, 1)
	reloads := 0
	go func() {
		stopped <- s.awaitStop(func() {
			if reloads++; reloads == 1 {
				close(blocked)
				<-release
			}
		})
	}()
	raise(t, syscall.SIGHUP)
	<-blocked
	for range 20 {
		raise(t, syscall.SIGHUP)
	}
	raise(t, syscall.SIGTERM)
	close(release)
	select {
	case <-stopped:
	case <-time.After(5 * time.Second):
		t.Error("SIGTERM was dropped")
	}
}

// Guards against a shutdown that takes longer than allowed because the process was told to
// stop while it was starting, or was told twice.
func TestStopCountsFromTheFirstSignal(t *testing.T) {
	s := startSignals(t)
	before := time.Now()
	raise(t, syscall.SIGTERM)
	time.Sleep(500 * time.Millisecond)
	raise(t, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT)
	if got := s.awaitStop(func() {}).Sub(before); got > 400*time.Millisecond {
		t.Errorf("stop at %v after the first signal, want at once", got)
	}
}
