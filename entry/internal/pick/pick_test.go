package pick

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"chivepost/entry/internal/notice"
	"chivepost/entry/internal/table"
	"chivepost/share/fleet"
)

type fixedHosts struct{ count, rank int }

func (f fixedHosts) Count() int      { return f.count }
func (f fixedHosts) Rank(string) int { return f.rank }

func targets(dataCentres ...string) []*table.Target {
	var out []*table.Target
	for i, dc := range dataCentres {
		out = append(out, &table.Target{Target: fleet.Target{ID: fmt.Sprintf("%s%d", dc, i), DataCentre: dc}})
	}
	return out
}

func newBalancer(count, rank int) *Balancer {
	return New(Options{
		DataCentre: "a", Region: "r1", Regions: map[string]string{"a": "r1", "b": "r1", "c": "r2"},
		RetryRatio: 0.2, RetryExtra: 58, RetryWindow: 10 * time.Second,
	}, fixedHosts{count, rank}, notice.None{})
}

func choose(t *testing.T, b *Balancer, q Query) string {
	t.Helper()
	c, _ := b.Choose(q, time.Now())
	if c == nil {
		return ""
	}
	return c.ID
}

func TestNearTargetsFirst(t *testing.T) {
	b := newBalancer(3, 0)
	q := Query{Targets: targets("c", "b", "a"), Slots: 4}
	for i, want := range []string{"a2", "a2", "b1", "b1", "c0", "c0"} {
		if got := choose(t, b, q); got != want {
			t.Errorf("choice %d: %q, want %q", i, got, want)
		}
	}
}

func TestPreferredDataCentreAndTarget(t *testing.T) {
	b := newBalancer(3, 0)
	if got := choose(t, b, Query{Targets: targets("a", "b", "c"), DataCentre: "c"}); got != "c2" {
		t.Errorf("data centre c: got %q, want c2", got)
	}
	if got := choose(t, b, Query{Targets: targets("a", "b", "c"), PrefixTarget: "b1"}); got != "b1" {
		t.Errorf("got %q, want the target with the cached prefix, b1", got)
	}
}

func TestTargetsStayInAllowedRegions(t *testing.T) {
	b := newBalancer(3, 0)
	if got := choose(t, b, Query{Targets: targets("a", "b", "c"), Regions: []string{"r2"}}); got != "c2" {
		t.Errorf("region r2: %q, want c2", got)
	}
	if c, why := b.Choose(Query{Targets: targets("a"), Regions: []string{"r2"}}, time.Now()); c != nil {
		t.Errorf("got %s outside the allowed region, want none (%s)", c.ID, why.Reason)
	}
}

// Load pattern: hot session. Requests of one session share a target until it is
// overloaded, and then also use a second one.
func TestHotSessionSpillsOverItsLoadBound(t *testing.T) {
	b := newBalancer(1, 0)
	q := Query{Targets: targets("a", "a", "a", "a"), Affinity: "session"}
	counts := map[string]int{}
	first := choose(t, b, q)
	counts[first]++
	for range 31 {
		counts[choose(t, b, q)]++
	}
	if counts[first] < 8 || counts[first] > 16 {
		t.Errorf("the session's target got %d of 32, want 8 to 16: %v", counts[first], counts)
	}
}

func TestFailingTargetIsEjected(t *testing.T) {
	b := newBalancer(1, 0)
	q := Query{Targets: targets("a", "a")}
	for range 2 {
		c, _ := b.Choose(Query{Targets: q.Targets[:1]}, time.Now())
		c.Done(Failed)
	}
	for i := range 4 {
		if got := choose(t, b, q); got != "a1" {
			t.Errorf("choice %d: %q, want a1", i, got)
		}
	}
	// If all targets are ejected, requests still go to one of them.
	if got := choose(t, b, Query{Targets: q.Targets[:1]}); got != "a0" {
		t.Errorf("with the failing target alone: %q, want a0", got)
	}
}

func TestSingleRequestProbesAnEjectedTarget(t *testing.T) {
	b := newBalancer(1, 0)
	q := Query{Targets: targets("a", "a")}
	c, _ := b.Choose(Query{Targets: q.Targets[:1]}, time.Now())
	c.Done(Unreachable)
	later := time.Now().Add(unreachableEjection + time.Millisecond)
	got := map[string]int{}
	for range 6 {
		c, _ := b.Choose(q, later)
		got[c.ID]++
	}
	if got["a0"] != 1 {
		t.Errorf("the target got %d requests just after its ejection, want 1: %v", got["a0"], got)
	}
}

// Load pattern: slow targets. A target five times slower than the others gets few requests.
func TestSlowTargetGetsFewerRequests(t *testing.T) {
	b := newBalancer(1, 0)
	q := Query{Targets: targets("a", "a", "a", "a")}
	for _, x := range q.Targets {
		h := b.health(x.ID)
		h.firstByte = 20 * time.Millisecond
	}
	b.health("a0").firstByte = 100 * time.Millisecond
	counts := map[string]int{}
	for range 16 {
		counts[choose(t, b, q)]++
	}
	if counts["a0"] > 2 {
		t.Errorf("the slow target got %d of 16, want at most 2: %v", counts["a0"], counts)
	}
}

// Load pattern: targets cold together. Each host decides alone, and the limit over all
// hosts holds, also if there are more hosts than requests per second that a target takes.
func TestColdLimitHoldsOverAllHosts(t *testing.T) {
	for _, test := range []struct {
		hosts     int
		perSecond float64
	}{{1, 17}, {9, 17}, {12, 17}, {73, 17}, {370, 13}, {9, 1}} {
		t.Run(fmt.Sprintf("%d hosts, %g a second", test.hosts, test.perSecond), func(t *testing.T) {
			start := time.Now()
			sent := make([]int, 50) // per 100 ms
			for rank := range test.hosts {
				b := newBalancer(test.hosts, rank)
				cold := targets("a")
				cold[0].ColdUntil = start.Add(time.Minute)
				for ms := 0; ms < 5000; ms += 7 {
					if c, _ := b.Choose(Query{Targets: cold, ColdLimit: test.perSecond}, start.Add(time.Duration(ms)*time.Millisecond)); c != nil {
						sent[ms/100]++
						c.Done(Answered)
					}
				}
			}
			// In any second one and a half times the limit plus five requests are allowed.
			bound := int(1.5*test.perSecond + 5)
			total := 0
			for i := range sent {
				sum := 0
				for _, n := range sent[i:min(i+10, len(sent))] {
					sum += n
				}
				total += sent[i]
				if sum > bound {
					t.Errorf("%d requests in a second, want at most %d", sum, bound)
				}
			}
			if total == 0 {
				t.Error("nothing was sent to the cold target, want some")
			}
		})
	}
}

// Load pattern: clients that retry at once. The retries of all hosts together stay within
// the retry ratio of the requests plus the allowance.
func TestRetriesStayWithinTheBudgetOfAllHosts(t *testing.T) {
	const hosts, requests = 9, 30
	now := time.Now()
	total := 0
	for range hosts {
		b := newBalancer(hosts, 0)
		for range requests {
			b.RecordRequest("s", now)
		}
		for range 1000 {
			if b.TakeRetry("s", now.Add(time.Second)) {
				total++
			}
		}
		if !b.TakeRetry("s", now.Add(12*time.Second)) {
			t.Error("no retry after the window, want one from the allowance")
		}
	}
	if bound := int(0.2*hosts*requests + 58); total > bound || total < bound/2 {
		t.Errorf("%d retries in a window, want %d to %d", total, bound/2, bound)
	}
}

func TestConnectionShares(t *testing.T) {
	for _, test := range []struct{ limit, hosts int }{{370, 9}, {110, 9}, {49, 7}, {230, 77}} {
		if sum := ConnectionShare(test.limit, test.hosts) * test.hosts; sum > test.limit {
			t.Errorf("%d hosts hold %d connections, want at most %d", test.hosts, sum, test.limit)
		}
	}
}

// announced is a board on which targets have announced something.
type announced map[string]notice.Status

func (a announced) Status(t notice.Target, _ time.Time) notice.Status { return a[t.ID] }

// Load pattern: busy and leaving targets. The load goes to the others, evenly; a leaving target
// is the last resort, and a refusal names the time of the first one that opens.
func TestPatternBusyAndLeavingTargets(t *testing.T) {
	now := time.Now()
	closed := func(d time.Duration) notice.Status { return notice.Status{Closed: true, Until: now.Add(d)} }
	leaving, gone := notice.Status{Leaving: true}, notice.Status{Leaving: true, Closed: true}
	tests := []struct {
		name   string
		board  announced
		want   map[string]int // requests of 30 by target
		reason string
		after  time.Duration
	}{
		{"one busy", announced{"a0": closed(time.Second)}, map[string]int{"a1": 15, "a2": 15}, "", 0},
		{"one leaving", announced{"a1": leaving}, map[string]int{"a0": 15, "a2": 15}, "", 0},
		{"one gone", announced{"a2": gone}, map[string]int{"a0": 15, "a1": 15}, "", 0},
		{"two busy, one leaving", announced{"a0": closed(time.Second), "a1": closed(time.Second), "a2": leaving}, map[string]int{"a2": 30}, "", 0},
		{"all leaving", announced{"a0": leaving, "a1": leaving, "a2": leaving}, map[string]int{"a0": 10, "a1": 10, "a2": 10}, "", 0},
		{"all busy", announced{"a0": closed(9 * time.Second), "a1": closed(2 * time.Second), "a2": closed(5 * time.Second)}, nil, "all targets are busy", 2 * time.Second},
		{"busy or gone", announced{"a0": gone, "a1": closed(2 * time.Second), "a2": gone}, nil, "all targets are busy", 2 * time.Second},
		{"all gone", announced{"a0": gone, "a1": gone, "a2": gone}, nil, "all targets are leaving", 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newBalancer(1, 0)
			b.notices = test.board
			got := map[string]int{}
			for range 30 {
				c, refusal := b.Choose(Query{Targets: targets("a", "a", "a")}, now)
				if c == nil {
					if refusal.Reason != test.reason || refusal.RetryAfter != test.after {
						t.Fatalf("got %+v, want %q after %v", refusal, test.reason, test.after)
					}
					continue
				}
				got[c.ID]++
			}
			if len(got) != len(test.want) || !maps.Equal(got, test.want) {
				t.Errorf("requests %v, want %v", got, test.want)
			}
		})
	}
}
