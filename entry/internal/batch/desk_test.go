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
	return fleet.Batching{Slots: 1, Queue: 2, Batch: size, Call: 200 * time.Millisecond, Item: 10 * time.Millisecond, RoomBytes: 1e6, HoldFor: 4 * time.Second}
}

func stageTargets(places ...string) []Target {
	var out []Target
	for i, dc := range places {
		out = append(out, Target{ID: fmt.Sprintf("t%d", i), Address: fmt.Sprintf("10.0.0.%d:1", i), DataCentre: dc, Region: dc})
	}
	return out
}

func newDesk(size int, places ...string) *Scheduler {
	d := NewScheduler(rand.New(rand.NewPCG(1, 1)))
	for _, s := range []string{"p", "q"} {
		d.SetService(s, spec(size), stageTargets(places...))
	}
	return d
}

func newOrder(id string, pieces int) Order {
	return Order{
		ID: id, Request: id, Stages: []fleet.Stage{{Service: "p", ResultBytes: 1000}}, Pieces: []int{pieces}, Key: "k",
		TimeLeft: 6 * time.Second, DueIn: 2 * time.Second, DataCentre: "a",
	}
}

// chain is an order whose second stage needs the results of the first.
func chain(id string, first, second int) Order {
	o := newOrder(id, first)
	o.Stages = append(o.Stages, fleet.Stage{Service: "q", After: []int{0}, ResultBytes: 1000})
	o.Pieces = []int{first, second}
	return o
}

// made is the outcome of a call whose pieces all have results.
func made(c *Call) []Outcome {
	out := make([]Outcome, len(c.Pieces))
	for i, p := range c.Pieces {
		out[i].Handle = fmt.Sprintf("%s/%s!%d.%d", c.Address, p.Request, p.Stage, p.Number)
	}
	return out
}

// addJob adds a job of which nothing but its calls is looked at.
func addJob(q *Queue, id string, pieces int) {
	j := Job{ID: id, Pieces: pieces, ResultBytes: 1000, TimeLeft: 6 * time.Second, DueIn: 2 * time.Second}
	q.Add(j, start, func() bool { return false }, func(Result) {})
}

func submit(d *Scheduler, o Order, now time.Time) *Result {
	var out Result
	d.Submit(o, now, func(r Result) { out = r })
	return &out
}

// run plays a desk whose targets answer as they should, for d.
func run(d *Scheduler, now time.Time, length time.Duration) time.Time {
	type flight struct {
		service string
		call    *Call
		ends    time.Time
	}
	var calls []flight
	for end := now.Add(length); now.Before(end); now = now.Add(10 * time.Millisecond) {
		for i := 0; i < len(calls); i++ {
			if f := calls[i]; !now.Before(f.ends) {
				d.CompleteCall(f.service, f.call, made(f.call), FailureNone, now)
				calls = append(calls[:i], calls[i+1:]...)
				i--
			}
		}
		for service, list := range d.Plan(now) {
			for _, c := range list {
				calls = append(calls, flight{service, c, now.Add(c.Expected)})
			}
		}
		d.TakeFreed(now)
	}
	return now
}

func TestPiecesOfManyRequestsShareACall(t *testing.T) {
	d := newDesk(8, "a")
	var results []*Result
	for i := range 3 {
		results = append(results, submit(d, newOrder(fmt.Sprint(i), 2), start))
	}
	calls := d.Plan(start)["p"]
	if len(calls) != 1 || len(calls[0].Pieces) != 6 {
		t.Fatalf("calls %+v, want one of 6 pieces", calls)
	}
	d.CompleteCall("p", calls[0], made(calls[0]), FailureNone, start.Add(260*time.Millisecond))
	for i, r := range results {
		if !r.IsDone || len(r.Handles) != 2 || !strings.Contains(r.Handles[0], fmt.Sprintf("/%d!", i)) {
			t.Errorf("order %d: %+v, want its own two results", i, r)
		}
	}
}

func TestStagesFollowEachOther(t *testing.T) {
	d := newDesk(8, "a", "b")
	r := submit(d, chain("x", 3, 2), start)
	run(d, start, 2*time.Second)
	if !r.IsDone || r.Reason != ReasonNone || len(r.Handles) != 2 || !strings.Contains(r.Handles[0], "!1.0") {
		t.Errorf("result %+v, want the two results of the second stage", r)
	}
	if n := d.queues["p"].bytesHeld(); n != 0 {
		t.Errorf("%d bytes of the first stage's results are held, want none", n)
	}
	d.Drop("x")
	d.TakeFreed(start)
	if n := d.queues["q"].bytesHeld(); n != 0 {
		t.Errorf("%d bytes are held after the results were given up, want none", n)
	}
}

func (q *Queue) bytesHeld() int64 {
	sum := int64(0)
	for _, e := range q.engines {
		sum += e.bytes
	}
	return sum
}

// Pattern: burst. What can't be done in time is refused at once, with the time
// after which it could.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	d := newDesk(8, "a")
	refused := 0
	for i := range 100 {
		r := submit(d, newOrder(fmt.Sprint(i), 8), start)
		if r.IsDone {
			refused++
			if r.Reason != ReasonBusy || r.RetryAfter < minRetry {
				t.Fatalf("result %+v, want busy with a time to come back", r)
			}
		}
	}
	// A target makes a full call in 280 ms, so about 20 orders fit into 6 s.
	if refused < 70 || refused > 90 {
		t.Errorf("%d of 100 refused, want 70 to 90", refused)
	}
}

func TestUrgentOrdersGoFirst(t *testing.T) {
	d := newDesk(8, "a")
	low := newOrder("low", 8)
	low.Priority = 2
	submit(d, newOrder("first", 8), start)
	c := d.Plan(start)["p"][0]
	submit(d, low, start)
	submit(d, newOrder("high", 8), start)
	now := start.Add(290 * time.Millisecond)
	d.CompleteCall("p", c, made(c), FailureNone, now)
	calls := d.Plan(now)["p"]
	if len(calls) == 0 || calls[0].Pieces[0].Request != "high" {
		t.Errorf("calls %+v, want the urgent order first", calls)
	}
}

func TestServiceWithoutTargetsRefuses(t *testing.T) {
	d := newDesk(8)
	if r := submit(d, newOrder("x", 1), start); r.Reason != ReasonBusy || r.RetryAfter == 0 {
		t.Errorf("result %+v, want busy with a time to come back", r)
	}
	unknown := newOrder("y", 1)
	unknown.Stages[0].Service = "nowhere"
	if r := submit(d, unknown, start); r.Reason != ReasonFailed {
		t.Errorf("result %+v, want failed", r)
	}
}

// Pattern: targets lost in a burst. Pieces of a broken call go to another target,
// and the one that broke is left alone for a while.
func TestBrokenCallGoesElsewhere(t *testing.T) {
	for _, failure := range []Failure{FailureRefused, FailureAbsent, FailureBroken, FailureTimeout} {
		d := newDesk(8, "a", "b")
		r := submit(d, newOrder("x", 4), start)
		c := d.Plan(start)["p"][0]
		now := start.Add(300 * time.Millisecond)
		d.CompleteCall("p", c, nil, failure, now)
		again := d.Plan(now)["p"]
		if len(again) != 1 || again[0].Target == c.Target || len(again[0].Pieces) != 4 {
			t.Fatalf("failure %d: calls %+v, want one of 4 pieces at the other target", failure, again)
		}
		d.CompleteCall("p", again[0], made(again[0]), FailureNone, now)
		if r.Reason != ReasonNone || len(r.Handles) != 4 {
			t.Errorf("failure %d: result %+v", failure, r)
		}
	}
}

func TestOrderWhoseInputsAreGoneRunsAgainOnce(t *testing.T) {
	d := newDesk(8, "a")
	r := submit(d, chain("x", 1, 1), start)
	now := start
	for range 2 {
		c := d.Plan(now)["p"][0]
		now = now.Add(210 * time.Millisecond)
		d.CompleteCall("p", c, made(c), FailureNone, now)
		c = d.Plan(now)["q"][0]
		now = now.Add(210 * time.Millisecond)
		d.CompleteCall("q", c, []Outcome{{Fault: FaultGone}}, FailureNone, now)
	}
	if r.Reason != ReasonGone {
		t.Errorf("result %+v, want gone after the second run", r)
	}
	if len(d.committed) == 0 || d.committed["p"] != 0 || d.committed["q"] != 0 {
		t.Errorf("pieces still counted: %v, want none", d.committed)
	}
}

// Results in a target's space that this home doesn't know of make it full for a
// while, so that calls without results don't follow each other.
func TestTargetWithoutSpaceIsLeftAlone(t *testing.T) {
	d := newDesk(8, "a")
	submit(d, newOrder("x", 8), start)
	c := d.Plan(start)["p"][0]
	outcomes := make([]Outcome, 8)
	for i := range outcomes {
		outcomes[i].Fault = FaultNoSpace
	}
	now := start.Add(210 * time.Millisecond)
	d.CompleteCall("p", c, outcomes, FailureNone, now)
	if calls := d.Plan(now.Add(50 * time.Millisecond)); len(calls) > 0 {
		t.Errorf("calls %+v 50 ms later, want none", calls)
	}
	if calls := d.Plan(now.Add(roomPause + 50*time.Millisecond))["p"]; len(calls) != 1 {
		t.Errorf("calls %+v after the pause, want one", calls)
	}
}

// A home that takes an order over goes on from the results that there are.
func TestOrderGoesOnAtAnotherHome(t *testing.T) {
	first := newDesk(8, "a")
	submit(first, chain("x", 2, 2), start)
	c := first.Plan(start)["p"][0]
	now := start.Add(230 * time.Millisecond)
	first.CompleteCall("p", c, made(c), FailureNone, now)
	progress := first.Progress("x")
	if len(progress) != 2 || !progress[0].IsDone || len(progress[0].Handles) != 2 || progress[1].IsDone {
		t.Fatalf("made %+v, want the first stage's two results", progress)
	}
	second := newDesk(8, "a")
	o := chain("y", 2, 2)
	o.Request, o.Progress = "x", progress
	r := submit(second, o, now)
	calls := second.Plan(now)
	if len(calls["p"]) != 0 || len(calls["q"]) != 1 || len(calls["q"][0].Pieces[0].Inputs) != 2 {
		t.Fatalf("calls %+v, want the second stage with two inputs", calls)
	}
	if n := second.queues["p"].bytesHeld(); n != 2000 {
		t.Errorf("%d bytes counted for the results taken over, want 2000", n)
	}
	second.CompleteCall("q", calls["q"][0], made(calls["q"][0]), FailureNone, now.Add(230*time.Millisecond))
	if r.Reason != ReasonNone || len(r.Handles) != 2 {
		t.Errorf("result %+v", r)
	}
}

func TestRequestsFollowTheirSession(t *testing.T) {
	d := newDesk(8, "a", "b")
	d.RecordSession(SessionTarget{Session: "s", Target: "m7", DataCentre: "b", Region: "b"}, start)
	o := newOrder("x", 2)
	o.Session, o.PrefixTokens, o.OriginRegion = "s", 3000, "a"
	r := submit(d, o, start.Add(time.Second))
	run(d, start.Add(time.Second), time.Second)
	if r.PrefixTarget != "m7" {
		t.Errorf("result %+v, want target m7", r)
	}
	o.ID = "late"
	r = submit(d, o, start.Add(sessionTime+2*time.Second))
	run(d, start.Add(sessionTime+2*time.Second), time.Second)
	if r.PrefixTarget != "" {
		t.Errorf("result %+v long after the session's last request, want no target", r)
	}
}

// A home that has just taken over shares targets with calls of the one before. Its
// first calls wait for these, which says nothing of how fast the targets are.
func TestTargetSharedWithALostHomeIsNotTakenForSlow(t *testing.T) {
	q := NewQueue(spec(4))
	q.SetTargets(stageTargets("a"))
	addJob(q, "x", 4)
	addJob(q, "y", 4)
	calls := q.Plan(start)
	if len(calls) != 2 {
		t.Fatalf("%d calls, want one at work and one behind it", len(calls))
	}
	first := start.Add(690 * time.Millisecond)
	q.CompleteCall(calls[0], made(calls[0]), FailureNone, first)
	q.CompleteCall(calls[1], made(calls[1]), FailureNone, first.Add(245*time.Millisecond))
	if ratio := q.engines["t0"].ratio; ratio > slowFrom {
		t.Errorf("ratio %.1f, want at most %.1f", ratio, slowFrom)
	}
}

// A target without space for a large result still gets small ones.
func TestTargetWithoutSpaceForLargeResultsGetsSmallOnes(t *testing.T) {
	d := newDesk(4, "a")
	large := newOrder("large", 1)
	large.Stages[0].ResultBytes = 600_000
	submit(d, large, start)
	c := d.Plan(start)["p"][0]
	now := start.Add(c.Expected)
	d.CompleteCall("p", c, []Outcome{{Fault: FaultNoSpace}}, FailureNone, now)
	submit(d, newOrder("small", 2), now)
	calls := d.Plan(now)["p"]
	if len(calls) != 1 || len(calls[0].Pieces) != 2 || calls[0].Pieces[0].Request != "small" {
		t.Errorf("calls %v, want one for the small results", calls)
	}
}

// Of requests of accounts of one priority those of urgent routes go first, unless
// the others are due long before.
func TestLessUrgentRoutesGoBehind(t *testing.T) {
	tests := []struct {
		name         string
		urgent, less time.Duration // when they are due
		first        string
	}{
		{"alike", 2 * time.Second, 2 * time.Second, "urgent"},
		{"due a little earlier", 3 * time.Second, 2200 * time.Millisecond, "urgent"},
		{"due much earlier", 5 * time.Second, 2 * time.Second, "less"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := newDesk(4, "a")
			submit(d, newOrder("at work", 4), start)
			d.Plan(start)
			less, urgent := newOrder("less", 4), newOrder("urgent", 4)
			less.Priority, less.Rank, less.DueIn = 1, 1, test.less
			urgent.Priority, urgent.Rank, urgent.DueIn = 1, 0, test.urgent
			submit(d, less, start)
			submit(d, urgent, start)
			d.SetService("p", spec(4), stageTargets("a", "a"))
			calls := d.Plan(start)["p"]
			if len(calls) == 0 || calls[0].Pieces[0].Request != test.first {
				t.Errorf("calls %v, want one for %s first", calls, test.first)
			}
		})
	}
}

// Each piece of a later stage reads all results of the stage before, so what lies
// between two stages moves many times.
func TestPiecesGoWhereTheirInputsLie(t *testing.T) {
	for _, at := range []string{"a", "b"} {
		d := newDesk(20, "a", "b")
		o := chain("x", 4, 10)
		o.Stages[0].ResultBytes, o.Stages[1].ResultBytes = 60_000, 6000
		o.DataCentre = "a"
		submit(d, o, start)
		calls := d.Plan(start)["p"]
		if len(calls) != 1 {
			t.Fatalf("%d calls, want one", len(calls))
		}
		// The other target's place is taken, so that the first stage is where at says.
		c := calls[0]
		e := d.queues["p"].engines[c.Target]
		e.target.DataCentre = at
		now := start.Add(c.Expected)
		d.CompleteCall("p", c, made(c), FailureNone, now)
		for _, next := range d.Plan(now)["q"] {
			if got := d.queues["q"].engines[next.Target].target.DataCentre; got != at {
				t.Errorf("the results lie in %s, the pieces that read them are made in %s", at, got)
			}
		}
	}
}

// atSecondStage returns a desk whose order is at its second stage, with the call
// that reads the first one's results, which take most of the space.
func atSecondStage() (d *Scheduler, r *Result, second *Call, now time.Time) {
	d = newDesk(20, "a")
	o := chain("x", 4, 10)
	o.Stages[0].ResultBytes = 200_000 // of 1 MB
	r = submit(d, o, start)
	first := d.Plan(start)["p"][0]
	now = start.Add(first.Expected)
	d.CompleteCall("p", first, made(first), FailureNone, now)
	second = d.Plan(now)["q"][0]
	d.queues["q"].engines[second.Target].path = 20 * time.Millisecond
	return d, r, second, now
}

// A stage's results are given up while the stage that reads them is at work, once
// its target has fetched them.
func TestInputsAreFreedOnceTheyAreRead(t *testing.T) {
	d, r, second, now := atSecondStage()
	d.Plan(now.Add(50 * time.Millisecond))
	if freed := d.TakeFreed(now); len(freed) > 0 {
		t.Errorf("results freed 50 ms after the call that reads them was sent: %v", freed)
	}
	later := now.Add(150 * time.Millisecond)
	d.Plan(later)
	if got := len(d.TakeFreed(later)["p"]["t0"]); got != 4 {
		t.Errorf("%d results freed while the call that has read them is at work, want 4", got)
	}
	d.CompleteCall("q", second, made(second), FailureNone, now.Add(second.Expected))
	if !r.IsDone || r.Reason != ReasonNone || len(r.Handles) != 10 {
		t.Errorf("result %+v, want 10 handles", r)
	}
}

// A call that fails after its inputs were given up costs its requests all stages.
func TestFailedCallWithoutItsInputsRunsTheStagesAgain(t *testing.T) {
	d, r, second, now := atSecondStage()
	now = now.Add(150 * time.Millisecond)
	d.Plan(now)
	d.TakeFreed(now)
	d.CompleteCall("q", second, nil, FailureBroken, now)
	run(d, now, 3*time.Second)
	if !r.IsDone || r.Reason != ReasonNone || len(r.Handles) != 10 || r.Runs != 2 {
		t.Errorf("result %+v, want 10 handles after two runs", r)
	}
}

// A home that takes an order over makes again what the one before had given up
// early, from its very beginning: no piece may lack its inputs.
func TestTakenOverOrderNeverLacksInputs(t *testing.T) {
	d := newDesk(20, "a")
	d.SetService("r", spec(20), stageTargets("a"))
	o := chain("x", 2, 3)
	o.Stages = append(o.Stages, fleet.Stage{Service: "r", After: []int{1}, ResultBytes: 1000})
	o.Pieces = []int{2, 3, 4}
	o.Progress = []StageProgress{{IsDone: true}, {IsDone: true}, {}}
	r := submit(d, o, start)
	for now, i := start, 0; i < 3; i++ {
		for service, calls := range d.Plan(now) {
			for _, c := range calls {
				for _, p := range c.Pieces {
					if want := map[string]int{"p": 0, "q": 2, "r": 3}[service]; len(p.Inputs) != want {
						t.Errorf("a piece of %s has %d inputs, want %d", service, len(p.Inputs), want)
					}
				}
				d.CompleteCall(service, c, made(c), FailureNone, now.Add(c.Expected))
			}
		}
		now = now.Add(time.Second)
	}
	if r.Reason != ReasonNone || len(r.Handles) != 4 {
		t.Errorf("result %+v, want 4 handles", r)
	}
}

// Two results of one name count once, since they are freed together.
func TestResultsOfOneNameCountOnce(t *testing.T) {
	q := NewQueue(spec(4))
	q.SetTargets(stageTargets("a"))
	for _, id := range []string{"x", "y"} {
		addJob(q, id, 1)
		c := q.Plan(start)[0]
		q.CompleteCall(c, []Outcome{{Handle: "10.0.0.0:1/same"}}, FailureNone, start.Add(c.Expected))
	}
	if got := q.engines["t0"].bytes; got != 1000 {
		t.Errorf("%d bytes counted, want 1000", got)
	}
	q.Free([]string{"10.0.0.0:1/same"}, start.Add(time.Second))
	if got := q.engines["t0"].bytes; got != 0 {
		t.Errorf("%d bytes counted once the results are freed, want none", got)
	}
}

// A stage that was half made goes on from there at another home.
func TestHalfMadeStageGoesOnAtAnotherHome(t *testing.T) {
	first := newDesk(2, "a")
	o := newOrder("x", 3)
	submit(first, o, start)
	c := first.Plan(start)["p"][0]
	now := start.Add(c.Expected)
	first.CompleteCall("p", c, made(c), FailureNone, now)
	if o.Progress = first.Progress("x"); len(o.Progress) != 1 || o.Progress[0].IsDone || len(o.Progress[0].Handles) != 3 {
		t.Fatalf("made %+v, want two of three results of one stage", o.Progress)
	}
	second := newDesk(4, "a")
	r := submit(second, o, now)
	calls := second.Plan(now)["p"]
	if len(calls) != 1 || len(calls[0].Pieces) != 1 || calls[0].Pieces[0].Number != 2 {
		t.Fatalf("calls %v, want one for piece 2", calls)
	}
	second.CompleteCall("p", calls[0], made(calls[0]), FailureNone, now.Add(time.Second))
	if r.Reason != ReasonNone || len(r.Handles) != 3 || r.Handles[0] != c.Address+"/x!0.0" {
		t.Errorf("result %+v, want three handles", r)
	}
	second.Drop("x")
	if got := len(second.TakeFreed(now)["p"]["t0"]); got != 3 {
		t.Errorf("%d results freed, want 3", got)
	}
}

// Results of a home that was lost are freed by the one after it.
func TestResultsOfALostHomeAreFreed(t *testing.T) {
	d := newDesk(8, "a", "b")
	d.FreeHandles([]string{"10.0.0.0:1/x!0.0", "10.0.0.1:1/x!0.1", "10.0.0.9:1/x!0.2"})
	got := d.TakeFreed(start)["p"]
	if len(got["t0"]) != 1 || len(got["t1"]) != 1 {
		t.Errorf("freed %v, want one result at each of t0 and t1", got)
	}
	if d.HasFreed() {
		t.Error("results are freed twice")
	}
}

// Regions of an order bind its pieces, whatever stands free elsewhere.
func TestPiecesStayInAllowedRegions(t *testing.T) {
	d := newDesk(8, "a", "b")
	o := newOrder("x", 8)
	o.Regions = []string{"b"}
	submit(d, o, start)
	for _, c := range d.Plan(start)["p"] {
		if c.Target != "t1" {
			t.Errorf("a call goes to %s, want t1", c.Target)
		}
	}
}

// Random loads and failures: every order ends once, with results of its own or
// none, no piece is made from another request's results, and nothing stays
// counted.
func TestRandomFailures(t *testing.T) {
	for seed := range uint64(200) {
		random(t, seed)
	}
}

func random(t *testing.T, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 7))
	d := newDesk(2+r.IntN(10), "a", "a", "b")
	now := start
	ends := map[string]int{}
	type flight struct {
		service string
		call    *Call
		ends    time.Time
	}
	var calls []flight
	id := 0
	for step := range 1500 {
		now = now.Add(time.Duration(r.IntN(20)) * time.Millisecond)
		if step < 900 && r.IntN(3) == 0 {
			id++
			o := chain(fmt.Sprint(id), r.IntN(4), r.IntN(5))
			o.Priority = r.IntN(3)
			if r.IntN(5) == 0 {
				o.TimeLeft = time.Duration(r.IntN(1500)) * time.Millisecond
			}
			d.Submit(o, now, func(res Result) {
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
			d.Drop(fmt.Sprint(1 + r.IntN(id)))
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
			out := made(f.call)
			for k := range out {
				if r.IntN(25) == 0 {
					out[k] = Outcome{Fault: Fault(1 + r.IntN(4))}
				}
			}
			d.CompleteCall(f.service, f.call, out, failure, now)
		}
		for service, list := range d.Plan(now) {
			for _, c := range list {
				for _, p := range c.Pieces {
					for _, h := range p.Inputs {
						if !strings.Contains(h, "/"+p.Request+"!") {
							t.Errorf("seed %d: a piece of %s is made from %s", seed, p.Request, h)
						}
					}
				}
				calls = append(calls, flight{service, c, now.Add(time.Duration(r.IntN(2)+1) * c.Expected)})
			}
		}
		d.TakeFreed(now)
	}
	d.Plan(now.Add(time.Minute))
	for _, f := range calls {
		d.CompleteCall(f.service, f.call, nil, FailureBroken, now.Add(time.Minute))
	}
	for n := 1; n <= id; n++ {
		if got := ends[fmt.Sprint(n)]; got != 1 {
			t.Errorf("seed %d: order %d ended %d times, want once", seed, n, got)
		}
		d.Drop(fmt.Sprint(n))
	}
	d.Plan(now.Add(2 * time.Minute))
	for service, n := range d.committed {
		if n != 0 {
			t.Errorf("seed %d: %d pieces still counted at %s", seed, n, service)
		}
		if held := d.queues[service].bytesHeld(); held != 0 {
			t.Errorf("seed %d: %d bytes still counted at %s", seed, held, service)
		}
	}
}
