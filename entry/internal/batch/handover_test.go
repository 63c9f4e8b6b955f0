package batch

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"chivepost/entry/internal/place"
	"chivepost/share/fleet"
)

// A home that is only slow or silent for a while isn't lost: the hosts go on with the next
// one, which takes over what the first has made. The first once freed that when it ended the
// order, so that stages of the second found their inputs gone, and went on making pieces.
func TestReleasedOrderKeepsItsResults(t *testing.T) {
	for _, test := range []struct {
		name      string
		end       func(sc *Scheduler)
		wantFreed int
	}{
		{"another home goes on", func(sc *Scheduler) { sc.Release("x") }, 0},
		{"the caller has left", func(sc *Scheduler) { sc.Drop("x") }, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			sc := newScheduler(1, "a", "b")
			submit(sc, twoStageOrder("x", 2, 2), start)
			for _, c := range sc.Plan(start)["p"] {
				sc.CompleteCall("p", c, completeOutcomes(c), FailureNone, start.Add(200*time.Millisecond))
			}
			now := start.Add(210 * time.Millisecond)
			calls := sc.Plan(now)["q"]
			if len(calls) != 2 {
				t.Fatalf("%d calls of the second stage, want 2", len(calls))
			}
			sc.CompleteCall("q", calls[0], completeOutcomes(calls[0]), FailureNone, now.Add(200*time.Millisecond))
			known := sc.Progress("x")
			test.end(sc)
			now = now.Add(210 * time.Millisecond)
			if n := len(sc.Plan(now)); n != 0 {
				t.Errorf("calls of %d services for an ended order, want none", n)
			}
			freed := 0
			for _, targets := range sc.TakeFreed(now) {
				for _, handles := range targets {
					freed += len(handles)
				}
			}
			if len(known) != 2 || freed != test.wantFreed {
				t.Errorf("%d results freed of %+v, want %d", freed, known, test.wantFreed)
			}
			// Nobody else knows of a piece that was being made.
			sc.CompleteCall("q", calls[1], completeOutcomes(calls[1]), FailureNone, now)
			sc.Plan(now)
			if got := sc.TakeFreed(now)["q"]; len(got) != 1 {
				t.Errorf("freed %v when the last call ended, want its result", got)
			}
		})
	}
}

// recordingClient makes pieces in the time of a call and records what is freed.
type recordingClient struct {
	mu      sync.Mutex
	seq     int
	freed   []string
	started []time.Time // of each call
}

func (c *recordingClient) Run(ctx context.Context, call *Call) ([]Outcome, Failure, error) {
	c.mu.Lock()
	c.started = append(c.started, time.Now())
	c.mu.Unlock()
	select {
	case <-time.After(call.Expected):
	case <-ctx.Done():
		return nil, FailureTimeout, ctx.Err()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]Outcome, len(call.Pieces))
	for i := range out {
		c.seq++
		out[i].Handle = fmt.Sprintf("%s/%d", call.Address, c.seq)
	}
	return out, FailureNone, nil
}

func (c *recordingClient) Free(_ context.Context, _ Target, handles []string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.freed = append(c.freed, handles...)
	return nil
}

// fixedCatalog has two targets of every service.
type fixedCatalog struct{ spec fleet.Batching }

func (c fixedCatalog) Stage(string, string) (fleet.Batching, []Target, bool) {
	return c.spec, stageTargets("a", "b"), true
}

func (fixedCatalog) Models(string, string) []place.Target { return nil }

// A host that hears nothing from a home for 0.75 s goes on with the next one, and tells the
// first, if that hears it. The first must then not free what the second has taken over, and not
// go on for long.
func TestSilentHomeDoesNotFreeWhatTheNextHasTakenOver(t *testing.T) {
	for _, silence := range []time.Duration{2 * time.Second, 5 * time.Second, 8 * time.Second} {
		for _, hears := range []bool{true, false} {
			t.Run(fmt.Sprintf("%v, hears of it %v", silence, hears), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					client := &recordingClient{}
					h := New(client, fixedCatalog{spec(4)}, logr.Discard())
					defer h.Close()
					o := twoStageOrder("x", 2, 400) // the second stage takes 12 s
					o.TimeLeft, o.DueIn, o.Stages[0].ResultBytes, o.Stages[1].ResultBytes = time.Minute, time.Minute, 10, 10
					h.Submit(o)
					res := h.Await(t.Context(), "x", 300*time.Millisecond)
					if len(res.Progress) != 2 || !res.Progress[0].IsDone {
						t.Fatalf("progress %+v, want the first stage", res.Progress)
					}
					taken := res.Progress[0].Handles
					time.Sleep(750 * time.Millisecond)
					if hears {
						h.Release("x")
					}
					time.Sleep(silence)
					client.mu.Lock()
					defer client.mu.Unlock()
					for _, handle := range taken {
						if slices.Contains(client.freed, handle) {
							t.Errorf("%s was freed, which the next home has taken over", handle)
						}
					}
					if silence > abandonAfter || hears {
						made := client.seq
						client.mu.Unlock()
						time.Sleep(2 * time.Second)
						client.mu.Lock()
						if client.seq != made {
							t.Errorf("%d pieces made long after the next home went on", client.seq-made)
						}
					}
				})
			})
		}
	}
}

// A host without an answer for 0.75 s goes on with the next home. If the first one can't hear
// that, both once made calls for the order for up to 2.5 s more, and the first freed inputs
// that the next had taken over.
func TestOrderThatNobodyPollsForIsHeld(t *testing.T) {
	const takeover = 750 * time.Millisecond // pollTimeout and networkSlack of the hosts
	for _, silence := range []time.Duration{takeover, 1500 * time.Millisecond, 2400 * time.Millisecond} {
		for _, fill := range []float64{0.1, 0.9} { // of the space for results, which frees inputs early
			t.Run(fmt.Sprintf("%v, space %v", silence, fill), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					client := &recordingClient{}
					batching := spec(4)
					batching.ResultTTL = time.Minute
					h := New(client, fixedCatalog{batching}, logr.Discard())
					defer h.Close()
					o := twoStageOrder("x", 2, 120) // the second stage takes 4 s
					o.TimeLeft, o.DueIn = time.Minute, time.Minute
					o.Stages[0].ResultBytes, o.Stages[1].ResultBytes = int64(fill*float64(batching.ResultSpaceBytes)), 10
					h.Submit(o)
					res := h.Await(t.Context(), "x", 300*time.Millisecond)
					polled := time.Now().Add(-300 * time.Millisecond)
					if len(res.Progress) != 2 || !res.Progress[0].IsDone {
						t.Fatalf("progress %+v, want the first stage", res.Progress)
					}
					time.Sleep(time.Until(polled.Add(silence)))
					client.mu.Lock()
					for _, at := range client.started {
						if at.Sub(polled) >= takeover {
							t.Errorf("a call started %v after the last poll, want none from %v on", at.Sub(polled), takeover)
						}
					}
					for _, handle := range res.Progress[0].Handles {
						if slices.Contains(client.freed, handle) {
							t.Errorf("%s was freed, which the next home may have taken over", handle)
						}
					}
					client.mu.Unlock()
					for !res.IsDone { // the host polls once more after all
						res = h.Await(t.Context(), "x", 400*time.Millisecond)
					}
					if res.Reason != ReasonNone || len(res.Handles) != 120 {
						t.Errorf("got %d results and reason %q after the order was held, want 120", len(res.Handles), res.Reason)
					}
					h.Drop("x", SessionTarget{}, nil)
					time.Sleep(time.Second)
					client.mu.Lock()
					defer client.mu.Unlock()
					if len(client.freed) != client.seq {
						t.Errorf("%d of %d results freed in the end, want all", len(client.freed), client.seq)
					}
				})
			})
		}
	}
}

// Load pattern: burst at a home with hundreds of orders. A plan for each event took more time
// than the home had, so that it answered late and hosts took it for lost.
func TestPatternBurstAtAHomeIsPlannedInSteps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := New(&recordingClient{}, fixedCatalog{spec(8)}, logr.Discard())
		defer h.Close()
		before := plansMade.Value()
		const orders, length = 400, 400 * time.Millisecond
		for i := range orders {
			o := newOrder(fmt.Sprint("o", i), 1)
			o.TimeLeft, o.DueIn = time.Minute, time.Minute
			h.Submit(o)
			time.Sleep(length / orders)
		}
		if n, most := plansMade.Value()-before, int64(length/planInterval)+2; n > most {
			t.Errorf("%d plans in %v, want at most %d", n, length, most)
		}
		first := h.Await(t.Context(), "o0", time.Second)
		if first.Reason != ReasonNone || len(first.Handles) != 1 {
			t.Errorf("got %+v for the first order, want its result", first)
		}
	})
}
