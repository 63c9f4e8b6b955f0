package active_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"chivepost/entry/internal/active"
)

// fakeHolders are blocked holders that release their places when they are ended.
type fakeHolders struct {
	mu      sync.Mutex
	blocked int
	ended   int
	release func()
}

func (h *fakeHolders) Blocked() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.blocked
}

func (h *fakeHolders) End(n int) {
	h.mu.Lock()
	n = min(n, h.blocked)
	h.blocked, h.ended = h.blocked-n, h.ended+n
	h.mu.Unlock()
	for range n {
		h.release()
	}
}

const wait = time.Second

// Guards against a request that waits although nothing will make room for it.
func TestRequestAboveLimitIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := active.New(2, &fakeHolders{})
		for range 2 {
			if !l.Acquire(t.Context(), "a", wait) {
				t.Fatal("a request below the limit is refused")
			}
		}
		start := time.Now()
		if l.Acquire(t.Context(), "a", wait) || time.Since(start) > 0 {
			t.Errorf("the request above the limit got a place or waited for %v", time.Since(start))
		}
		l.Release("a")
		if !l.Acquire(t.Context(), "a", wait) {
			t.Error("a request is refused after another has ended")
		}
	})
}

// Guards against callers that read nothing and fill all places: the next request gets the place
// of one that is ended, and no more are ended than wait.
func TestBlockedHolderMakesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		holders := &fakeHolders{blocked: 2}
		l := active.New(3, holders)
		holders.release = func() { l.Release("crowd") }
		for range 3 {
			l.Acquire(t.Context(), "crowd", wait)
		}
		if !l.Acquire(t.Context(), "ordinary", wait) {
			t.Error("the request is refused although a holder is blocked")
		}
		if holders.ended != 1 {
			t.Errorf("%d holders were ended for one request", holders.ended)
		}
	})
}

// Guards against a crowd of one client that keeps the places which become free from others, and
// against requests that overtake earlier ones of the same client.
func TestClientWithFewestRequestsIsNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := active.New(2, idleHolders(4))
		for range 2 {
			l.Acquire(t.Context(), "crowd", time.Minute)
		}
		var mu sync.Mutex
		var order []string
		for i, client := range []string{"crowd", "crowd", "ordinary"} {
			go func() {
				if l.Acquire(t.Context(), client, time.Minute) {
					mu.Lock()
					defer mu.Unlock()
					order = append(order, fmt.Sprint(client, i))
				}
			}()
			synctest.Wait()
			if !l.HasWaiting() {
				t.Error("no request waits")
			}
		}
		for range 3 {
			l.Release("crowd")
			synctest.Wait()
		}
		if l.HasWaiting() {
			t.Error("a request waits that has a place")
		}
		if got, want := fmt.Sprint(order), "[ordinary2 crowd0 crowd1]"; got != want {
			t.Errorf("places went to %s, want %s", got, want)
		}
	})
}

// Guards against places that are lost to requests that give up while they wait.
func TestWaitEndsWithRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := active.New(1, idleHolders(2))
		l.Acquire(t.Context(), "a", wait)
		ctx, cancel := context.WithTimeout(t.Context(), wait/2)
		defer cancel()
		start := time.Now()
		if l.Acquire(ctx, "b", wait) || time.Since(start) != wait/2 {
			t.Errorf("a request that gave up got a place, or waited for %v", time.Since(start))
		}
		if l.Acquire(t.Context(), "b", wait) || time.Since(start) != wait/2+wait {
			t.Errorf("a request got a place that is taken, or waited for %v", time.Since(start))
		}
		l.Release("a")
		if !l.Acquire(t.Context(), "b", wait) {
			t.Error("the place is lost")
		}
	})
}

// idleHolders is a number of blocked holders that can't be ended.
type idleHolders int

func (h idleHolders) Blocked() int { return int(h) }
func (idleHolders) End(int)        {}
