package canary

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"chivepost/entry/internal/table"
	"chivepost/share/fleet"
)

// inFleet runs a test with nine hosts in virtual time, for some seeds.
func inFleet(t *testing.T, name string, run func(f *simFleet)) {
	t.Helper()
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, seed, 9, 200)
				defer f.close()
				run(f)
			})
		})
	}
}

var someFail = slowOrFailing(0.3, true, func(*simFleet, *table.Target, string) bool { return true })

// kill ends a host for good.
func (h *simHost) kill() {
	h.mu.Lock()
	h.isDown = true
	h.mu.Unlock()
	h.controller.Close()
}

func (f *simFleet) setCut(isCut bool, of ...*simHost) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range of {
		f.cut[h.name] = isCut
	}
}

func (f *simFleet) setAway(isAway bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isAway = isAway
}

// Losing the decider at any stage, or its messages, must neither exceed the exposure, nor
// leave the roll-out without a verdict, nor give it two. The first host decides.
func TestFaultsOfTheDecider(t *testing.T) {
	faults := map[string]func(f *simFleet){
		"killed in the trial":         func(f *simFleet) { time.Sleep(3 * time.Second); f.hosts[0].kill() },
		"killed in the cutover":       func(f *simFleet) { time.Sleep(8500 * time.Millisecond); f.hosts[0].kill() },
		"frozen for 3 s in the trial": func(f *simFleet) { time.Sleep(2500 * time.Millisecond); f.hosts[0].freeze(3 * time.Second) },
		"frozen before its verdict":   func(f *simFleet) { time.Sleep(8900 * time.Millisecond); f.hosts[0].freeze(5 * time.Second) },
		"cut off": func(f *simFleet) {
			time.Sleep(2 * time.Second)
			f.setCut(true, f.hosts[0])
			time.Sleep(6 * time.Second)
			f.setCut(false, f.hosts[0])
		},
		"cut off with a third": func(f *simFleet) {
			time.Sleep(2 * time.Second)
			f.setCut(true, f.hosts[:3]...)
			time.Sleep(8 * time.Second)
			f.setCut(false, f.hosts[:3]...)
		},
		"killed twice": func(f *simFleet) {
			time.Sleep(2 * time.Second)
			f.hosts[0].kill()
			time.Sleep(3 * time.Second)
			f.hosts[1].kill()
		},
	}
	for name, fault := range faults {
		inFleet(t, name+", bad", func(f *simFleet) {
			f.serveBy(someFail)
			f.checkBad(f.runRollout(func() { fault(f) }))
			f.checkStatus(rolledBack)
		})
		inFleet(t, name+", good", func(f *simFleet) {
			f.runRollout(func() { fault(f) })
			f.checkStatus(completed)
		})
	}
}

// A host without a decider must stop sending to the version when its grant has lapsed, also
// if that was the whole traffic.
func TestGrantLapsesAtHostThatIsCutOff(t *testing.T) {
	for name, at := range map[string]time.Duration{"trial": 3 * time.Second, "cutover": 9 * time.Second} {
		inFleet(t, name, func(f *simFleet) {
			h := f.hosts[8]
			var view *table.View
			f.runRollout(func() {
				time.Sleep(at)
				v := h.View()
				view = v
				f.setCut(true, h)
			})
			now := time.Now()
			for _, target := range h.gate.Select(view, "s", "main", false, now).Targets {
				if target.Version == "v2" {
					f.t.Fatalf("%s may get requests of a host that is cut off", target.ID)
				}
			}
		})
	}
}

// While the store can't be reached no verdict is possible, but a bad version must get no more
// requests, and its verdict must follow.
func TestStoreAwayDuringRollout(t *testing.T) {
	inFleet(t, "bad", func(f *simFleet) {
		f.serveBy(someFail)
		f.checkBad(f.runRollout(func() {
			time.Sleep(1500 * time.Millisecond)
			f.setAway(true)
			time.Sleep(7 * time.Second)
			f.setAway(false)
		}))
		f.checkStatus(rolledBack)
	})
	inFleet(t, "good, at its verdict", func(f *simFleet) {
		f.runRollout(func() {
			time.Sleep(7 * time.Second)
			f.setAway(true)
			time.Sleep(4 * time.Second)
			f.setAway(false)
		})
		f.checkStatus(completed)
	})
}

// A write may take effect after its response was lost. The decider must find it, also if it
// has changed its mind, and not write another outcome.
func TestLateWriteGivesOneOutcome(t *testing.T) {
	for _, lag := range []time.Duration{0, 300 * time.Millisecond, 2 * time.Second} {
		inFleet(t, lag.String(), func(f *simFleet) {
			f.lag = lag
			f.serveBy(slowOrFailing(0.9, true, func(f *simFleet, _ *table.Target, _ string) bool {
				return time.Since(f.start) > 9300*time.Millisecond // from the cutover on
			}))
			f.runRollout(func() {
				time.Sleep(3 * time.Second)
				f.mu.Lock()
				f.loseReply = 2
				f.mu.Unlock()
			})
			f.close()
			if !f.status().IsFinal() {
				f.t.Errorf("no verdict: %+v", f.records)
			}
			f.checkStatus(f.status())
		})
	}
}

// A version that turns bad when it gets the whole traffic must still be rolled back, while the
// old targets run.
func TestBadInTheCutover(t *testing.T) {
	inFleet(t, "bad", func(f *simFleet) {
		f.serveBy(slowOrFailing(0.5, true, func(f *simFleet, _ *table.Target, _ string) bool { return time.Since(f.start) > 8500*time.Millisecond }))
		f.runRollout(nil)
		f.checkStatus(rolledBack)
		if last := f.sent[len(f.sent)-1].Sub(f.bad[badLimit-1]); last > testRollback {
			f.t.Errorf("the last request was sent %s after the 50th bad response", last)
		}
	})
}

// A new decider must count the grants of the one before it, which not all hosts have heard
// of, and give none before that one has lost its majority.
func TestNewDeciderCountsEarlierGrants(t *testing.T) {
	now := time.Now()
	d := NewDecider("b", testShare, testSlack)
	f := facts{order: fleet.Order{Service: "s", Target: "v2", Duration: testDuration}, status: fleet.RolloutStatus{Target: "v2", State: fleet.RolloutInProgress}, oldTargets: 10, newTargets: 10}
	size := fleetSize{all: 3, alive: 3}
	report := func(host string, at time.Time, total uint32) Reply {
		r := Report{Service: "s", Version: "v2", Age: testDuration / 2, Requests: 10, Total: total, TotalBy: "a"}
		d.tick(map[string]facts{"s": f}, size, at)
		return d.handle(host, 1, r, f, size, at)
	}
	report("h1", now, 5)
	report("h2", now, 30)
	if got := report("h3", now.Add(takeoverDelay/2), 0); got.Cap > 0 {
		t.Errorf("%d granted before the decider before it has lost its majority", got.Cap)
	}
	at := now.Add(takeoverDelay)
	report("h1", at, 5)
	for range 100 {
		report("h2", at, 30)
		report("h3", at, 0)
	}
	got := report("h3", at, 0)
	if limit := uint32(slackUsed*testSlack + testShare*30); got.Total > limit || got.Total < 30 {
		t.Errorf("%d granted in all, want 30 of the decider before and at most %d", got.Total, limit)
	}
}

// A decider that takes over shortly before the deadline must not roll a version back for
// lack of evidence before the hosts have reported theirs, and must count what they sent in a
// cutover that was broken off.
func TestLateTakeover(t *testing.T) {
	now := time.Now()
	d := NewDecider("b", testShare, testSlack)
	f := facts{order: fleet.Order{Service: "s", Target: "v2", Duration: testDuration}, status: fleet.RolloutStatus{Target: "v2", State: fleet.RolloutInProgress}, oldTargets: 10, newTargets: 10}
	all, size := map[string]facts{"s": f}, fleetSize{all: 2, alive: 2}
	r := Report{Service: "s", Version: "v2", Age: testDuration, Requests: 100, Sent: 80, Total: 20, TotalBy: "a"}
	if got := d.handle("h1", 1, r, f, size, now); got.Cap != r.Sent {
		t.Errorf("reply %+v, want no grants", got)
	}
	for range 2 {
		if got := d.tick(all, size, now); len(got) > 0 {
			t.Errorf("wrote %+v before the hosts have reported", got)
		}
	}
	now = now.Add(takeoverDelay)
	r.Evidence = Evidence{"r": {New: Tally{Done: 20}, Old: Tally{Done: 20}}}
	for _, host := range []string{"h1", "h2"} {
		if got := d.handle(host, 1, r, f, size, now); got.Cap != r.Sent {
			t.Errorf("%s got a grant of %d after %d requests, of 200 in all", host, got.Cap, r.Sent)
		}
	}
	if got := d.tick(all, size, now); len(got) > 0 {
		t.Errorf("wrote %+v, want a cutover", got)
	}
	if got := d.handle("h1", 1, r, f, size, now); got.Phase != PhaseCutover {
		t.Errorf("reply %+v, want a cutover", got)
	}
}

// A host that starts after a version was rolled back must not use its targets, which drain
// later; and a grant that ends between the choice and the send must hold the request.
func TestGateKnowsTheVerdict(t *testing.T) {
	now := time.Now()
	a, b := &table.Target{Target: fleet.Target{ID: "a", Service: "s", Version: "v1"}}, &table.Target{Target: fleet.Target{ID: "b", Service: "s", Version: "v2"}}
	view := &table.View{Targets: map[string][]*table.Target{"s": {a, b}}, Orders: map[string]fleet.Order{}}
	opts := Options{Share: testShare, Hosts: func() int { return 1 }}
	g := NewGate(opts)
	g.SetStatuses(map[string]fleet.RolloutStatus{"s": rolledBack})
	other := &table.Target{Target: fleet.Target{ID: "c", Service: "s", Version: "v1.1"}}
	mixed := &table.View{Targets: map[string][]*table.Target{"s": {a, other, b}}}
	if got := g.Select(mixed, "s", "r", false, now).Targets; !slices.Equal(got, []*table.Target{a, other}) {
		t.Errorf("targets %+v, want all but that of v2", got)
	}
	g = NewGate(opts)
	view.Orders["s"] = fleet.Order{Service: "s", Target: "v2", Duration: testDuration}
	g.Select(view, "s", "r", false, now)
	g.Apply(Reply{Service: "s", Version: "v2", Phase: PhaseTrial, Cap: 1}, now, now)
	use, ok := g.Begin(view, b, "r", true, now)
	if !ok || use.Check(view, now) != nil {
		t.Fatal("a granted request is held")
	}
	g.Apply(Reply{Service: "s", Version: "v2"}, now, now)
	if use.Check(view, now) == nil {
		t.Error("a request is sent after its grant has ended")
	}
}

// A sample of the old version without slow responses must not make a few of the new one look
// bad.
func TestSmallSamplesShowNothing(t *testing.T) {
	e := Evidence{}
	r := e.route("r")
	for range 40 {
		r.Old.Done++
		r.Old.First.add(50 * time.Millisecond)
	}
	for i := range 15 {
		r.New.Done++
		r.New.First.add(50 * time.Millisecond)
		if i < 3 {
			r.New.First.add(500 * time.Millisecond)
		}
	}
	if reason, ok := e.isBad(finalLevel); ok {
		t.Errorf("bad: %s", reason)
	}
}

// Without the decider, a host that gets many failures stops by itself.
func TestHostStopsByItself(t *testing.T) {
	now := time.Now()
	g := NewGate(Options{Share: testShare, Regions: map[string]string{}, Hosts: func() int { return 9 }})
	view := &table.View{Orders: map[string]fleet.Order{}, Targets: map[string][]*table.Target{"s": {{Target: fleet.Target{ID: "a", Service: "s", Version: "v1"}}}}}
	g.Select(view, "s", "r", false, now)
	newTarget := &table.Target{Target: fleet.Target{ID: "b", Service: "s", Version: "v2"}}
	view.Targets["s"] = append(view.Targets["s"], newTarget)
	view.Orders["s"] = fleet.Order{Service: "s", Target: "v2", Duration: testDuration}
	g.Select(view, "s", "r", false, now)
	g.Apply(Reply{Service: "s", Version: "v2", Phase: PhaseTrial, Cap: 1000}, now, now)
	n := 0
	for range 100 {
		u, ok := g.Begin(view, newTarget, "r", true, now)
		if !ok {
			break
		}
		n++
		u.Done(Outcome{Kind: Failed}, now)
	}
	if n != 6 {
		t.Errorf("the host sent %d requests that failed, want 6: its part of 50, rounded up", n)
	}
}

// reach waits until v2 is in a state, and returns the requests that it got.
func (f *simFleet) reach(want fleet.RolloutStatus, within time.Duration) int {
	f.t.Helper()
	for begin := time.Now(); f.status() != want; time.Sleep(10 * time.Millisecond) {
		if time.Since(begin) > within {
			f.t.Fatalf("status %+v after %s, want %+v", f.status(), within, want)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.sent)
}

// Each case of an order that changes has one answer, and a version without an order in force
// gets nothing.
func TestOrderThatChanges(t *testing.T) {
	inFleet(t, "replaced", func(f *simFleet) {
		f.runRollout(func() {
			time.Sleep(4 * time.Second)
			f.setTargets("v3", 10)
			f.order("v3", testDuration)
		})
		time.Sleep(testDuration)
		f.close()
		var got []fleet.RolloutStatus
		for _, r := range f.records {
			got = append(got, r.status)
		}
		want := []fleet.RolloutStatus{{Target: "v2", State: fleet.RolloutInProgress}, rolledBack, {Target: "v3", State: fleet.RolloutInProgress}, {Target: "v3", State: fleet.RolloutCompleted}}
		if !slices.Equal(got, want) {
			f.t.Errorf("statuses %+v, want %+v", got, want)
		}
	})
	inFleet(t, "withdrawn", func(f *simFleet) {
		f.runRollout(func() { time.Sleep(4 * time.Second); f.order("", 0) })
		f.checkStatus(rolledBack)
		if last := f.sent[len(f.sent)-1].Sub(f.start); last > 4100*time.Millisecond {
			f.t.Errorf("v2 got a request %s after the order, which was withdrawn after 4 s", last)
		}
	})
	inFleet(t, "repeated after it was rolled back", func(f *simFleet) {
		f.serveBy(someFail)
		f.runRollout(nil)
		n := f.reach(rolledBack, time.Second)
		f.order("", 0)
		time.Sleep(time.Second)
		f.order("v2", testDuration)
		time.Sleep(testDuration)
		if m := f.reach(rolledBack, time.Second); m != n {
			f.t.Errorf("v2 got %d requests after it was rolled back", m-n)
		}
	})
	inFleet(t, "for the version in use", func(f *simFleet) {
		time.Sleep(2 * time.Second)
		f.order("v1", testDuration)
		f.reach(fleet.RolloutStatus{Target: "v1", State: fleet.RolloutCompleted}, 2*time.Second)
		f.close()
		if f.refused > 0 {
			f.t.Errorf("%d requests refused", f.refused)
		}
	})
	inFleet(t, "back to the version before", func(f *simFleet) {
		f.runRollout(nil)
		f.setTargets("v1", 0)
		time.Sleep(5 * time.Second)
		f.setTargets("v1", 10)
		f.order("v1", testDuration)
		time.Sleep(testDuration)
		f.checkStatus(fleet.RolloutStatus{Target: "v1", State: fleet.RolloutCompleted})
	})
}

// A version must be rolled back if its targets don't come or don't stay, and requests must go
// on at the old one.
func TestTargetsThatAreMissing(t *testing.T) {
	inFleet(t, "never come", func(f *simFleet) {
		f.runRollout(func() { f.setTargets("v2", 0) })
		f.checkStatus(rolledBack)
	})
	inFleet(t, "leave", func(f *simFleet) {
		f.runRollout(func() { time.Sleep(4 * time.Second); f.setTargets("v2", 0) })
		f.checkStatus(rolledBack)
	})
	inFleet(t, "leave in the cutover", func(f *simFleet) {
		f.runRollout(func() { time.Sleep(8700 * time.Millisecond); f.setTargets("v2", 0) })
		f.checkStatus(rolledBack)
	})
	inFleet(t, "most leave", func(f *simFleet) {
		f.runRollout(func() { time.Sleep(4 * time.Second); f.setTargets("v2", 2) })
		f.checkStatus(rolledBack)
	})
	inFleet(t, "some old ones crash, bad", func(f *simFleet) {
		f.serveBy(someFail)
		f.checkBad(f.runRollout(func() { time.Sleep(time.Second); f.setTargets("v1", 3) }))
		f.checkStatus(rolledBack)
	})
	inFleet(t, "all old ones crash, bad", func(f *simFleet) {
		f.serveBy(someFail)
		f.checkBad(f.runRollout(func() { time.Sleep(time.Second); f.setTargets("v1", 0) }))
		f.checkStatus(rolledBack)
	})
	inFleet(t, "all old ones crash, good", func(f *simFleet) {
		f.runRollout(func() { time.Sleep(4 * time.Second); f.setTargets("v1", 0) })
		f.checkStatus(completed)
		if took := f.records[len(f.records)-1].at.Sub(f.start); took > 7*time.Second {
			f.t.Errorf("completed %s after the order, want soon after the old targets crashed at 4 s", took)
		}
	})
}

// Without an order, a version that appears beside the one in use waits for its order, and a
// plain release goes on as without roll-outs.
func TestVersionsWithoutOrder(t *testing.T) {
	inFleet(t, "beside", func(f *simFleet) {
		time.Sleep(time.Second)
		f.setTargets("v2", 10)
		time.Sleep(10 * time.Second)
		f.close()
		if n := len(f.sent); n > 0 {
			f.t.Errorf("v2 got %d requests without an order", n)
		}
	})
	inFleet(t, "replaced one after the other", func(f *simFleet) {
		time.Sleep(time.Second)
		for i := 9; i >= 0; i-- {
			f.setTargets("v1", i)
			f.setTargets("v2", 10-i)
			time.Sleep(time.Second)
		}
		f.close()
		if f.refused > 0 || f.reached["v2-0"] < 100 || len(f.records) > 0 {
			f.t.Errorf("%d requests refused, the first target of v2 got %d, statuses %+v", f.refused, f.reached["v2-0"], f.records)
		}
	})
	inFleet(t, "back, one after the other, after a roll-out", func(f *simFleet) {
		f.runRollout(nil)
		f.setTargets("v1", 0)
		time.Sleep(5 * time.Second)
		f.mu.Lock()
		f.refused, f.reached = 0, map[string]int{}
		f.mu.Unlock()
		for i := 9; i >= 0; i-- {
			f.setTargets("v2", i)
			f.setTargets("v1", 10-i)
			time.Sleep(time.Second)
		}
		f.close()
		if f.refused > 0 || f.reached["v1-0"] < 100 {
			f.t.Errorf("%d requests refused, the first target of v1 got %d", f.refused, f.reached["v1-0"])
		}
	})
	inFleet(t, "both when the hosts start", func(f *simFleet) {
		f.setTargets("v2", 10)
		time.Sleep(3 * time.Second)
		f.close()
		if f.reached["v2-0"] == 0 || f.reached["v1-0"] == 0 {
			f.t.Errorf("requests by target %v, want some at each", f.reached)
		}
	})
}

// Concentrating the trial on few targets shows what happens under load; spreading it over the
// routes shows a version that is bad on one.
func TestTrialIsConcentratedAndSpread(t *testing.T) {
	inFleet(t, "good", func(f *simFleet) {
		f.runRollout(func() { time.Sleep(8 * time.Second); f.order("", 0) })
		f.close()
		targets := 0
		for id := range f.reached {
			if id[:2] == "v2" {
				targets++
			}
		}
		if targets != 1 {
			f.t.Errorf("%d of 10 targets of v2 got requests, want 1 as in ten old ones in one region", targets)
		}
		if f.routes["rare"] < 5 {
			f.t.Errorf("requests to v2 by route %v, want some on each", f.routes)
		}
	})
}
