package table

import (
	"errors"
	"testing"
	"time"

	"chivepost/platform/feed"
	"chivepost/share/fleet"
)

// Guards against an order that gets lost on the way to a host that follows a peer, one that a
// bad record ends, and one that outlives its withdrawal.
func TestOrdersOfRollouts(t *testing.T) {
	now := time.Now()
	order := fleet.Order{Service: "s", Target: "v2", Duration: time.Second}
	s, peer := NewState(), NewState()
	check := func(what string, want int) {
		t.Helper()
		peer.Merge(s.Snapshot(SnapshotRequest{}, now), now)
		for _, v := range []*View{s.View(), peer.View()} {
			if len(v.Orders) != want || want > 0 && v.Orders["s"] != order {
				t.Errorf("%s: orders %+v, want %d", what, v.Orders, want)
			}
		}
	}
	s.ApplyOperator([]feed.OperatorChange{{Rollout: "s", Order: &order}}, 1, true, now)
	check("ordered", 1)
	s.ApplyOperator([]feed.OperatorChange{{Rollout: "s", Err: errors.New("bad")}}, 2, true, now)
	check("bad record", 1)
	s.ApplyOperator([]feed.OperatorChange{{Rollout: "s"}}, 3, false, now)
	check("withdrawn", 0)
	s.ApplyOperator([]feed.OperatorChange{{Rollout: "s", Order: &order}}, 4, false, now)
	s.ApplyOperator(nil, 5, true, now)
	check("missing in a full read", 0)
}
