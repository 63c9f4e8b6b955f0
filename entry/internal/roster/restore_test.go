package roster

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"chivepost/platform/feed"
)

// Load pattern: restore of the store at the design size. Each host writes its record again once
// for each restore, also one whose write fails or that learns of the restore later, and all of
// them together stay within a tenth of the store's 1,200 writes a second.
func TestHostsRegisterAgainAfterARestore(t *testing.T) {
	const hosts, maxWritesPerSecond, lateHost, failingHost = 370, 120, 7, 8
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		var mu sync.Mutex
		var wait sync.WaitGroup
		defer wait.Wait()
		defer cancel()
		era, lateEra, failures := feed.Era(1), feed.Era(1), 0
		writes, perSecond := map[string]int{}, map[int64]int{}
		for n := range hosts {
			self := Host{Name: fmt.Sprintf("h%d", n)}
			c := &Controller{logger: logr.Discard(), state: newState(self), opts: Options{Self: self, Era: func() feed.Era {
				mu.Lock()
				defer mu.Unlock()
				if n == lateHost {
					return lateEra
				}
				return era
			}}}
			c.register = func(context.Context, []byte) error {
				mu.Lock()
				defer mu.Unlock()
				perSecond[time.Now().Unix()]++
				if n == failingHost && failures > 0 {
					failures--
					return errors.New("status 503")
				}
				writes[self.Name]++
				return nil
			}
			wait.Go(func() { c.syncStore(ctx, emptyList{}) })
		}
		check := func(want int, except string) {
			t.Helper()
			mu.Lock()
			defer mu.Unlock()
			for n := range hosts {
				if name := fmt.Sprintf("h%d", n); name != except && writes[name] != want {
					t.Errorf("host %s has written its record %d times, want %d", name, writes[name], want)
				}
			}
			for at, n := range perSecond {
				if n > maxWritesPerSecond {
					t.Errorf("%d writes in second %d, want at most %d", n, at, maxWritesPerSecond)
				}
			}
			clear(perSecond)
		}
		time.Sleep(time.Minute)
		mu.Lock()
		clear(perSecond) // of the start
		mu.Unlock()
		check(1, "")
		for restores := 1; restores <= 2; restores++ {
			mu.Lock()
			era++
			failures = 2
			mu.Unlock()
			time.Sleep(20 * time.Second)
			check(1+restores, fmt.Sprintf("h%d", lateHost))
		}
		mu.Lock()
		lateEra = era
		mu.Unlock()
		time.Sleep(20 * time.Second)
		check(3, fmt.Sprintf("h%d", lateHost))
		mu.Lock()
		got := writes[fmt.Sprintf("h%d", lateHost)]
		mu.Unlock()
		if got != 2 {
			t.Errorf("the host that learnt of both restores later has written its record %d times, want 2", got)
		}
	})
}
