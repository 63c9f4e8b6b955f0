package batch

import (
	"reflect"
	"slices"
	"testing"
	"time"

	"chivepost/share/fleet"
)

// startedAt returns a scheduler of services p and q with one target each, with this start.
func startedAt(startMillis int64) *Scheduler {
	sc := newScheduler(8, "a")
	sc.setStart(startMillis)
	return sc
}

func (sc *Scheduler) setStart(startMillis int64) {
	targets := stageTargets("a")
	targets[0].StartMillis = startMillis
	sc.SetService("p", spec(8), targets)
}

// complete completes the only call of a service and returns the handles of its results.
func (sc *Scheduler) complete(t *testing.T, service string, now time.Time) []string {
	t.Helper()
	calls := sc.Plan(now)[service]
	if len(calls) != 1 {
		t.Fatalf("%d calls of %s, want 1", len(calls), service)
	}
	outcomes := completeOutcomes(calls[0])
	bindOutcomes(outcomes, calls[0].Start)
	sc.CompleteCall(service, calls[0], outcomes, FailureNone, now.Add(10*time.Millisecond))
	var out []string
	for _, o := range outcomes {
		out = append(out, o.Handle)
	}
	return out
}

// parallelOrder returns an order of two stages that don't need each other.
func parallelOrder(id string) Order {
	o := newOrder(id, 1)
	o.Stages, o.Pieces = append(o.Stages, fleet.Stage{Service: "q", ResultBytes: 1000}), []int{1, 1}
	return o
}

// A request once ran on the result of another: a stage target started again and gave the handle
// of a result that waited for another stage to a later one.
func TestResultsOfAnEarlierStartAreMadeAgain(t *testing.T) {
	for name, restart := range map[string]func(t *testing.T, sc *Scheduler, now time.Time){
		"the entry shows it": func(_ *testing.T, sc *Scheduler, _ time.Time) { sc.setStart(2) },
		"handles repeat": func(t *testing.T, sc *Scheduler, now time.Time) {
			submit(sc, newOrder("y", 1), now)
			c := sc.Plan(now)["p"][0]
			handle := BindHandle(c.Address+"/x!0.0", c.Start)
			sc.CompleteCall("p", c, []Outcome{{Handle: handle}}, FailureNone, now)
			if n, held := len(sc.Plan(now.Add(time.Second))["p"]), sc.queues["p"].bytesHeld(); n != 0 || held != 0 {
				t.Errorf("%d calls and %d bytes held while the new start isn't known, want none", n, held)
			}
			sc.setStart(2)
		},
		"an answer repeats": func(_ *testing.T, sc *Scheduler, now time.Time) {
			submit(sc, newOrder("y", 1), now)
			sc.CompleteCall("p", sc.Plan(now)["p"][0], nil, FailureRepeated, now)
			sc.setStart(2)
		},
	} {
		t.Run(name, func(t *testing.T) {
			sc := startedAt(1)
			r := submit(sc, parallelOrder("x"), start)
			slow := sc.Plan(start)
			old := completeOutcomes(slow["p"][0])
			bindOutcomes(old, 1)
			sc.CompleteCall("p", slow["p"][0], old, FailureNone, start.Add(210*time.Millisecond))
			restart(t, sc, start.Add(220*time.Millisecond))
			sc.CompleteCall("q", slow["q"][0], completeOutcomes(slow["q"][0]), FailureNone, start.Add(300*time.Millisecond))
			if r.IsDone {
				t.Fatalf("result %+v, want that the first stage runs again", r)
			}
			now := start.Add(310 * time.Millisecond)
			for service, calls := range sc.Plan(now) {
				outcomes := completeOutcomes(calls[0])
				bindOutcomes(outcomes, calls[0].Start)
				sc.CompleteCall(service, calls[0], outcomes, FailureNone, now.Add(210*time.Millisecond))
			}
			if !r.IsDone || len(r.Handles) != 2 || slices.Contains(r.Handles, old[0].Handle) {
				t.Errorf("result %+v, want new results", r)
			}
		})
	}
}

// A call that was sent to one start may be answered by the next one, whose results aren't known to
// be those of either.
func TestAnswerOfAnotherStartIsNotUsed(t *testing.T) {
	sc := startedAt(1)
	r := submit(sc, newOrder("x", 1), start)
	c := sc.Plan(start)["p"][0]
	sc.setStart(2)
	outcomes := completeOutcomes(c)
	bindOutcomes(outcomes, c.Start)
	sc.CompleteCall("p", c, outcomes, FailureNone, start.Add(210*time.Millisecond))
	if r.IsDone || sc.queues["p"].bytesHeld() != 0 {
		t.Errorf("result %+v and %d bytes held, want none", r, sc.queues["p"].bytesHeld())
	}
	if made := sc.complete(t, "p", start.Add(220*time.Millisecond)); !slices.Equal(r.Handles, made) {
		t.Errorf("result %+v, want %q", r, made)
	}
}

// The results of a running stage, of an order that its host has, and of a previous home.
func TestResultsOfAnEarlierStartAreNeitherFreedNorTakenOver(t *testing.T) {
	sc := startedAt(1)
	submit(sc, newOrder("x", 1), start)
	old := sc.complete(t, "p", start)
	sc.setStart(2)
	sc.Drop("x")
	sc.FreeHandles(old)
	sc.FreeHandles([]string{"10.0.0.0:1/unknown"})
	if freed := sc.TakeFreed(start); len(freed["p"]) != 0 {
		t.Errorf("freed %v at the next start", freed)
	}
	o := twoStageOrder("y", 2, 1)
	o.Progress = []StageProgress{{IsDone: true, Handles: []string{old[0], BindHandle("10.0.0.0:1/n", 2)}}, {}}
	submit(sc, o, start.Add(time.Second))
	calls := sc.Plan(start.Add(time.Second))["p"]
	if len(calls) != 1 || len(calls[0].Pieces) != 1 || calls[0].Pieces[0].Number != 0 {
		t.Errorf("calls %+v, want one for the result of the earlier start", calls)
	}
}

// A stage of which some results are lost makes just these again.
func TestPartialResultsOfAnEarlierStartAreMadeAgain(t *testing.T) {
	sc := NewScheduler(nil)
	targets := stageTargets("a", "a")
	sc.SetService("p", spec(1), targets)
	r := submit(sc, newOrder("x", 2), start)
	calls := sc.Plan(start)["p"]
	outcomes := completeOutcomes(calls[0])
	bindOutcomes(outcomes, 0)
	sc.CompleteCall("p", calls[0], outcomes, FailureNone, start.Add(210*time.Millisecond))
	i := slices.IndexFunc(targets, func(t Target) bool { return t.ID == calls[0].Target })
	targets[i].StartMillis = 1
	sc.SetService("p", spec(1), targets)
	sc.CompleteCall("p", calls[1], completeOutcomes(calls[1]), FailureNone, start.Add(220*time.Millisecond))
	again := sc.Plan(start.Add(230 * time.Millisecond))["p"]
	if r.IsDone || len(again) != 1 || again[0].Pieces[0].Number != calls[0].Pieces[0].Number {
		t.Errorf("result %+v, calls %+v, want one call for the lost piece", r, again)
	}
}

// Handles keep their starts on the wire, and those from hosts of an earlier version have none.
func TestHandlesOnTheWire(t *testing.T) {
	for _, handles := range [][]string{
		nil,
		{"a/1", "", "b/1"},
		{BindHandle("a/1", 0), BindHandle("a/2", 0)},
		{BindHandle("a/1", 7), "", BindHandle("a/2", 7), "c/1", BindHandle("a\n/2", 8)},
	} {
		plain, starts := PackHandles(handles)
		if got := UnpackHandles(plain, starts); !reflect.DeepEqual(got, handles) {
			t.Errorf("got %q, want %q", got, handles)
		}
		if got := UnpackHandles(plain, []int64{-5}); len(plain) != 1 && !reflect.DeepEqual(got, plain) {
			t.Errorf("got %q with starts that don't match, want %q", got, plain)
		}
	}
}
