package table

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"chivepost/platform/feed"
	"chivepost/share/fleet"
)

func entry(id string, sequence int64, draining bool) feed.TargetChange {
	return feed.TargetChange{ID: id, Entry: &fleet.Target{ID: id, Service: "s", Address: "10.0.0.1:80", DataCentre: "a", Sequence: sequence, Draining: draining}}
}

func config(version int64) *fleet.Config {
	c := &fleet.Config{Version: version}
	c.Index()
	return c
}

var start = time.Now()

func ids(v *View) string {
	out := ""
	for _, t := range v.Targets["s"] {
		out += t.ID + " "
	}
	return out
}

func TestConfigurationNeverReverts(t *testing.T) {
	s := NewState()
	s.ApplyOperator([]feed.OperatorChange{{Config: config(7)}}, 1, true, start)
	s.ApplyOperator([]feed.OperatorChange{{Config: config(4)}}, 2, false, start)
	if got := s.Config().Version; got != 7 {
		t.Errorf("after an older record: version %d, want 7", got)
	}
	s.Merge(Snapshot{Config: config(6), OpOffset: 9}, start)
	if got := s.Config().Version; got != 7 {
		t.Errorf("after an older snapshot: version %d, want 7", got)
	}
	s.Merge(Snapshot{Config: config(9), OpOffset: 10}, start)
	if got := s.Config().Version; got != 9 {
		t.Errorf("after a newer snapshot: version %d, want 9", got)
	}
}

func TestDataCentreTakenOutGetsNoTargets(t *testing.T) {
	s := NewState()
	s.ApplyTargets([]feed.TargetChange{entry("x", 1, false)}, 1, true, start)
	s.ApplyOperator([]feed.OperatorChange{{DataCentre: "a", IsOut: true}}, 1, true, start)
	if got := ids(s.View()); got != "" {
		t.Errorf("targets while the data centre is out: %q, want none", got)
	}
	s.ApplyOperator([]feed.OperatorChange{{DataCentre: "a"}}, 2, false, start)
	v := s.View()
	if got := ids(v); got != "x " {
		t.Errorf("targets after it is back: %q, want x", got)
	}
	if !v.Targets["s"][0].IsCold(start) {
		t.Error("a target of a data centre just brought back is warm, want cold")
	}
}

// A full read without the record of a data centre means that it is in again.
func TestDataCentreMissingFromTheNewestRecordsIsBack(t *testing.T) {
	s := NewState()
	s.ApplyOperator([]feed.OperatorChange{{DataCentre: "a", IsOut: true}}, 1, true, start)
	s.ApplyOperator(nil, 5, true, start)
	if s.View().Out["a"] {
		t.Error("the data centre is still out, want back")
	}
}

func TestTargets(t *testing.T) {
	tests := []struct {
		name    string
		changes []feed.TargetChange
		want    string
	}{
		{"ready", []feed.TargetChange{entry("x", 1, false)}, "x "},
		{"draining", []feed.TargetChange{entry("x", 1, false), entry("x", 2, true)}, ""},
		{"removed", []feed.TargetChange{entry("x", 1, false), {ID: "x"}}, ""},
		{"late write of an older entry", []feed.TargetChange{entry("x", 5, false), entry("x", 6, true), entry("x", 5, false)}, ""},
		{"late write after the removal", []feed.TargetChange{entry("x", 5, false), {ID: "x"}, entry("x", 5, false)}, ""},
		{"entry that can't be read", []feed.TargetChange{{ID: "x", Err: errors.New("torn")}}, ""},
		{"entry that can't be read keeps the one before", []feed.TargetChange{entry("x", 1, false), {ID: "x", Err: errors.New("torn")}}, "x "},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := NewState()
			s.ApplyTargets(test.changes, 1, true, start)
			if got := ids(s.View()); got != test.want {
				t.Errorf("targets %q, want %q", got, test.want)
			}
		})
	}
}

// A target that restarts with the same ID counts its sequence from the beginning.
func TestTargetStartsAgain(t *testing.T) {
	s := NewState()
	first, second := entry("x", 40, true), entry("x", 1, false)
	first.Entry.StartMillis, second.Entry.StartMillis = 1000, 2000
	s.ApplyTargets([]feed.TargetChange{first, second}, 1, true, start)
	if got := ids(s.View()); got != "x " {
		t.Errorf("targets %q, want x", got)
	}
	old := entry("x", 41, false)
	old.Entry.StartMillis = 1000
	s.ApplyTargets([]feed.TargetChange{old}, 2, false, start)
	if got := s.targets["x"].StartMillis; got != 2000 {
		t.Errorf("start time %d after an entry of the earlier process, want 2000", got)
	}
}

// Entries expire during an outage of the store. Live targets rewrite theirs soon after it.
func TestExpiredEntriesAreHeldAfterAnOutage(t *testing.T) {
	s := NewState()
	s.ApplyTargets([]feed.TargetChange{entry("x", 1, false), entry("y", 1, false)}, 1, true, start)
	back := start.Add(outageAfter + time.Second)
	s.ApplyTargets([]feed.TargetChange{{ID: "x"}, {ID: "y"}}, 3, false, back)
	if got := ids(s.View()); got != "x y " {
		t.Errorf("targets just after the outage %q, want x and y", got)
	}
	s.ApplyTargets([]feed.TargetChange{entry("x", 9, false)}, 4, false, back.Add(time.Second))
	s.Expire(back.Add(expiryHold + time.Millisecond))
	if got := ids(s.View()); got != "x " {
		t.Errorf("targets after the hold %q, want x", got)
	}
}

func TestExpiredEntriesAreHeldAfterAFullReadToo(t *testing.T) {
	s := NewState()
	s.ApplyTargets([]feed.TargetChange{entry("x", 1, false)}, 1, true, start)
	back := start.Add(outageAfter + time.Second)
	s.ApplyTargets(nil, 3, true, back)
	if got := ids(s.View()); got != "x " {
		t.Errorf("targets just after the outage %q, want x", got)
	}
	s.Expire(back.Add(expiryHold + time.Millisecond))
	if got := ids(s.View()); got != "" {
		t.Errorf("targets after the hold %q, want none", got)
	}
}

func TestRemovalWithoutAnOutageTakesEffectAtOnce(t *testing.T) {
	s := NewState()
	s.ApplyTargets([]feed.TargetChange{entry("x", 1, false)}, 1, true, start)
	s.ApplyTargets([]feed.TargetChange{{ID: "x"}}, 2, false, start.Add(time.Second))
	if got := ids(s.View()); got != "" {
		t.Errorf("targets %q, want none", got)
	}
}

// A host that can't read the store gets its state from a peer that has read further.
func TestMergeAppliesNewerStateOfAPeer(t *testing.T) {
	peer, local := NewState(), NewState()
	local.ApplyOperator([]feed.OperatorChange{{Config: config(1)}}, 1, true, start)
	local.ApplyTargets([]feed.TargetChange{entry("x", 1, false)}, 1, true, start)
	peer.ApplyOperator([]feed.OperatorChange{{Config: config(2)}, {DataCentre: "a", IsOut: true}}, 3, true, start)
	peer.ApplyTargets([]feed.TargetChange{entry("x", 2, true), entry("y", 1, false)}, 4, true, start)
	if !local.Merge(peer.Snapshot(SnapshotRequest{Version: 1}, start), start) {
		t.Fatal("nothing changed, want a change")
	}
	if got := local.Config().Version; got != 2 {
		t.Errorf("version %d, want 2", got)
	}
	if !local.View().Out["a"] {
		t.Error("the data centre isn't out, want out")
	}
	if local.Merge(peer.Snapshot(SnapshotRequest{Version: 2}, start), start) {
		t.Error("a second merge reports a change, want none")
	}
	if got := local.Snapshot(SnapshotRequest{Version: 2}, start).Config; got != nil {
		t.Error("the snapshot for a peer with the same version has the configuration, want none")
	}
}

// A host that merges the deltas of the host that reads the store has the same targets as
// that host, and late writes bring no departed target back.
func TestDeltasHoldAllChanges(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 5))
	local, peer := NewState(), NewState()
	peer.ApplyTargets(nil, 0, true, start)
	now, next := start, int64(0)
	entry := func(id int, sequence int64) fleet.Target {
		return fleet.Target{ID: fmt.Sprint("t", id), Service: "s", Address: fmt.Sprintf("10.0.0.%d:1", id), StartMillis: 1, Sequence: sequence}
	}
	sequences := map[int]int64{}
	mark, sent, deltas := Mark{}, 0, 0
	for round := range 400 {
		now = now.Add(time.Second)
		for range 1 + random.IntN(6) {
			id := random.IntN(20)
			sequences[id]++
			e := entry(id, sequences[id])
			change := feed.TargetChange{ID: e.ID, Entry: &e}
			switch random.IntN(12) {
			case 0:
				change.Entry = nil
			case 1:
				e.Draining = true
			case 2:
				e.ColdRemaining = 3 * time.Second
			case 3:
				e.Sequence -= int64(1 + random.IntN(3)) // a late write
			}
			next++
			peer.ApplyTargets([]feed.TargetChange{change}, next, false, now)
		}
		if random.IntN(20) == 0 {
			mark = Mark{}
		}
		s := peer.Snapshot(SnapshotRequest{Mark: mark}, now)
		if s.IsDelta {
			deltas++
			sent += len(s.Targets)
		}
		local.Merge(s, now)
		mark = s.Mark
		for id := range 20 {
			name := fmt.Sprint("t", id)
			a, b := local.targets[name], peer.targets[name]
			if (a == nil) != (b == nil) {
				t.Fatalf("round %d: merged entry of %s is %v, want %v", round, name, a, b)
			}
			if a != nil && !isSameEntry(a, b, now) {
				t.Fatalf("round %d: merged entry of %s is %+v, want %+v", round, name, *a, *b)
			}
		}
	}
	if deltas < 300 || sent > 4*deltas {
		t.Errorf("%d targets in %d deltas, want few in most rounds", sent, deltas)
	}
}

// Entries that differ only in their sequence are not part of a delta.
func TestHeartbeatsOfTargetsAreNotSentToPeers(t *testing.T) {
	state := NewState()
	e := fleet.Target{ID: "t", Service: "s", Address: "10.0.0.1:1", StartMillis: 1, Sequence: 1}
	state.ApplyTargets([]feed.TargetChange{{ID: "t", Entry: &e}}, 1, true, start)
	mark := state.Snapshot(SnapshotRequest{}, start).Mark
	later := e
	later.Sequence = 2
	state.ApplyTargets([]feed.TargetChange{{ID: "t", Entry: &later}}, 2, false, start)
	if s := state.Snapshot(SnapshotRequest{Mark: mark}, start); !s.IsDelta || len(s.Targets) > 0 {
		t.Errorf("delta %+v, want one without targets", s)
	}
	later.Draining, later.Sequence = true, 3
	state.ApplyTargets([]feed.TargetChange{{ID: "t", Entry: &later}}, 3, false, start)
	if s := state.Snapshot(SnapshotRequest{Mark: mark}, start); len(s.Targets) != 1 || !s.Targets[0].Draining {
		t.Errorf("delta %+v, want the target as draining", s)
	}
}

// A host whose mark is from another state, or too old, gets the whole table.
func TestUnknownMarksGetTheWholeTable(t *testing.T) {
	state := NewState()
	for i := range maxDepartures + 10 {
		e := fleet.Target{ID: fmt.Sprint(i), Service: "s", StartMillis: 1, Sequence: 1}
		state.ApplyTargets([]feed.TargetChange{{ID: e.ID, Entry: &e}, {ID: e.ID}}, int64(i), false, start)
	}
	for name, mark := range map[string]Mark{
		"none": {}, "another state's": {Instance: state.instance + 1, Revision: state.revision}, "too old": {Instance: state.instance, Revision: 1},
	} {
		if s := state.Snapshot(SnapshotRequest{Mark: mark}, start); s.IsDelta {
			t.Errorf("%s: a delta, want the whole table", name)
		}
	}
}

// A host that was cut off learned of the new start of a target and of its removal in one reading.
// Those that keep announcements must be told of the start before, and since when it may have been
// unseen, whichever way the entries come.
func TestRestartIsToldWithTheReadingBefore(t *testing.T) {
	born := func(startMillis int64) fleet.Target {
		e := *entry("x", 1, false).Entry
		e.StartMillis = startMillis
		return e
	}
	old, next := born(1), born(2)
	for name, learn := range map[string]func(s *State, now time.Time){
		"own reading": func(s *State, now time.Time) {
			s.ApplyTargets([]feed.TargetChange{{ID: "x", Entry: &next}, {ID: "x"}}, 9, false, now)
		},
		"of a peer": func(s *State, now time.Time) {
			s.Merge(Snapshot{Targets: []fleet.Target{next}, TargetsOffset: 9}, now)
		},
		"of a peer, departed": func(s *State, now time.Time) {
			s.Merge(Snapshot{Departed: []fleet.Target{next}, TargetsOffset: 9, IsDelta: true}, now)
		},
		"departed before": func(s *State, now time.Time) {
			s.ApplyTargets([]feed.TargetChange{{ID: "x"}}, 8, false, start.Add(time.Second))
			s.ApplyTargets([]feed.TargetChange{{ID: "x", Entry: &next}}, 9, false, now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := NewState()
			var told []string
			s.onRestart = func(id string, from, to int64, unseenSince, _ time.Time) {
				told = append(told, fmt.Sprint(id, from, to, unseenSince.Sub(start)))
			}
			s.ApplyTargets([]feed.TargetChange{{ID: "x", Entry: &old}}, 1, true, start)
			s.ApplyTargets(nil, 1, false, start.Add(time.Second))
			learn(s, start.Add(6*time.Second))
			if want := fmt.Sprint("x", 1, 2, time.Second); len(told) != 1 || told[0] != want {
				t.Errorf("told %q, want %q", told, want)
			}
		})
	}
}
