package pick

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"chivepost/share/fleet"
)

// fromHosts is what other hosts have in flight by target.
type fromHosts map[string]float64

func (f fromHosts) InFlight(target string, _ time.Time) float64 { return f[target] }

func crowd(others Others) *Balancer {
	b := newBalancer(62, 0)
	b.opts.Others = others
	return b
}

var engines = scenario{hosts: 62, targets: 90, dataCentres: 6, slots: 12, maxQueue: 24, work: 2 * time.Second, use: 0.8, lost: 0.05, seed: 1}

func before(*model) policy { return policy{isPlain: true, ignoresReports: true} }

func built(*model) policy { return defaultPolicy }

// Load pattern: many hosts before many targets. A host has less than one request at a target,
// so choosing the first of equal ones loads the same targets from all hosts while others have
// free slots.
func TestPatternManyHosts(t *testing.T) {
	deaf := engines
	deaf.lost = 1
	old := newModel(engines, before).run()
	for name, s := range map[string]scenario{"one datagram in twenty lost": engines, "all lost": deaf} {
		if now := newModel(s, built).run(); now.waitedIdle > old.waitedIdle/2 {
			t.Errorf("%s: %.1f%% waited while a slot was free, want at most half of %.1f%%", name, now.percent(now.waitedIdle), old.percent(old.waitedIdle))
		}
	}
}

// Load pattern: prompts in common that many hosts get at once. No host alone has enough
// requests at the target that has them cached to send some elsewhere.
func TestPatternHotPrefixesOfManyHosts(t *testing.T) {
	s := engines
	s.sessions, s.elsewhere = 300, 0.3
	old, now := newModel(s, before).run(), newModel(s, built).run()
	deaf := s
	deaf.lost = 1
	unheard := newModel(deaf, built).run()
	oldMean, _ := old.queueMillis()
	nowMean, _ := now.queueMillis()
	unheardMean, _ := unheard.queueMillis()
	if nowMean > min(oldMean, unheardMean)/2*1.2 {
		t.Errorf("%.0f ms in the queues, want clearly less than %.0f ms before and %.0f ms without what hosts tell", nowMean, oldMean, unheardMean)
	}
	if now.hits*old.sessions*5 < old.hits*now.sessions*4 {
		t.Errorf("%d of %d requests found their prefix, want four fifths of the share before (%d of %d)", now.hits, now.sessions, old.hits, old.sessions)
	}
	if unheardMean > oldMean*1.1 {
		t.Errorf("with all datagrams lost %.0f ms in the queues, want no more than %.0f ms before", unheardMean, oldMean)
	}
}

// Load pattern: all hosts start anew. None knows any load, and their first requests must not
// meet at one target.
func TestPatternAllHostsRestart(t *testing.T) {
	got := map[string]int{}
	list := targets(strings.Split(strings.Repeat("a", 15), "")...)
	for rank := range 62 {
		b := newBalancer(62, rank)
		b.rng = rand.New(rand.NewPCG(1, uint64(rank)))
		got[choose(t, b, Query{Targets: list, Slots: 12})]++
	}
	for id, n := range got {
		if n > 12 {
			t.Errorf("target %s got %d of 62 first requests, want at most its 12 slots: %v", id, n, got)
		}
	}
}

// Guards earlier deployments: with few hosts the choice doesn't consider what others tell.
func TestFewHostsChooseAsBefore(t *testing.T) {
	b := newBalancer(9, 0)
	b.opts.Others = fromHosts{"a0": 9, "a1": 9}
	got := map[string]int{}
	for i := range 9 {
		id := choose(t, b, Query{Targets: targets("a", "a", "a"), Slots: 6})
		if want := fmt.Sprint("a", i%3); id != want {
			t.Errorf("choice %d: %s, want %s", i, id, want)
		}
		got[id]++
	}
}

// Load pattern: targets near are full with requests of other hosts. A host that has none of
// its own there goes to those further away, in order of distance.
func TestPatternNearTargetsFullByOthers(t *testing.T) {
	others := fromHosts{}
	b := crowd(others)
	q := Query{Targets: targets("c", "b", "a"), Slots: 12}
	for _, want := range []string{"a2", "b1", "c0"} {
		if got := choose(t, b, q); got != want {
			t.Errorf("with %v in flight from other hosts: %s, want %s", others, got, want)
		}
		others[want] = 12
	}
}

// Load pattern: targets of uneven speed. A target whose work takes three times as long gets
// a third of the requests of another, which is the same time.
func TestPatternReportedSlowdown(t *testing.T) {
	b := newBalancer(3, 0)
	q := Query{Targets: targets("a", "a")}
	now := time.Now()
	for i := range 10 {
		at := now.Add(time.Duration(i-9) * 2 * time.Second)
		b.health("a0").addReport(fleet.LoadReport{Slowdown: 3}, at)
		b.health("a1").addReport(fleet.LoadReport{Slowdown: 1}, at)
	}
	got := map[string]int{}
	for range 16 {
		c, _ := b.Choose(q, now)
		got[c.ID]++
	}
	if want := map[string]int{"a0": 4, "a1": 12}; !maps.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// Load pattern: a slowdown that changes many times a second, between half and three times the
// usual. The choice follows its mean, so a target neither gets all requests of a moment nor none.
func TestPatternFlappingSlowdown(t *testing.T) {
	b := newBalancer(3, 0)
	q := Query{Targets: targets("a", "a")}
	now := time.Now()
	var open []*Chosen
	oneSided := 0
	for i := range 200 {
		now = now.Add(20 * time.Millisecond)
		for j, id := range []string{"a0", "a1"} {
			flapping := []float64{0.5, 3}[(i+j)%2]
			b.health(id).addReport(fleet.LoadReport{Running: b.health(id).inFlight, Slots: 8, Slowdown: flapping}, now)
		}
		sent := map[string]int{}
		for range 20 {
			c, _ := b.Choose(q, now)
			sent[c.ID]++
			if open = append(open, c); len(open) > 40 {
				open[0].doneAt(Answered, 0, now)
				open = open[1:]
			}
		}
		if i >= 150 && max(sent["a0"], sent["a1"]) > 15 {
			oneSided++
		}
	}
	if oneSided > 5 {
		t.Errorf("in %d of 50 intervals of 20 ms one target got more than 15 of 20 requests, want at most 5", oneSided)
	}
}

// Load pattern: prompts in common. The bound on the load of the target that has the prefix
// counts the requests of all hosts, so it is closer to their mean than that of one host's own.
func TestPatternPrefixTargetLoadedByOthers(t *testing.T) {
	for _, test := range []struct {
		others float64
		want   string
	}{{11, "a0"}, {14, "a1"}} {
		b := crowd(fromHosts{"a0": test.others, "a1": 9, "a2": 9.5, "a3": 9.5})
		if got := choose(t, b, Query{Targets: targets("a", "a", "a", "a"), Slots: 24, PrefixTarget: "a0"}); got != test.want {
			t.Errorf("with %g requests of other hosts at a0, which has the prefix: %s, want %s", test.others, got, test.want)
		}
	}
}

// Guards against old figures of other hosts that undo a choice which the home of the region
// made by newer ones. This host's own requests still bound it.
func TestPlacedRequestIgnoresFiguresOfOthers(t *testing.T) {
	q := Query{Targets: targets("a", "a", "a", "a"), Slots: 24, PrefixTarget: "a0", IsPlaced: true}
	b := crowd(fromHosts{"a0": 14, "a1": 9, "a2": 9.5, "a3": 9.5})
	if got := choose(t, b, q); got != "a0" {
		t.Errorf("placed at a0, sent to %s", got)
	}
	atTarget := 1
	for range 11 {
		if choose(t, b, q) == "a0" {
			atTarget++
		}
	}
	if atTarget > 9 {
		t.Errorf("%d of 12 requests of this host go to one target", atTarget)
	}
}

// Guards against reports that are out of date or that lie: the host's own requests in flight
// are the least load, and count alone once the reports are old.
func TestLyingAndStaleReports(t *testing.T) {
	now := time.Now()
	q := Query{Targets: targets("a", "a")}
	b := newBalancer(3, 0)
	b.health("a0").addReport(fleet.LoadReport{Slowdown: 1}, now)
	b.health("a1").addReport(fleet.LoadReport{Running: 5, Slowdown: 1}, now)
	got := map[string]int{}
	for range 20 {
		c, _ := b.Choose(q, now)
		got[c.ID]++
		b.health("a0").addReport(fleet.LoadReport{Slowdown: 1}, now) // still claims to be idle
	}
	if got["a1"] < 5 {
		t.Errorf("the target that claims to be idle got %d of 20, want the other to get some: %v", got["a0"], got)
	}
	b = newBalancer(3, 0)
	b.health("a0").addReport(fleet.LoadReport{Running: 1 << 16, Slowdown: 16}, now)
	for i, want := range []string{"a0", "a1", "a0", "a1"} {
		c, _ := b.Choose(q, now.Add(maxReportAge))
		if c.ID != want {
			t.Errorf("choice %d after the report is out of date: %s, want %s", i, c.ID, want)
		}
	}
}
