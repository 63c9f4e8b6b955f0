package canary

import (
	"testing"
	"time"

	"chivepost/entry/internal/table"
	"chivepost/share/fleet"
)

func viewOf(versions ...string) *table.View {
	v := &table.View{Targets: map[string][]*table.Target{}, TargetsLoaded: true}
	for i, version := range versions {
		v.Targets["s"] = append(v.Targets["s"], &table.Target{Target: fleet.Target{ID: string(rune('a' + i)), Service: "s", DataCentre: "a", Version: version}})
	}
	return v
}

// A host that started anew refused a whole service, because the status named a version that has
// no targets any more since later releases.
func TestRestartedHostIgnoresACompletedVersionOfThePast(t *testing.T) {
	now := time.Now()
	for _, versions := range [][]string{{"v3", "v3"}, {"v3", "v4"}} {
		g := NewGate(Options{Share: 0.1, Slack: 50, Hosts: func() int { return 9 }})
		g.SetStatuses(map[string]fleet.RolloutStatus{"s": {Target: "v2", State: fleet.RolloutCompleted}})
		if got := len(g.Select(viewOf(versions...), "s", "r", false, now).Targets); got != len(versions) {
			t.Errorf("targets of versions %v: %d of %d may be used", versions, got, len(versions))
		}
	}
}

// A decider that reads the status before the order took the roll-out for withdrawn at once.
func TestWithdrawalIsConfirmedByTime(t *testing.T) {
	now := time.Now()
	d := NewDecider("d", 0.1, 50)
	all := map[string]facts{"s": {status: fleet.RolloutStatus{Target: "v2", State: fleet.RolloutInProgress}}}
	size := fleetSize{all: 1, alive: 1}
	if out := d.tick(all, size, now); len(out) > 0 {
		t.Errorf("first look without an order: %+v, want nothing", out)
	}
	if out := d.tick(all, size, now.Add(orderDelay)); len(out) != 1 || out[0].status.State != fleet.RolloutRolledBack {
		t.Errorf("without an order for %s: %+v, want a rollback", orderDelay, out)
	}
}

// A status of another version, as in a restored copy of the store, displaced the verdict on the
// version that is ordered.
func TestStatusOfAnotherVersionDoesNotDisplaceTheVerdict(t *testing.T) {
	now := time.Now()
	g := NewGate(Options{Share: 0.1, Slack: 50, Hosts: func() int { return 9 }})
	v := viewOf("v3", "v3")
	v.Orders = map[string]fleet.Order{"s": {Service: "s", Target: "v3", Duration: 12 * time.Second}}
	g.Select(v, "s", "r", false, now)
	g.SetStatuses(map[string]fleet.RolloutStatus{"s": {Target: "v3", State: fleet.RolloutCompleted}})
	g.SetStatuses(map[string]fleet.RolloutStatus{"s": {Target: "v2", State: fleet.RolloutCompleted}})
	if got := len(g.Select(v, "s", "r", false, now).Targets); got != 2 {
		t.Errorf("%d of 2 targets may be used", got)
	}
}

// A verdict that a restored store had lost was written again by nobody, so a later decider would
// have begun the roll-out anew.
func TestVerdictsAreWrittenAgainAfterARestore(t *testing.T) {
	now := time.Now()
	c := &Controller{}
	c.recordEra(0, now)
	c.recordEra(3, now)
	if c.mustRewrite {
		t.Error("the first era that is known counts as a restore")
	}
	c.recordEra(4, now)
	if !c.mustRewrite || !c.restoredAt.Equal(now) {
		t.Error("a higher era doesn't count as a restore")
	}
	done := fleet.RolloutStatus{Target: "v2", State: fleet.RolloutCompleted}
	writes := rewrites(map[string]facts{
		"done": {status: done}, "open": {status: fleet.RolloutStatus{Target: "v2", State: fleet.RolloutInProgress}}, "none": {},
	})
	if len(writes) != 1 || writes[0].service != "done" || writes[0].status != done {
		t.Fatalf("got %+v, want the completed status", writes)
	}
	for _, test := range []struct {
		store fleet.RolloutStatus
		want  bool
	}{
		{fleet.RolloutStatus{}, true},
		{fleet.RolloutStatus{Target: "v2", State: fleet.RolloutInProgress}, true},
		{done, false},
		{fleet.RolloutStatus{Target: "v3", State: fleet.RolloutInProgress}, false},
	} {
		if got := writes[0].holdsAfter(test.store); got != test.want {
			t.Errorf("store has %+v: written %v, want %v", test.store, got, test.want)
		}
	}
}
