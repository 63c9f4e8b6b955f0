package table

import (
	"testing"
	"time"

	"chivepost/platform/feed"
	"chivepost/share/fleet"
)

func orderChange(service, version string) feed.OperatorChange {
	return feed.OperatorChange{Rollout: service, Order: &fleet.Order{Service: service, Target: version, Duration: 12 * time.Second}}
}

// After a restore of the store from a copy, an order that the copy lacks seemed withdrawn, and
// its roll-out was rolled back for good, before the operator could write it again.
func TestOrdersAreHeldAfterARestore(t *testing.T) {
	now := time.Now()
	s := NewState()
	s.LearnEra(1)
	s.ApplyOperator([]feed.OperatorChange{orderChange("lost", "v2"), orderChange("again", "v2"), orderChange("gone", "v2")}, 5, true, now)
	s.LearnEra(2)
	s.ApplyOperator([]feed.OperatorChange{orderChange("again", "v1")}, 3, true, now)
	for _, service := range []string{"lost", "again", "gone"} {
		if got := s.View().Orders[service].Target; got != "v2" {
			t.Errorf("%s: order for %q after the copy was read, want v2", service, got)
		}
	}
	s.ApplyOperator([]feed.OperatorChange{orderChange("again", "v3")}, 4, false, now)
	s.ApplyOperator([]feed.OperatorChange{{Rollout: "gone"}}, 5, false, now)
	if got := s.View().Orders; got["again"].Target != "v3" || got["gone"].Target != "" || got["lost"].Target != "v2" {
		t.Errorf("orders %+v after new records, want again v3, lost v2", got)
	}
	if s.EndHold(now.Add(restoreHold - time.Millisecond)) {
		t.Error("the hold is over too soon")
	}
	if !s.EndHold(now.Add(restoreHold)) {
		t.Error("the hold isn't over")
	}
	if got := s.View().Orders; len(got) != 1 || got["again"].Target != "v3" {
		t.Errorf("orders %+v after the hold, want again v3 only", got)
	}
}
