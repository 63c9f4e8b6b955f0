package table

import (
	"errors"
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
		t.Error("a target of a data centre that is just back is not cold, want cold")
	}
}

// A newest reading without a key says that it was taken out.
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

// A target that starts again under its id counts from the beginning.
func TestTargetStartsAgain(t *testing.T) {
	s := NewState()
	first, second := entry("x", 40, true), entry("x", 1, false)
	first.Entry.Born, second.Entry.Born = 1000, 2000
	s.ApplyTargets([]feed.TargetChange{first, second}, 1, true, start)
	if got := ids(s.View()); got != "x " {
		t.Errorf("targets %q, want x", got)
	}
	old := entry("x", 41, false)
	old.Entry.Born = 1000
	s.ApplyTargets([]feed.TargetChange{old}, 2, false, start)
	if got := s.targets["x"].Born; got != 2000 {
		t.Errorf("born %d after an entry of the earlier process, want 2000", got)
	}
}

// While the store is away entries lapse; live targets write themselves in again
// soon after its return.
func TestLapsedEntriesAreHeldAfterAnOutage(t *testing.T) {
	s := NewState()
	s.ApplyTargets([]feed.TargetChange{entry("x", 1, false), entry("y", 1, false)}, 1, true, start)
	back := start.Add(outageAfter + time.Second)
	s.ApplyTargets([]feed.TargetChange{{ID: "x"}, {ID: "y"}}, 3, false, back)
	if got := ids(s.View()); got != "x y " {
		t.Errorf("targets just after the outage %q, want x and y", got)
	}
	s.ApplyTargets([]feed.TargetChange{entry("x", 9, false)}, 4, false, back.Add(time.Second))
	s.Expire(back.Add(lapseHold + time.Millisecond))
	if got := ids(s.View()); got != "x " {
		t.Errorf("targets after the hold %q, want x", got)
	}
}

func TestLapsedEntriesAreHeldAfterANewestReadingToo(t *testing.T) {
	s := NewState()
	s.ApplyTargets([]feed.TargetChange{entry("x", 1, false)}, 1, true, start)
	back := start.Add(outageAfter + time.Second)
	s.ApplyTargets(nil, 3, true, back)
	if got := ids(s.View()); got != "x " {
		t.Errorf("targets just after the outage %q, want x", got)
	}
	s.Expire(back.Add(lapseHold + time.Millisecond))
	if got := ids(s.View()); got != "" {
		t.Errorf("targets after the hold %q, want none", got)
	}
}

func TestRemovalWithoutAnOutageCountsAtOnce(t *testing.T) {
	s := NewState()
	s.ApplyTargets([]feed.TargetChange{entry("x", 1, false)}, 1, true, start)
	s.ApplyTargets([]feed.TargetChange{{ID: "x"}}, 2, false, start.Add(time.Second))
	if got := ids(s.View()); got != "" {
		t.Errorf("targets %q, want none", got)
	}
}

// A host that the store turns away learns from a peer that has read further.
func TestMergeTakesWhatAPeerHasReadFurther(t *testing.T) {
	far, near := NewState(), NewState()
	near.ApplyOperator([]feed.OperatorChange{{Config: config(1)}}, 1, true, start)
	near.ApplyTargets([]feed.TargetChange{entry("x", 1, false)}, 1, true, start)
	far.ApplyOperator([]feed.OperatorChange{{Config: config(2)}, {DataCentre: "a", IsOut: true}}, 3, true, start)
	far.ApplyTargets([]feed.TargetChange{entry("x", 2, true), entry("y", 1, false)}, 4, true, start)
	if !near.Merge(far.Snapshot(1, start), start) {
		t.Fatal("nothing changed, want a change")
	}
	if got := near.Config().Version; got != 2 {
		t.Errorf("version %d, want 2", got)
	}
	if !near.View().Out["a"] {
		t.Error("the data centre is in, want out")
	}
	if near.Merge(far.Snapshot(2, start), start) {
		t.Error("a second merge changed something, want nothing")
	}
	if got := near.Snapshot(2, start).Config; got != nil {
		t.Error("the snapshot for a peer with the same version has the configuration, want none")
	}
}
