package table

import (
	"math"
	"testing"
	"time"

	"chivepost/platform/feed"
	"chivepost/share/fleet"
)

// numbered returns a ready entry of a target that started at start.
func numbered(id string, start, sequence int64) feed.TargetChange {
	c := entry(id, sequence, false)
	c.Entry.StartMillis = start
	return c
}

// Another writer's entry under the ID of a target that serves, with a start or a sequence far
// ahead of its own, once hid all that the target wrote from then on, such as that it leaves.
func TestOddEntryDoesNotHideThoseOfTheTarget(t *testing.T) {
	const born = 1_700_000_000_000
	for name, odd := range map[string]feed.TargetChange{
		"sequence far ahead": numbered("x", born, 1<<50),
		"start far ahead":    numbered("x", born+3_600_000, 1),
	} {
		t.Run(name, func(t *testing.T) {
			s := NewState()
			at := func(n int) time.Time { return start.Add(time.Duration(n) * 1200 * time.Millisecond) }
			s.ApplyTargets([]feed.TargetChange{numbered("x", born, 1)}, 1, true, at(0))
			odd.Entry.Address = "10.9.9.9:1"
			s.ApplyTargets([]feed.TargetChange{odd}, 2, false, at(1))
			follower := NewState() // as it is after the odd entry
			follower.Merge(s.Snapshot(SnapshotRequest{}, at(1)), at(1))
			for n := 2; n < 9; n++ {
				s.ApplyTargets([]feed.TargetChange{numbered("x", born, int64(n))}, int64(n+1), false, at(n))
			}
			if got := s.View().Targets["s"]; len(got) != 1 || got[0].Address != "10.0.0.1:80" {
				t.Errorf("targets %+v, want x at its own address", got)
			}
			follower.Merge(s.Snapshot(SnapshotRequest{}, at(8)), at(8))
			if got := follower.View().Targets["s"]; len(got) != 1 || got[0].Address != "10.0.0.1:80" {
				t.Errorf("targets %+v at a host that follows a peer, want x at its own address", got)
			}
			leaving := numbered("x", born, 9)
			leaving.Entry.Draining = true
			s.ApplyTargets([]feed.TargetChange{leaving}, 11, false, at(9))
			if got := ids(s.View()); got != "" {
				t.Errorf("targets %q after x said that it leaves, want none", got)
			}
		})
	}
}

// A whole entry of another writer, under the ID of a target that serves, once made that one a target
// of another service. It must not end it either.
func TestEntryOfAnotherServiceChangesNothing(t *testing.T) {
	for name, odd := range map[string]*fleet.Target{
		"of the same start":                        {Service: "other", StartMillis: 1000, Sequence: 99},
		"of the same start, draining":              {Service: "other", StartMillis: 1000, Sequence: 99, Draining: true},
		"of a service that isn't configured":       {Service: "unknown", StartMillis: 2000, Sequence: 1},
		"of an earlier start, not configured":      {Service: "unknown", StartMillis: 0, Sequence: 99},
		"of an earlier start, draining, not known": {Service: "unknown", StartMillis: 0, Sequence: 99, Draining: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := NewState()
			c := config(1)
			c.Services = map[string]fleet.Service{"s": {Name: "s"}, "other": {Name: "other"}}
			s.ApplyOperator([]feed.OperatorChange{{Config: c}}, 1, true, start)
			s.ApplyTargets([]feed.TargetChange{numbered("x", 1000, 1)}, 1, true, start)
			odd.ID, odd.Address, odd.DataCentre = "x", "10.0.0.1:80", "a"
			s.ApplyTargets([]feed.TargetChange{{ID: "x", Entry: odd}}, 2, false, start.Add(time.Second))
			if v := s.View(); ids(v) != "x " || len(v.Targets) != 1 {
				t.Errorf("targets %v, want x of s only", v.Targets)
			}
		})
	}
	s := NewState()
	s.ApplyTargets([]feed.TargetChange{numbered("x", 1000, 1)}, 1, true, start)
	next := numbered("x", 2000, 1)
	next.Entry.Service = "other"
	s.ApplyTargets([]feed.TargetChange{next}, 2, false, start)
	if v := s.View(); ids(v) != "" || len(v.Targets["other"]) != 1 {
		t.Errorf("targets %v, want x of the service of its next start", v.Targets)
	}
}

// A late write of the process before must not displace that of the target's next start, also
// if several of them come.
func TestLateWritesOfAnEarlierProcessChangeNothing(t *testing.T) {
	s := NewState()
	s.ApplyTargets([]feed.TargetChange{numbered("x", 1000, 40), numbered("x", 2000, 1)}, 1, true, start)
	for n := range int64(8) {
		s.ApplyTargets([]feed.TargetChange{numbered("x", 1000, 41+n), numbered("x", 2000, 2+n)}, 2+n, false, start.Add(time.Duration(n)*time.Second))
		if got := s.targets["x"].StartMillis; got != 2000 {
			t.Fatalf("start time %d after %d entries of the earlier process, want 2000", got, n+1)
		}
	}
	burst := []feed.TargetChange{numbered("x", 1000, 60), numbered("x", 1000, 61), numbered("x", 1000, 62), numbered("x", 1000, 63)}
	s.ApplyTargets(burst, 20, false, start.Add(8*time.Second))
	if got := s.targets["x"].StartMillis; got != 2000 {
		t.Errorf("start time %d after late writes at once, want 2000", got)
	}
}

// Entries from a peer are no better than those of the store.
func TestSnapshotsWithOddEntries(t *testing.T) {
	s := NewState()
	s.Merge(Snapshot{TargetsOffset: 4, OpOffset: 1, Targets: []fleet.Target{
		{ID: "x", Service: "s", Address: "10.0.0.1:80", DataCentre: "a", ColdRemaining: math.MinInt64, Sequence: math.MinInt64},
		{ID: "y", Service: "s", Address: "10.0.0.2:80", DataCentre: "a", ColdRemaining: math.MaxInt64, Sequence: math.MaxInt64, StartMillis: math.MaxInt64},
	}}, start)
	if got := ids(s.View()); got != "x y " {
		t.Errorf("targets %q, want x and y", got)
	}
	s.Snapshot(SnapshotRequest{Mark: Mark{Revision: math.MaxInt64}}, start.Add(time.Hour))
}
