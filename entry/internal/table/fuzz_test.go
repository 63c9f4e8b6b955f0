package table

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"chivepost/share/fleet"
)

// Whatever table a peer sends, what this host knows of a target that the peer doesn't name stays.
func FuzzSnapshot(f *testing.F) {
	known := fleet.Target{ID: "known", Service: "s", Address: "10.0.0.1:1", DataCentre: "a", Sequence: 3}
	for _, s := range []Snapshot{
		{OpOffset: 3, TargetsOffset: 9, IsDelta: true, Targets: []fleet.Target{{ID: "other", Service: "s", Address: "10.0.0.2:1"}}, Departed: []fleet.Target{{ID: "gone"}}},
		{OpOffset: 3, TargetsOffset: 9, IsDelta: true, Config: &fleet.Config{Version: 2, Routes: []fleet.Route{{Name: "r", Host: "h", Prefix: "/"}}}, Out: []string{"a"}, Displacing: []string{"other"}},
	} {
		data, err := cbor.Marshal(s)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var p Snapshot
		if cbor.Unmarshal(data, &p) != nil {
			return
		}
		now := time.Now()
		s := NewState()
		s.Merge(Snapshot{OpOffset: 1, TargetsOffset: 1, Targets: []fleet.Target{known}}, now)
		names := !p.IsDelta
		for _, list := range [][]fleet.Target{p.Targets, p.Departed} {
			for _, e := range list {
				names = names || e.ID == known.ID
			}
		}
		s.Merge(p, now)
		s.Expire(now)
		s.View()
		s.Snapshot(SnapshotRequest{}, now)
		if s.targets[known.ID] == nil && !names {
			t.Errorf("a table that doesn't name the target removed it: %+v", p)
		}
	})
}
