package edge

import (
	"testing"
	"time"

	"chivepost/entry/internal/canary"
	"chivepost/share/fleet"
)

// Requests must not reach a version that isn't granted or has been replaced, must be repeated
// at the old version after they failed at the new one, and must show the decider what failed.
func TestVersionsOfTargets(t *testing.T) {
	h := startHost(t, fakeStages{}, ok, failure)
	gate := canary.NewGate(canary.Options{Share: 0.1, Hosts: h.Count})
	h.handler.opts.Rollouts = gate
	old, newer := h.view.Targets["s"][0], h.view.Targets["s"][1]
	old.Version, newer.Version = "v1", "v2"
	h.view.Orders = map[string]fleet.Order{"s": {Service: "s", Target: "v2", Duration: 12 * time.Second}}
	send := func(want string, n int) {
		t.Helper()
		for range n {
			if got := h.send(t, "/safe/x", nil); got.body != want {
				t.Errorf("got %+v, want %q", got, want)
			}
		}
	}
	runs := func(want int32) {
		t.Helper()
		if got := h.runs.Swap(0); got != want {
			t.Errorf("targets got %d requests, want %d", got, want)
		}
	}
	send("whole", 4)
	runs(4)
	now := time.Now()
	gate.Apply(canary.Reply{Service: "s", Version: "v2", Phase: canary.PhaseTrial, Cap: 2}, now, now)
	send("whole", 4)
	runs(6) // two at the new version as well
	r := gate.Reports(&h.view, time.Now())
	if len(r) != 1 || r[0].Sent != 2 || r[0].Requests != 8 || r[0].OldInFlight != 0 || r[0].Evidence["safe"].New.Failed != 2 || r[0].Evidence["safe"].Old.Done != 8 {
		t.Errorf("reports %+v", r)
	}
	gate.SetStatuses(map[string]fleet.RolloutStatus{"s": {Target: "v2", State: fleet.RolloutCompleted}})
	send("broken", 1)
	runs(1)
}
