package batch

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"chivepost/share/fleet"
)

var start = time.Now()

func spec(size int) fleet.Batching {
	return fleet.Batching{Slots: 1, MaxQueued: 2, BatchSize: size, CallOverhead: 200 * time.Millisecond, ItemTime: 10 * time.Millisecond, ResultSpaceBytes: 1e6, ResultTTL: 4 * time.Second}
}

func stageTargets(dataCentres ...string) []Target {
	var out []Target
	for i, dc := range dataCentres {
		out = append(out, Target{ID: fmt.Sprintf("t%d", i), Address: fmt.Sprintf("10.0.0.%d:1", i), DataCentre: dc, Region: dc})
	}
	return out
}

func newScheduler(size int, dataCentres ...string) *Scheduler {
	sc := NewScheduler(rand.New(rand.NewPCG(1, 1)))
	for _, s := range []string{"p", "q"} {
		sc.SetService(s, spec(size), stageTargets(dataCentres...))
	}
	return sc
}

func newOrder(id string, pieces int) Order {
	return Order{
		ID: id, Request: id, Stages: []fleet.Stage{{Service: "p", ResultBytes: 1000}}, Pieces: []int{pieces}, Key: "k",
		TimeLeft: 6 * time.Second, DueIn: 2 * time.Second, DataCentre: "a",
	}
}

// twoStageOrder returns an order whose second stage reads the results of the first.
func twoStageOrder(id string, first, second int) Order {
	o := newOrder(id, first)
	o.Stages = append(o.Stages, fleet.Stage{Service: "q", After: []int{0}, ResultBytes: 1000})
	o.Pieces = []int{first, second}
	return o
}

// completeOutcomes returns the outcomes of a call whose pieces all have results.
func completeOutcomes(c *Call) []Outcome {
	out := make([]Outcome, len(c.Pieces))
	for i, p := range c.Pieces {
		out[i].Handle = fmt.Sprintf("%s/%s!%d.%d", c.Address, p.Request, p.Stage, p.Number)
	}
	return out
}

// addJob adds a job whose result the test ignores.
func addJob(q *Queue, id string, pieces int) {
	j := Job{ID: id, Pieces: pieces, ResultBytes: 1000, TimeLeft: 6 * time.Second, DueIn: 2 * time.Second}
	q.Add(j, start, func() bool { return false }, func(Result) {})
}

func submit(sc *Scheduler, o Order, now time.Time) *Result {
	var out Result
	sc.Submit(o, now, func(r Result) { out = r })
	return &out
}

// runTargets completes all calls of a scheduler after their expected time, until
// length has passed. It returns the time at the end.
func runTargets(sc *Scheduler, now time.Time, length time.Duration) time.Time {
	type activeCall struct {
		service string
		call    *Call
		ends    time.Time
	}
	var calls []activeCall
	for end := now.Add(length); now.Before(end); now = now.Add(10 * time.Millisecond) {
		for i := 0; i < len(calls); i++ {
			if f := calls[i]; !now.Before(f.ends) {
				sc.CompleteCall(f.service, f.call, completeOutcomes(f.call), FailureNone, now)
				calls = append(calls[:i], calls[i+1:]...)
				i--
			}
		}
		for service, list := range sc.Plan(now) {
			for _, c := range list {
				calls = append(calls, activeCall{service, c, now.Add(c.Expected)})
			}
		}
		sc.TakeFreed(now)
	}
	return now
}

func TestPiecesOfManyRequestsShareACall(t *testing.T) {
	sc := newScheduler(8, "a")
	var results []*Result
	for i := range 3 {
		results = append(results, submit(sc, newOrder(fmt.Sprint(i), 2), start))
	}
	calls := sc.Plan(start)["p"]
	if len(calls) != 1 || len(calls[0].Pieces) != 6 {
		t.Fatalf("calls %+v, want one of 6 pieces", calls)
	}
	sc.CompleteCall("p", calls[0], completeOutcomes(calls[0]), FailureNone, start.Add(260*time.Millisecond))
	for i, r := range results {
		if !r.IsDone || len(r.Handles) != 2 || !strings.Contains(r.Handles[0], fmt.Sprintf("/%d!", i)) {
			t.Errorf("order %d: %+v, want its own two results", i, r)
		}
	}
}

func TestStagesRunInDependencyOrder(t *testing.T) {
	sc := newScheduler(8, "a", "b")
	r := submit(sc, twoStageOrder("x", 3, 2), start)
	runTargets(sc, start, 2*time.Second)
	if !r.IsDone || r.Reason != ReasonNone || len(r.Handles) != 2 || !strings.Contains(r.Handles[0], "!1.0") {
		t.Errorf("result %+v, want the two results of the second stage", r)
	}
	if n := sc.queues["p"].bytesHeld(); n != 0 {
		t.Errorf("%d bytes of the first stage's results are held, want none", n)
	}
	sc.Drop("x")
	sc.TakeFreed(start)
	if n := sc.queues["q"].bytesHeld(); n != 0 {
		t.Errorf("%d bytes are held after the results were freed, want none", n)
	}
}

func (q *Queue) bytesHeld() int64 {
	sum := int64(0)
	for _, ts := range q.targets {
		sum += ts.bytes
	}
	return sum
}

// Pattern: burst. Orders that can't be done in time are refused immediately, with a
// time after which to retry.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	sc := newScheduler(8, "a")
	refused := 0
	for i := range 100 {
		r := submit(sc, newOrder(fmt.Sprint(i), 8), start)
		if r.IsDone {
			refused++
			if r.Reason != ReasonBusy || r.RetryAfter < minRetry {
				t.Fatalf("result %+v, want busy with a retry time", r)
			}
		}
	}
	// A target completes a full call in 280 ms, so about 20 orders fit into 6 s.
	if refused < 70 || refused > 90 {
		t.Errorf("%d of 100 refused, want 70 to 90", refused)
	}
}

func TestUrgentOrdersGoFirst(t *testing.T) {
	sc := newScheduler(8, "a")
	low := newOrder("low", 8)
	low.Priority = 2
	submit(sc, newOrder("first", 8), start)
	c := sc.Plan(start)["p"][0]
	submit(sc, low, start)
	submit(sc, newOrder("high", 8), start)
	now := start.Add(290 * time.Millisecond)
	sc.CompleteCall("p", c, completeOutcomes(c), FailureNone, now)
	calls := sc.Plan(now)["p"]
	if len(calls) == 0 || calls[0].Pieces[0].Request != "high" {
		t.Errorf("calls %+v, want the urgent order first", calls)
	}
}

func TestServiceWithoutTargetsRefusesOrders(t *testing.T) {
	sc := newScheduler(8)
	if r := submit(sc, newOrder("x", 1), start); r.Reason != ReasonBusy || r.RetryAfter == 0 {
		t.Errorf("result %+v, want busy with a retry time", r)
	}
	unknown := newOrder("y", 1)
	unknown.Stages[0].Service = "nowhere"
	if r := submit(sc, unknown, start); r.Reason != ReasonFailed {
		t.Errorf("result %+v, want failed", r)
	}
}

// Pattern: targets lost in a burst. The pieces of a failed call go to another target,
// and the one that failed is paused.
func TestFailedCallIsRetriedOnAnotherTarget(t *testing.T) {
	for _, failure := range []Failure{FailureRefused, FailureUnreachable, FailureBroken, FailureTimeout} {
		sc := newScheduler(8, "a", "b")
		r := submit(sc, newOrder("x", 4), start)
		c := sc.Plan(start)["p"][0]
		now := start.Add(300 * time.Millisecond)
		sc.CompleteCall("p", c, nil, failure, now)
		again := sc.Plan(now)["p"]
		if len(again) != 1 || again[0].Target == c.Target || len(again[0].Pieces) != 4 {
			t.Fatalf("failure %d: calls %+v, want one of 4 pieces at the other target", failure, again)
		}
		sc.CompleteCall("p", again[0], completeOutcomes(again[0]), FailureNone, now)
		if r.Reason != ReasonNone || len(r.Handles) != 4 {
			t.Errorf("failure %d: result %+v", failure, r)
		}
	}
}

func TestOrderWithLostInputsRestartsOnce(t *testing.T) {
	sc := newScheduler(8, "a")
	r := submit(sc, twoStageOrder("x", 1, 1), start)
	now := start
	for range 2 {
		c := sc.Plan(now)["p"][0]
		now = now.Add(210 * time.Millisecond)
		sc.CompleteCall("p", c, completeOutcomes(c), FailureNone, now)
		c = sc.Plan(now)["q"][0]
		now = now.Add(210 * time.Millisecond)
		sc.CompleteCall("q", c, []Outcome{{Fault: FaultGone}}, FailureNone, now)
	}
	if r.Reason != ReasonGone {
		t.Errorf("result %+v, want gone after the second run", r)
	}
	if len(sc.committed) == 0 || sc.committed["p"] != 0 || sc.committed["q"] != 0 {
		t.Errorf("committed pieces: %v, want none", sc.committed)
	}
}

// A target that reports no space is assumed to be full of unknown results for a
// while. Otherwise, calls without results would follow each other.
func TestTargetWithoutSpaceIsPaused(t *testing.T) {
	sc := newScheduler(8, "a")
	submit(sc, newOrder("x", 8), start)
	c := sc.Plan(start)["p"][0]
	outcomes := make([]Outcome, 8)
	for i := range outcomes {
		outcomes[i].Fault = FaultNoSpace
	}
	now := start.Add(210 * time.Millisecond)
	sc.CompleteCall("p", c, outcomes, FailureNone, now)
	if calls := sc.Plan(now.Add(50 * time.Millisecond)); len(calls) > 0 {
		t.Errorf("calls %+v 50 ms later, want none", calls)
	}
	if calls := sc.Plan(now.Add(noSpacePause + 50*time.Millisecond))["p"]; len(calls) != 1 {
		t.Errorf("calls %+v after the pause, want one", calls)
	}
}

// A home that takes over an order reuses its existing results.
func TestOrderResumesAtAnotherHome(t *testing.T) {
	first := newScheduler(8, "a")
	submit(first, twoStageOrder("x", 2, 2), start)
	c := first.Plan(start)["p"][0]
	now := start.Add(230 * time.Millisecond)
	first.CompleteCall("p", c, completeOutcomes(c), FailureNone, now)
	progress := first.Progress("x")
	if len(progress) != 2 || !progress[0].IsDone || len(progress[0].Handles) != 2 || progress[1].IsDone {
		t.Fatalf("progress %+v, want the first stage's two results", progress)
	}
	second := newScheduler(8, "a")
	o := twoStageOrder("y", 2, 2)
	o.Request, o.Progress = "x", progress
	r := submit(second, o, now)
	calls := second.Plan(now)
	if len(calls["p"]) != 0 || len(calls["q"]) != 1 || len(calls["q"][0].Pieces[0].Inputs) != 2 {
		t.Fatalf("calls %+v, want the second stage with two inputs", calls)
	}
	if n := second.queues["p"].bytesHeld(); n != 2000 {
		t.Errorf("%d bytes held after taking over results, want 2000", n)
	}
	second.CompleteCall("q", calls["q"][0], completeOutcomes(calls["q"][0]), FailureNone, now.Add(230*time.Millisecond))
	if r.Reason != ReasonNone || len(r.Handles) != 2 {
		t.Errorf("result %+v", r)
	}
}

func TestRequestsFollowTheirSession(t *testing.T) {
	sc := newScheduler(8, "a", "b")
	sc.RecordSession(SessionTarget{Session: "s", Target: "m7", DataCentre: "b", Region: "b"}, start)
	o := newOrder("x", 2)
	o.Session, o.PrefixTokens, o.OriginRegion = "s", 3000, "a"
	r := submit(sc, o, start.Add(time.Second))
	runTargets(sc, start.Add(time.Second), time.Second)
	if r.PrefixTarget != "m7" {
		t.Errorf("result %+v, want target m7", r)
	}
	o.ID = "late"
	r = submit(sc, o, start.Add(sessionTTL+2*time.Second))
	runTargets(sc, start.Add(sessionTTL+2*time.Second), time.Second)
	if r.PrefixTarget != "" {
		t.Errorf("result %+v long after the session's last request, want no target", r)
	}
}

// The first calls of a home that has just taken over wait at the targets behind
// calls of the previous home. That wait must not count as slowness of the targets.
func TestTargetSharedWithLostHomeIsNotSlow(t *testing.T) {
	q := NewQueue(spec(4))
	q.SetTargets(stageTargets("a"))
	addJob(q, "x", 4)
	addJob(q, "y", 4)
	calls := q.Plan(start)
	if len(calls) != 2 {
		t.Fatalf("%d calls, want one running and one queued behind it", len(calls))
	}
	first := start.Add(690 * time.Millisecond)
	q.CompleteCall(calls[0], completeOutcomes(calls[0]), FailureNone, first)
	q.CompleteCall(calls[1], completeOutcomes(calls[1]), FailureNone, first.Add(245*time.Millisecond))
	if slowdown := q.targets["t0"].slowdown; slowdown > slowThreshold {
		t.Errorf("slowdown %.1f, want at most %.1f", slowdown, slowThreshold)
	}
}

// A target without space for a large result still gets pieces with small ones.
func TestTargetWithoutSpaceForLargeResultsGetsSmallOnes(t *testing.T) {
	sc := newScheduler(4, "a")
	large := newOrder("large", 1)
	large.Stages[0].ResultBytes = 600_000
	submit(sc, large, start)
	c := sc.Plan(start)["p"][0]
	now := start.Add(c.Expected)
	sc.CompleteCall("p", c, []Outcome{{Fault: FaultNoSpace}}, FailureNone, now)
	submit(sc, newOrder("small", 2), now)
	calls := sc.Plan(now)["p"]
	if len(calls) != 1 || len(calls[0].Pieces) != 2 || calls[0].Pieces[0].Request != "small" {
		t.Errorf("calls %v, want one for the small results", calls)
	}
}

// Among orders of the same priority, those of more urgent routes go first, unless
// the others are due much earlier.
func TestLessUrgentRoutesGoLast(t *testing.T) {
	tests := []struct {
		name         string
		urgent, less time.Duration // due after
		first        string
	}{
		{"alike", 2 * time.Second, 2 * time.Second, "urgent"},
		{"due a little earlier", 3 * time.Second, 2200 * time.Millisecond, "urgent"},
		{"due much earlier", 5 * time.Second, 2 * time.Second, "less"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sc := newScheduler(4, "a")
			submit(sc, newOrder("at work", 4), start)
			sc.Plan(start)
			less, urgent := newOrder("less", 4), newOrder("urgent", 4)
			less.Priority, less.Rank, less.DueIn = 1, 1, test.less
			urgent.Priority, urgent.Rank, urgent.DueIn = 1, 0, test.urgent
			submit(sc, less, start)
			submit(sc, urgent, start)
			sc.SetService("p", spec(4), stageTargets("a", "a"))
			calls := sc.Plan(start)["p"]
			if len(calls) == 0 || calls[0].Pieces[0].Request != test.first {
				t.Errorf("calls %v, want one for %s first", calls, test.first)
			}
		})
	}
}

// Each piece of a stage reads all results of the stage before, so that results in
// another data centre would be moved many times.
func TestPiecesRunWhereTheirInputsAre(t *testing.T) {
	for _, at := range []string{"a", "b"} {
		sc := newScheduler(20, "a", "b")
		o := twoStageOrder("x", 4, 10)
		o.Stages[0].ResultBytes, o.Stages[1].ResultBytes = 60_000, 6000
		o.DataCentre = "a"
		submit(sc, o, start)
		calls := sc.Plan(start)["p"]
		if len(calls) != 1 {
			t.Fatalf("%d calls, want one", len(calls))
		}
		// Moves the target of the first stage to the data centre under test.
		c := calls[0]
		ts := sc.queues["p"].targets[c.Target]
		ts.target.DataCentre = at
		now := start.Add(c.Expected)
		sc.CompleteCall("p", c, completeOutcomes(c), FailureNone, now)
		for _, next := range sc.Plan(now)["q"] {
			if got := sc.queues["q"].targets[next.Target].target.DataCentre; got != at {
				t.Errorf("the inputs are in %s, but the pieces that read them run in %s", at, got)
			}
		}
	}
}

// atSecondStage returns a scheduler with an order at its second stage, and the call
// that reads the results of the first stage, which use most of the space.
func atSecondStage() (sc *Scheduler, r *Result, second *Call, now time.Time) {
	sc = newScheduler(20, "a")
	o := twoStageOrder("x", 4, 10)
	o.Stages[0].ResultBytes = 200_000 // of 1 MB
	r = submit(sc, o, start)
	first := sc.Plan(start)["p"][0]
	now = start.Add(first.Expected)
	sc.CompleteCall("p", first, completeOutcomes(first), FailureNone, now)
	second = sc.Plan(now)["q"][0]
	sc.queues["q"].targets[second.Target].roundTrip = 20 * time.Millisecond
	return sc, r, second, now
}

// Inputs of a stage are freed while its call is still running, once the target has
// fetched them.
func TestInputsAreFreedOnceTheyAreRead(t *testing.T) {
	sc, r, second, now := atSecondStage()
	sc.Plan(now.Add(50 * time.Millisecond))
	if freed := sc.TakeFreed(now); len(freed) > 0 {
		t.Errorf("results freed 50 ms after the call that reads them was sent: %v", freed)
	}
	later := now.Add(150 * time.Millisecond)
	sc.Plan(later)
	if got := len(sc.TakeFreed(later)["p"]["t0"]); got != 4 {
		t.Errorf("%d results freed while the call that has read them is running, want 4", got)
	}
	sc.CompleteCall("q", second, completeOutcomes(second), FailureNone, now.Add(second.Expected))
	if !r.IsDone || r.Reason != ReasonNone || len(r.Handles) != 10 {
		t.Errorf("result %+v, want 10 handles", r)
	}
}

// If a call fails after its inputs were freed, all stages of its orders run again.
func TestFailedCallWithFreedInputsRestartsOrder(t *testing.T) {
	sc, r, second, now := atSecondStage()
	now = now.Add(150 * time.Millisecond)
	sc.Plan(now)
	sc.TakeFreed(now)
	sc.CompleteCall("q", second, nil, FailureBroken, now)
	runTargets(sc, now, 3*time.Second)
	if !r.IsDone || r.Reason != ReasonNone || len(r.Handles) != 10 || r.Runs != 2 {
		t.Errorf("result %+v, want 10 handles after two runs", r)
	}
}

// The previous home may have freed results that are still needed, because their
// readers had fetched them. The new home must run the order from the start then, so
// that no piece lacks its inputs.
func TestResumedOrderNeverLacksInputs(t *testing.T) {
	sc := newScheduler(20, "a")
	sc.SetService("r", spec(20), stageTargets("a"))
	o := twoStageOrder("x", 2, 3)
	o.Stages = append(o.Stages, fleet.Stage{Service: "r", After: []int{1}, ResultBytes: 1000})
	o.Pieces = []int{2, 3, 4}
	o.Progress = []StageProgress{{IsDone: true}, {IsDone: true}, {}}
	r := submit(sc, o, start)
	for now, i := start, 0; i < 3; i++ {
		for service, calls := range sc.Plan(now) {
			for _, c := range calls {
				for _, p := range c.Pieces {
					if want := map[string]int{"p": 0, "q": 2, "r": 3}[service]; len(p.Inputs) != want {
						t.Errorf("a piece of %s has %d inputs, want %d", service, len(p.Inputs), want)
					}
				}
				sc.CompleteCall(service, c, completeOutcomes(c), FailureNone, now.Add(c.Expected))
			}
		}
		now = now.Add(time.Second)
	}
	if r.Reason != ReasonNone || len(r.Handles) != 4 {
		t.Errorf("result %+v, want 4 handles", r)
	}
}

// Two results with the same handle count once, since they are freed together.
func TestResultsWithSameHandleCountOnce(t *testing.T) {
	q := NewQueue(spec(4))
	q.SetTargets(stageTargets("a"))
	for _, id := range []string{"x", "y"} {
		addJob(q, id, 1)
		c := q.Plan(start)[0]
		q.CompleteCall(c, []Outcome{{Handle: "10.0.0.0:1/same"}}, FailureNone, start.Add(c.Expected))
	}
	if got := q.targets["t0"].bytes; got != 1000 {
		t.Errorf("%d bytes counted, want 1000", got)
	}
	q.Free([]string{"10.0.0.0:1/same"}, start.Add(time.Second))
	if got := q.targets["t0"].bytes; got != 0 {
		t.Errorf("%d bytes counted once the results are freed, want none", got)
	}
}

// A stage with some results runs only the missing pieces at another home.
func TestPartialStageResumesAtAnotherHome(t *testing.T) {
	first := newScheduler(2, "a")
	o := newOrder("x", 3)
	submit(first, o, start)
	c := first.Plan(start)["p"][0]
	now := start.Add(c.Expected)
	first.CompleteCall("p", c, completeOutcomes(c), FailureNone, now)
	if o.Progress = first.Progress("x"); len(o.Progress) != 1 || o.Progress[0].IsDone || len(o.Progress[0].Handles) != 3 {
		t.Fatalf("progress %+v, want two of three results of one stage", o.Progress)
	}
	second := newScheduler(4, "a")
	r := submit(second, o, now)
	calls := second.Plan(now)["p"]
	if len(calls) != 1 || len(calls[0].Pieces) != 1 || calls[0].Pieces[0].Number != 2 {
		t.Fatalf("calls %v, want one for piece 2", calls)
	}
	second.CompleteCall("p", calls[0], completeOutcomes(calls[0]), FailureNone, now.Add(time.Second))
	if r.Reason != ReasonNone || len(r.Handles) != 3 || r.Handles[0] != c.Address+"/x!0.0" {
		t.Errorf("result %+v, want three handles", r)
	}
	second.Drop("x")
	if got := len(second.TakeFreed(now)["p"]["t0"]); got != 3 {
		t.Errorf("%d results freed, want 3", got)
	}
}

// Results of a lost home are freed by its successor.
func TestResultsOfALostHomeAreFreed(t *testing.T) {
	sc := newScheduler(8, "a", "b")
	sc.FreeHandles([]string{"10.0.0.0:1/x!0.0", "10.0.0.1:1/x!0.1", "10.0.0.9:1/x!0.2"})
	got := sc.TakeFreed(start)["p"]
	if len(got["t0"]) != 1 || len(got["t1"]) != 1 {
		t.Errorf("freed %v, want one result at each of t0 and t1", got)
	}
	if sc.HasFreed() {
		t.Error("results would be freed twice")
	}
}

// Pieces run only in the allowed regions of their order, even if targets elsewhere
// are idle.
func TestPiecesStayInAllowedRegions(t *testing.T) {
	sc := newScheduler(8, "a", "b")
	o := newOrder("x", 8)
	o.Regions = []string{"b"}
	submit(sc, o, start)
	for _, c := range sc.Plan(start)["p"] {
		if c.Target != "t1" {
			t.Errorf("a call goes to %s, want t1", c.Target)
		}
	}
}

// Under random loads and failures, every order ends once, with its own results or
// none, no piece reads another request's results, and no pieces or bytes stay
// counted.
func TestRandomFailures(t *testing.T) {
	for seed := range uint64(200) {
		runRandomFailures(t, seed)
	}
}

// runRandomFailures runs a scheduler under the random load and failures of one seed.
func runRandomFailures(t *testing.T, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 7))
	sc := newScheduler(2+r.IntN(10), "a", "a", "b")
	now := start
	ends := map[string]int{}
	type activeCall struct {
		service string
		call    *Call
		ends    time.Time
	}
	var calls []activeCall
	id := 0
	for step := range 1500 {
		now = now.Add(time.Duration(r.IntN(20)) * time.Millisecond)
		if step < 900 && r.IntN(3) == 0 {
			id++
			o := twoStageOrder(fmt.Sprint(id), r.IntN(4), r.IntN(5))
			o.Priority = r.IntN(3)
			if r.IntN(5) == 0 {
				o.TimeLeft = time.Duration(r.IntN(1500)) * time.Millisecond
			}
			sc.Submit(o, now, func(res Result) {
				ends[o.ID]++
				for _, h := range res.Handles {
					if !strings.Contains(h, "/"+o.ID+"!") {
						t.Errorf("seed %d: order %s ends with %s", seed, o.ID, h)
					}
				}
				if want := o.Pieces[1]; res.Reason == ReasonNone && len(res.Handles) != want {
					t.Errorf("seed %d: order %s has %d results, want %d", seed, o.ID, len(res.Handles), want)
				}
			})
		}
		if r.IntN(40) == 0 && id > 0 {
			sc.Drop(fmt.Sprint(1 + r.IntN(id)))
		}
		for i := 0; i < len(calls); i++ {
			f := calls[i]
			if now.Before(f.ends) {
				continue
			}
			calls = append(calls[:i], calls[i+1:]...)
			i--
			failure := FailureNone
			if r.IntN(6) == 0 {
				failure = Failure(1 + r.IntN(4))
			}
			out := completeOutcomes(f.call)
			for k := range out {
				if r.IntN(25) == 0 {
					out[k] = Outcome{Fault: Fault(1 + r.IntN(4))}
				}
			}
			sc.CompleteCall(f.service, f.call, out, failure, now)
		}
		for service, list := range sc.Plan(now) {
			for _, c := range list {
				for _, p := range c.Pieces {
					for _, h := range p.Inputs {
						if !strings.Contains(h, "/"+p.Request+"!") {
							t.Errorf("seed %d: a piece of %s reads %s", seed, p.Request, h)
						}
					}
				}
				calls = append(calls, activeCall{service, c, now.Add(time.Duration(r.IntN(2)+1) * c.Expected)})
			}
		}
		sc.TakeFreed(now)
	}
	sc.Plan(now.Add(time.Minute))
	for _, f := range calls {
		sc.CompleteCall(f.service, f.call, nil, FailureBroken, now.Add(time.Minute))
	}
	for n := 1; n <= id; n++ {
		if got := ends[fmt.Sprint(n)]; got != 1 {
			t.Errorf("seed %d: order %d ended %d times, want once", seed, n, got)
		}
		sc.Drop(fmt.Sprint(n))
	}
	sc.Plan(now.Add(2 * time.Minute))
	for service, n := range sc.committed {
		if n != 0 {
			t.Errorf("seed %d: %d pieces still committed to %s", seed, n, service)
		}
		if held := sc.queues[service].bytesHeld(); held != 0 {
			t.Errorf("seed %d: %d bytes still held by targets of %s", seed, held, service)
		}
	}
}
