package batch

import (
	"fmt"
	"testing"
	"time"
)

// busyScheduler returns a scheduler with so many orders that a further one would be
// late.
func busyScheduler() *Scheduler {
	sc := newScheduler(8, "a")
	for i := range 14 {
		submit(sc, newOrder(fmt.Sprint(i), 8), start)
		sc.Plan(start)
	}
	return sc
}

// idleRegion returns the report of a home without orders.
func idleRegion(region string) RegionReport {
	return RegionReport{Region: region, Backlogs: map[string]Backlog{"p": {ReleaseLimit: 50, Rate: 100}, "q": {ReleaseLimit: 50, Rate: 100}}}
}

func TestLateOrdersMoveToAnotherRegion(t *testing.T) {
	busy := RegionReport{Region: "b", Backlogs: map[string]Backlog{"p": {Pieces: 1000, ReleaseLimit: 50, Rate: 100}}}
	tests := []struct {
		name    string
		reports []RegionReport
		age     time.Duration
		change  func(*Order)
		isMoved bool
	}{
		{name: "another region has room", reports: []RegionReport{idleRegion("b")}, isMoved: true},
		{name: "the less busy of two", reports: []RegionReport{busy, idleRegion("c")}, isMoved: true},
		{name: "no reports from others"},
		{name: "others are busy too", reports: []RegionReport{busy}},
		{name: "others have no target", reports: []RegionReport{{Region: "b", Backlogs: map[string]Backlog{"p": {}}}}},
		{name: "the report is old", reports: []RegionReport{idleRegion("b")}, age: reportTTL + time.Millisecond},
		{name: "the order may not go there", reports: []RegionReport{idleRegion("b")}, change: func(o *Order) { o.Regions = []string{"a", "c"} }},
		{name: "already moved once", reports: []RegionReport{idleRegion("b")}, change: func(o *Order) { o.Moved = true }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sc := busyScheduler()
			for _, report := range test.reports {
				sc.HandleReport(report, start.Add(-test.age))
			}
			o := newOrder("x", 8)
			if test.change != nil {
				test.change(&o)
			}
			r := submit(sc, o, start)
			if got := r.Reason == ReasonMoved; got != test.isMoved {
				t.Fatalf("result %+v, want moved %t", *r, test.isMoved)
			}
			if want := test.reports; test.isMoved && r.Region != want[len(want)-1].Region {
				t.Errorf("moved to %q, want %q", r.Region, want[len(want)-1].Region)
			}
		})
	}
}

func TestOrderServedInTimeIsNotMoved(t *testing.T) {
	sc := newScheduler(8, "a")
	sc.HandleReport(idleRegion("b"), start)
	if r := submit(sc, newOrder("x", 8), start); r.IsDone {
		t.Errorf("result %+v of an order that an idle home could serve", *r)
	}
}

// A home adds the orders that it hands over to the reported backlog. Otherwise, the
// other home would be flooded until its next report.
func TestHandedOverOrdersCountBetweenReports(t *testing.T) {
	sc := busyScheduler()
	sc.HandleReport(idleRegion("b"), start)
	moved := 0
	for i := range 100 {
		if submit(sc, newOrder(fmt.Sprint("x", i), 8), start).Reason == ReasonMoved {
			moved++
		}
	}
	// 50 pieces may be released immediately, and 100 per second until the orders' time
	// has run out.
	if most := (50 + 6*100) / 8; moved == 0 || moved > most {
		t.Errorf("%d orders moved, want 1 to %d", moved, most)
	}
}

// Waiting orders are handed over after targets are lost.
func TestWaitingOrdersMoveWhenTargetsAreLost(t *testing.T) {
	sc := newScheduler(8, "a", "a", "a")
	var results []*Result
	for i := range 12 {
		results = append(results, submit(sc, newOrder(fmt.Sprint(i), 8), start))
	}
	sc.Plan(start)
	sc.SetService("p", spec(8), stageTargets("a"))
	now := start.Add(2 * estimateInterval)
	sc.HandleReport(idleRegion("b"), now)
	sc.Plan(now)
	moved := 0
	for _, r := range results {
		if r.Reason == ReasonMoved {
			moved++
		}
	}
	if moved == 0 {
		t.Error("no waiting order was handed over")
	}
}
