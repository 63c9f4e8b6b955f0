package batch

import (
	"testing"
	"time"

	"chivepost/entry/internal/place"
)

// Hosts don't know each other's requests, so long prompts of several hosts met at one target
// while others were idle. The home must place them apart, and count a prompt no longer once
// its first event is there.
func TestLongPromptsArePlacedApart(t *testing.T) {
	sc := newScheduler(8, "a", "b")
	sc.SetModels("model", []place.Target{{ID: "m0", DataCentre: "a"}, {ID: "m1", DataCentre: "a"}, {ID: "far", DataCentre: "b"}})
	at := start
	run := func(id string) string {
		t.Helper()
		o := newOrder(id, 1)
		o.Session, o.Service, o.OwnTokens, o.SessionTokens = "s", "model", 9000, 100
		r := submit(sc, o, at)
		at = runTargets(sc, at, 500*time.Millisecond)
		if !r.IsDone || r.DataCentre != "a" {
			t.Fatalf("order %s: result %+v, want one in data centre a", id, r)
		}
		return r.PrefixTarget
	}
	first, second := run("first"), run("second")
	if first == second || first == "far" || second == "far" {
		t.Errorf("requests placed at %q and %q, want both targets of data centre a", first, second)
	}
	sc.Drop("first")
	if third := run("third"); third != first {
		t.Errorf("third request placed at %q, want %q, whose request has its first event", third, first)
	}
}

// Without model targets of its own, a home leaves the choice to the hosts.
func TestOrdersWithoutModelTargetsAreNotPlaced(t *testing.T) {
	sc := newScheduler(8, "a", "b")
	o := newOrder("x", 1)
	o.Service, o.OwnTokens = "model", 9000
	r := submit(sc, o, start)
	runTargets(sc, start, time.Second)
	if !r.IsDone || r.PrefixTarget != "" {
		t.Errorf("result %+v, want one without a target", r)
	}
}
