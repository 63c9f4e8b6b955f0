package batch

import (
	"testing"
	"time"
)

// busyTargets returns two stage targets that want no calls for the given times.
func busyTargets(first, second time.Duration) []Target {
	out := stageTargets("a", "a")
	for i, d := range []time.Duration{first, second} {
		if d > 0 {
			out[i].BusyUntil = start.Add(d)
		}
	}
	return out
}

// Load pattern: busy targets. Orders go to the others; if all want no calls, those that can't
// wait are refused at once, with the time of the first one that opens. They once waited for
// targets that were closed for longer than they had.
func TestPatternBusyTargets(t *testing.T) {
	const size = 4
	sc := newScheduler(size, "a", "a")
	sc.SetService("p", spec(size), busyTargets(2*time.Second, 0))
	submit(sc, newOrder("one busy", size), start)
	if calls := sc.Plan(start)["p"]; len(calls) != 1 || calls[0].Target != "t1" {
		t.Errorf("calls %+v, want one to t1", calls)
	}

	sc = newScheduler(size, "a", "a")
	sc.SetService("p", spec(size), busyTargets(9*time.Second, 30*time.Second))
	got := submit(sc, newOrder("all busy", size), start)
	if got.Reason != ReasonBusy || got.RetryAfter < 9*time.Second || got.RetryAfter > 12*time.Second {
		t.Errorf("got %+v, want a refusal until shortly after 9 s", *got)
	}

	sc = newScheduler(size, "a", "a")
	sc.SetService("p", spec(size), busyTargets(time.Second, 30*time.Second))
	got = submit(sc, newOrder("can wait", size), start)
	if calls := sc.Plan(start.Add(900 * time.Millisecond)); len(calls) > 0 {
		t.Errorf("calls %v within the pause, want none", calls)
	}
	if runTargets(sc, start.Add(1010*time.Millisecond), time.Second); !got.IsDone || got.Reason != ReasonNone {
		t.Errorf("got %+v, want results after the pause", *got)
	}

	// A pause doesn't bind the next process of a target.
	sc = newScheduler(size, "a", "a")
	sc.SetService("p", spec(size), busyTargets(30*time.Second, 30*time.Second))
	next := stageTargets("a", "a")
	next[0].StartMillis, next[1].StartMillis = 7, 7
	sc.SetService("p", spec(size), next)
	got = submit(sc, newOrder("started again", size), start)
	if runTargets(sc, start, time.Second); !got.IsDone || got.Reason != ReasonNone {
		t.Errorf("got %+v, want results from targets that have started again", *got)
	}
}
