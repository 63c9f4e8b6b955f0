package batch

import (
	"fmt"
	"testing"
	"time"
)

// busyDesk is a desk with orders enough that a further one would be late.
func busyDesk() *Scheduler {
	d := newDesk(8, "a")
	for i := range 14 {
		submit(d, newOrder(fmt.Sprint(i), 8), start)
		d.Plan(start)
	}
	return d
}

func idle(region string) RegionReport {
	return RegionReport{Region: region, Backlogs: map[string]Backlog{"p": {ReleaseLimit: 50, Rate: 100}, "q": {ReleaseLimit: 50, Rate: 100}}}
}

func TestOrdersGoWhereTheyAreServedInTime(t *testing.T) {
	busy := RegionReport{Region: "b", Backlogs: map[string]Backlog{"p": {Pieces: 1000, ReleaseLimit: 50, Rate: 100}}}
	tests := []struct {
		name    string
		news    []RegionReport
		age     time.Duration
		change  func(*Order)
		isMoved bool
	}{
		{name: "another region has room", news: []RegionReport{idle("b")}, isMoved: true},
		{name: "the freest of two", news: []RegionReport{busy, idle("c")}, isMoved: true},
		{name: "nothing is known of others"},
		{name: "others are busy, too", news: []RegionReport{busy}},
		{name: "others have no target", news: []RegionReport{{Region: "b", Backlogs: map[string]Backlog{"p": {}}}}},
		{name: "the news are old", news: []RegionReport{idle("b")}, age: newsLife + time.Millisecond},
		{name: "the order may not go there", news: []RegionReport{idle("b")}, change: func(o *Order) { o.Regions = []string{"a", "c"} }},
		{name: "it was moved before", news: []RegionReport{idle("b")}, change: func(o *Order) { o.Moved = true }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := busyDesk()
			for _, n := range test.news {
				d.HandleReport(n, start.Add(-test.age))
			}
			o := newOrder("x", 8)
			if test.change != nil {
				test.change(&o)
			}
			r := submit(d, o, start)
			if got := r.Reason == ReasonMoved; got != test.isMoved {
				t.Fatalf("result %+v, want moved %t", *r, test.isMoved)
			}
			if want := test.news; test.isMoved && r.Region != want[len(want)-1].Region {
				t.Errorf("moved to %q, want %q", r.Region, want[len(want)-1].Region)
			}
		})
	}
}

func TestOrderThatIsServedInTimeStays(t *testing.T) {
	d := newDesk(8, "a")
	d.HandleReport(idle("b"), start)
	if r := submit(d, newOrder("x", 8), start); r.IsDone {
		t.Errorf("result %+v of an order that an idle home could serve", *r)
	}
}

// Between two news a home counts what it hands over itself.
func TestNeighbourIsNotFloodedOnOldNews(t *testing.T) {
	d := busyDesk()
	d.HandleReport(idle("b"), start)
	moved := 0
	for i := range 100 {
		if submit(d, newOrder(fmt.Sprint("x", i), 8), start).Reason == ReasonMoved {
			moved++
		}
	}
	// 50 pieces are released at once, and 100 a second until the orders' time is over.
	if most := (50 + 6*100) / 8; moved == 0 || moved > most {
		t.Errorf("%d orders moved, want 1 to %d", moved, most)
	}
}

// Orders that wait are handed over once targets are lost.
func TestWaitingOrdersMoveWhenTargetsAreLost(t *testing.T) {
	d := newDesk(8, "a", "a", "a")
	var results []*Result
	for i := range 12 {
		results = append(results, submit(d, newOrder(fmt.Sprint(i), 8), start))
	}
	d.Plan(start)
	d.SetService("p", spec(8), stageTargets("a"))
	now := start.Add(2 * estimateEvery)
	d.HandleReport(idle("b"), now)
	d.Plan(now)
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
