package maker

import (
	"context"
	"errors"
	"testing"
	"time"

	"chivepost/entry/internal/batch"
	"chivepost/entry/internal/canary"
	"chivepost/entry/internal/dialer"
	"chivepost/entry/internal/notice"
	"chivepost/entry/internal/table"
	"chivepost/share/fleet"

	"github.com/go-logr/logr"
)

type fixedTables struct{ view *table.View }

func (f fixedTables) View() *table.View { return f.view }

// checkingDialer makes only the check before the send.
type checkingDialer struct{ sent int }

func (d *checkingDialer) Do(_ context.Context, _, _ string, _ int, req dialer.Request) (*dialer.Answer, error) {
	if err := req.Check(); err != nil {
		return nil, &dialer.SendError{Err: err}
	}
	d.sent++
	return nil, &dialer.SendError{Sent: true, Err: errors.New("broken")}
}

// Two calls that take as long as expected must look alike whatever their numbers of pieces: in a
// trial of the soak a good version with small calls was rolled back for its time per piece.
func TestCallsOfDifferentSizesAreComparable(t *testing.T) {
	view := &table.View{
		Config:  &fleet.Config{Services: map[string]fleet.Service{"s": {Stage: &fleet.Batching{CallOverhead: 200 * time.Millisecond, ItemTime: 10 * time.Millisecond}}}},
		Targets: map[string][]*table.Target{"s": {{Target: fleet.Target{ID: "old", Service: "s"}}}},
	}
	r := rollouts{canary.NewGate(canary.Options{}), fixedTables{view}}
	for _, n := range []int{1, 40} {
		_, expected, _ := r.begin(batch.Target{ID: "old"}, n, time.Now())
		took := 200*time.Millisecond + time.Duration(n)*10*time.Millisecond
		if got := outcomeOf(nil, batch.FailureNone, nil, took, expected); got.FirstByte != 100*time.Millisecond || got.Gap != 0 {
			t.Errorf("%d pieces: got %+v, want 100%%", n, got)
		}
	}
}

// The home must send no stage call to a version without a grant, though it lists it, and at
// most as many as are granted.
func TestStageCallsByVersion(t *testing.T) {
	target := func(id, version string) *table.Target {
		return &table.Target{Target: fleet.Target{ID: id, Service: "s", Version: version, DataCentre: "a"}}
	}
	view := &table.View{
		Config:  &fleet.Config{Services: map[string]fleet.Service{"s": {Stage: &fleet.Batching{}}}},
		Targets: map[string][]*table.Target{"s": {target("old", "v1"), target("new", "v2")}},
		Orders:  map[string]fleet.Order{"s": {Service: "s", Target: "v2", Duration: time.Second}},
	}
	gate := canary.NewGate(canary.Options{Share: 0.1, Hosts: func() int { return 1 }})
	board := notice.New(time.Second, logr.Discard())
	catalog, d := NewCatalog(fixedTables{view}, board, map[string]string{"a": "r"}), &checkingDialer{}
	client := New(d, board)
	catalog.UseRollouts(gate)
	client.UseRollouts(gate, fixedTables{view})
	check := func(what string, areBusy map[string]bool, failure batch.Failure, sent int) {
		t.Helper()
		_, listed, _ := catalog.Stage("s", "")
		for _, l := range listed {
			if !l.BusyUntil.IsZero() != areBusy[l.ID] || len(listed) != 2 {
				t.Errorf("%s: listed %+v", what, listed)
			}
		}
		_, got, _ := client.Run(context.Background(), &batch.Call{Target: "new"})
		if got != failure || d.sent != sent {
			t.Errorf("%s: failure %d after %d calls, want %d after %d", what, got, d.sent, failure, sent)
		}
	}
	check("no grant", map[string]bool{"new": true}, batch.FailureRefused, 0)
	now := time.Now()
	gate.Apply(canary.Reply{Service: "s", Version: "v2", Phase: canary.PhaseTrial, Cap: 1}, now, now)
	check("granted", nil, batch.FailureBroken, 1)
	check("grant spent", map[string]bool{"new": true}, batch.FailureRefused, 1)
	gate.Apply(canary.Reply{Service: "s", Version: "v2", Phase: canary.PhaseCutover, Cap: 1}, now, now)
	check("cutover", map[string]bool{"old": true}, batch.FailureBroken, 2)
}
