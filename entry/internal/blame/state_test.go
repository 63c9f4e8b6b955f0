package blame

import (
	"flag"
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

var seeds = flag.Int("seeds", 6, "number of seeds of each simulation")

// maxLate is how many requests with a deadly part may reach targets later than
// contactTime after the fifth crash.
const (
	maxLate     = 3
	contactTime = 4 * time.Second
)

// Guards against prompts that crash one target after the other because each broken answer
// is charged to the target alone. Sound requests with the other parts of these prompts
// are never refused.
func TestDeadlyPartIsQuarantinedAtAllHosts(t *testing.T) {
	for seed := range uint64(*seeds) {
		sim, name := randomSimulation(seed)
		share := []float64{0.01, 0.05, 0.1, 0.3}[sim.rng.IntN(4)]
		rate := float64(len(sim.targets)) * (0.5 + sim.rng.Float64())
		sim.traffic(rate, 0, 4*time.Second)
		sim.run(4 * time.Second)
		sim.traffic(rate, share, 40*time.Second)
		sim.run(40 * time.Second)
		if got := sim.lateDeadly(contactTime); got > maxLate {
			t.Errorf("%s, %.0f requests/s, share %.2f: %d requests with the deadly part reached targets late, want at most %d; %d crashes", name, rate, share, got, maxLate, len(sim.deadlyCrashes))
		}
		if sim.soundRefused > 0 {
			t.Errorf("%s, %.0f requests/s, share %.2f: %d of %d sound requests refused, want 0", name, rate, share, sim.soundRefused, sim.soundSent)
		}
	}
}

// Guards against a part that takes all targets down on so few occasions that it isn't
// quarantined, at some hosts or at all, until those that return crash too.
func TestDeadlyPartThatCrashesAllTargetsIsQuarantined(t *testing.T) {
	for seed := range uint64(*seeds) {
		sim, name := randomSimulation(seed)
		rate := float64(len(sim.targets)) * (4 + 6*sim.rng.Float64())
		const began = 8 * time.Second
		sim.traffic(rate, 0, began)
		sim.run(began)
		for range 2 * len(sim.targets) {
			sim.after(sim.between(0, 600*time.Millisecond), func() { sim.arriveUnstaged(sim.prompt(true), true) })
		}
		sim.traffic(rate, 0.05, 30*time.Second)
		sim.run(30 * time.Second)
		if got := sim.lateDeadly(contactTime); got > maxLate {
			t.Errorf("%s, %.0f requests/s: %d requests with the deadly part reached targets late, want at most %d; %d crashes", name, rate, got, maxLate, len(sim.deadlyCrashes))
		}
		if sim.soundRefused > 0 {
			t.Errorf("%s, %.0f requests/s: %d of %d sound requests refused, want 0", name, rate, sim.soundRefused, sim.soundSent)
		}
	}
}

// Guards against refusals of sound prompts because targets crash that have them: a rack
// at a time, the same targets again and again, or one after the other.
func TestCrashesOfTargetsQuarantineNothing(t *testing.T) {
	crashes := map[string]func(sim *simulation){
		"rack": func(sim *simulation) {
			for at := 4 * time.Second; at < 36*time.Second; at += 8 * time.Second {
				first := sim.rng.IntN(len(sim.targets))
				for i := range len(sim.targets) / 4 {
					sim.after(at+sim.between(0, 50*time.Millisecond), func() { sim.crash(sim.targets[(first+i)%len(sim.targets)]) })
				}
			}
		},
		"flapping": func(sim *simulation) {
			for i := range 3 {
				for at := 4 * time.Second; at < 36*time.Second; at += sim.between(4*time.Second, 6*time.Second) {
					sim.after(at, func() { sim.crash(sim.targets[i]) })
				}
			}
		},
		"all at once": func(sim *simulation) {
			for at := 8 * time.Second; at < 36*time.Second; at += 12 * time.Second {
				for _, t := range sim.targets {
					sim.after(at+sim.between(0, 50*time.Millisecond), func() { sim.crash(t) })
				}
			}
		},
		"one by one within a second": func(sim *simulation) {
			for at := 8 * time.Second; at < 36*time.Second; at += 12 * time.Second {
				for _, t := range sim.targets {
					sim.after(at+sim.between(0, time.Second), func() { sim.crash(t) })
				}
			}
		},
		"one after the other": func(sim *simulation) {
			for at := 4 * time.Second; at < 36*time.Second; at += sim.between(300*time.Millisecond, 2*time.Second) {
				sim.after(at, func() { sim.crash(sim.targets[sim.rng.IntN(len(sim.targets))]) })
			}
		},
	}
	for kind, crash := range crashes {
		for seed := range uint64(*seeds) {
			sim, name := randomSimulation(seed)
			sim.traffic(float64(len(sim.targets))*(0.5+sim.rng.Float64()), 0, 40*time.Second)
			crash(sim)
			sim.run(40 * time.Second)
			if sim.soundRefused > 0 {
				t.Errorf("%s, %s: %d of %d requests refused, want 0", kind, name, sim.soundRefused, sim.soundSent)
			}
		}
	}
}

// A host that starts while a part is quarantined knows it before it counts as in touch.
func TestStartedHostLearnsOfQuarantines(t *testing.T) {
	for seed := range uint64(*seeds) {
		sim, name := randomSimulation(seed)
		rate := float64(len(sim.targets))
		sim.traffic(rate, 0.1, 10*time.Second)
		sim.run(40 * time.Second)
		want := len(sim.hosts[0].state.quarantines)
		if want != 1 {
			t.Errorf("%s: %d parts quarantined, want 1", name, want)
			continue
		}
		started := sim.addHost()
		sim.run(contactTime)
		if _, ok := started.state.quarantines[part{"s", "deadly"}]; !ok {
			t.Errorf("%s: a host that started %s ago holds %d records and not the quarantine", name, contactTime, len(started.state.records))
		}
	}
}

// randomSimulation returns a simulation of random size with its description.
func randomSimulation(seed uint64) (*simulation, string) {
	size := []struct{ hosts, targets int }{{7, 12}, {9, 20}, {30, 40}, {77, 60}}[seed%4]
	sim := newSimulation(seed, size.hosts, size.targets)
	sim.lossRate = 0.2 * sim.rng.Float64()
	sim.attempts = 1 + sim.rng.IntN(3)
	sim.systems, sim.index, sim.isSticky = []int{3, 6, 20}[sim.rng.IntN(3)], sim.rng.IntN(3), sim.rng.IntN(2) == 0
	return sim, fmt.Sprintf("seed %d: %d hosts, %d targets, %d attempts, loss %.2f, deadly part at %d, %d first parts, sticky %v", seed, size.hosts, size.targets, sim.attempts, sim.lossRate, sim.index, sim.systems, sim.isSticky)
}

// deployment is a state with helpers for tests of single rules.
type deployment struct {
	*state
	now time.Time
}

func newDeployment() *deployment { return &deployment{newState(), start} }

// crashOn records a crash of a new target for each of the prompts, a second apart.
func (d *deployment) crashOn(service string, prompts ...[]string) {
	for _, parts := range prompts {
		d.now = d.now.Add(time.Second)
		d.crash(service, d.now.String(), 0, parts, d.now.String())
	}
	d.now = d.now.Add(settleTime)
}

// crash records a crash of an incarnation of a target.
func (d *deployment) crash(service, target string, startMillis int64, parts []string, own string) {
	d.recordBroken(Broken{Service: service, Target: target, Address: target, StartMillis: startMillis, Parts: parts, Own: own}, d.now)
}

// series records a complete answer on the first of parts, and crashes of n targets 300 ms
// apart on different prompts with it, the first of them two seconds later than now.
func (d *deployment) series(parts []string, n int) {
	d.recordComplete("s", parts[:1], start)
	d.now = d.now.Add(2 * time.Second)
	for i := range n {
		d.crash("s", fmt.Sprint(i), 0, []string{parts[0], fmt.Sprint(i)}, fmt.Sprint(i))
		d.now = d.now.Add(occasionLength * 3 / 2)
	}
	d.now = d.now.Add(settleTime)
}

// refusedPart returns the part for which the first host refuses a request.
func (d *deployment) refusedPart(service string, parts ...string) string {
	return d.check(service, parts, false, func(string) int { return 0 }, d.now).Part
}

func TestQuarantine(t *testing.T) {
	deadly := []string{"system", "deadly"}
	tests := []struct {
		name    string
		play    func(d *deployment)
		request []string
		want    string
	}{
		{"two crashes", func(d *deployment) { d.crashOn("s", deadly, deadly) }, deadly, ""},
		{"three crashes", func(d *deployment) { d.crashOn("s", deadly, deadly, deadly) }, deadly, "deadly"},
		{"three crashes, request with the other part", func(d *deployment) { d.crashOn("s", deadly, deadly, deadly) }, []string{"system", "x"}, ""},
		{"three crashes at another service", func(d *deployment) { d.crashOn("other", deadly, deadly, deadly) }, deadly, ""},
		{"three crashes at another service and one", func(d *deployment) { d.crashOn("other", deadly, deadly, deadly); d.crashOn("s", deadly) }, deadly, "deadly"},
		{"first part with different others", func(d *deployment) {
			d.crashOn("s", []string{"deadly", "a"}, []string{"deadly", "b"}, []string{"deadly", "c"})
		}, []string{"deadly", "x"}, "deadly"},
		{"same crash three times", func(d *deployment) {
			for _, own := range []string{"a", "b", "c"} {
				d.now = d.now.Add(time.Second)
				d.crash("s", "t", 0, deadly, own)
			}
			d.now = d.now.Add(settleTime)
		}, deadly, ""},
		{"one prompt at three targets", func(d *deployment) {
			for i := range 3 {
				d.now = d.now.Add(time.Second)
				d.crash("s", fmt.Sprint(i), 0, deadly, "own")
			}
			d.now = d.now.Add(settleTime)
		}, deadly, ""},
		{"one prompt at four targets", func(d *deployment) {
			for i := range 4 {
				d.now = d.now.Add(time.Second)
				d.crash("s", fmt.Sprint(i), 0, deadly, "own")
			}
			d.now = d.now.Add(settleTime)
		}, deadly, "deadly"},
		{"one target three times", func(d *deployment) {
			for i := range int64(3) {
				d.now = d.now.Add(time.Second)
				d.crash("s", "t", i, deadly, fmt.Sprint(i))
			}
			d.now = d.now.Add(settleTime)
		}, deadly, ""},
		{"one target five times", func(d *deployment) {
			for i := range int64(5) {
				d.now = d.now.Add(time.Second)
				d.crash("s", "t", i, deadly, fmt.Sprint(i))
			}
			d.now = d.now.Add(settleTime)
		}, deadly, "deadly"},
		{"crashes at once", func(d *deployment) {
			for i := range 9 {
				d.now = d.now.Add(occasionLength / 10)
				d.crash("s", fmt.Sprint(i), 0, deadly, fmt.Sprint(i))
			}
			d.now = d.now.Add(time.Second)
		}, deadly, ""},
		{"many crashes on two occasions", func(d *deployment) {
			for i := range maxOccasions {
				d.now = d.now.Add(occasionLength / 3)
				d.crash("s", fmt.Sprint(i), 0, deadly, fmt.Sprint(i))
			}
			d.now = d.now.Add(time.Second)
		}, deadly, "deadly"},
		{"many crashes on two occasions after a complete answer", func(d *deployment) {
			d.recordComplete("s", []string{"system", "x"}, d.now)
			d.now = d.now.Add(5 * time.Second)
			for i := range maxOccasions {
				d.now = d.now.Add(occasionLength / 3)
				d.crash("s", fmt.Sprint(i), 0, []string{"system", fmt.Sprint(i)}, fmt.Sprint(i))
			}
			d.now = d.now.Add(time.Second)
		}, []string{"system", "x"}, ""},
		{"three occasions within a second, two seconds after a complete answer", func(d *deployment) {
			d.series([]string{"system", "x"}, 3)
		}, []string{"system", "x"}, ""},
		{"five occasions within a second and a half, two seconds after a complete answer", func(d *deployment) {
			d.series([]string{"system", "x"}, maxOccasions)
		}, []string{"system", "x"}, "system"},
		{"three occasions within a second, long after a complete answer", func(d *deployment) {
			d.now = d.now.Add(trustDuration)
			d.series([]string{"system", "x"}, 3)
		}, []string{"system", "x"}, "system"},
		{"many crashes on two occasions, one without the part", func(d *deployment) {
			d.crash("s", "other", 0, []string{"a", "b"}, "other")
			for i := range maxOccasions {
				d.now = d.now.Add(occasionLength / 3)
				d.crash("s", fmt.Sprint(i), 0, deadly, fmt.Sprint(i))
			}
			d.now = d.now.Add(time.Second)
		}, deadly, ""},
		{"among crashes without the part", func(d *deployment) {
			for i := range 16 { // four targets each 300 ms, one of them with the part
				parts := []string{fmt.Sprint("first", i%4), fmt.Sprint("other", i)}
				if i%4 == 0 {
					parts = []string{"first", "part"}
				}
				d.now = d.now.Add(75 * time.Millisecond)
				d.crash("s", fmt.Sprint(i), 0, parts, fmt.Sprint(i))
			}
			d.now = d.now.Add(settleTime)
		}, []string{"first", "part"}, ""},
		{"many crashes among those of another deadly part", func(d *deployment) {
			for i := range 2 * occasionsDespiteOthers {
				d.now = d.now.Add(occasionLength / 2)
				d.crash("s", fmt.Sprint(i), 0, []string{fmt.Sprint("first", i%2), fmt.Sprint("deadly", i%2)}, fmt.Sprint(i))
			}
			d.now = d.now.Add(settleTime)
		}, []string{"first0", "deadly0"}, "deadly0"},
		{"crashes with some without the part between", func(d *deployment) {
			for i := range 3 {
				d.now = d.now.Add(commonCauseTime + time.Millisecond)
				d.crash("s", fmt.Sprint("other", i), 0, []string{"a", fmt.Sprint(i)}, fmt.Sprint(i))
				d.now = d.now.Add(commonCauseTime + time.Millisecond)
				d.crash("s", fmt.Sprint(i), 0, deadly, fmt.Sprint(i))
			}
			d.crashOn("s", deadly)
		}, deadly, "deadly"},
		{"before other hosts can have said more", func(d *deployment) {
			d.crashOn("s", deadly, deadly, deadly)
			d.now = d.now.Add(-settleTime / 2)
		}, deadly, ""},
		{"complete answer between", func(d *deployment) {
			d.crashOn("s", deadly, deadly)
			d.recordComplete("s", deadly, d.now)
			d.crashOn("s", deadly)
		}, deadly, ""},
		{"complete answer before", func(d *deployment) {
			d.recordComplete("s", deadly, d.now)
			d.crashOn("s", deadly, deadly, deadly)
		}, deadly, "deadly"},
		{"complete answer less than a second before the first crash", func(d *deployment) {
			d.recordComplete("s", deadly, d.now)
			d.now = d.now.Add(-priorTrust / 2)
			d.crashOn("s", deadly, deadly, deadly)
		}, deadly, ""},
		{"complete answer later", func(d *deployment) {
			d.crashOn("s", deadly, deadly, deadly)
			d.recordComplete("s", deadly, d.now)
		}, deadly, ""},
		{"complete answer at another service", func(d *deployment) {
			d.crashOn("s", deadly, deadly, deadly)
			d.recordComplete("other", deadly, d.now)
		}, deadly, "deadly"},
		{"crashes explained by another part", func(d *deployment) {
			d.crashOn("s", deadly, deadly)
			for range 3 {
				d.now = d.now.Add(time.Second)
				d.crash("s", d.now.String(), 0, deadly, d.now.String())
				d.crash("s", d.now.String(), 0, []string{"system", "bystander"}, "other")
			}
			d.now = d.now.Add(settleTime)
		}, []string{"system", "bystander"}, ""},
		{"crashes without the part later", func(d *deployment) {
			d.crashOn("s", deadly, deadly, deadly)
			d.crashOn("s", []string{"a", "b"}, []string{"c", "d"}, []string{"e", "f"}, []string{"g", "h"})
		}, deadly, "deadly"},
		{"crashes without the part before", func(d *deployment) {
			d.crashOn("s", []string{"a", "b"}, []string{"c", "d"}, []string{"e", "f"}, []string{"g", "h"})
			d.crashOn("s", deadly, deadly, deadly)
		}, deadly, ""},
		{"crashes long ago", func(d *deployment) {
			d.crashOn("s", deadly, deadly)
			d.now = d.now.Add(window + time.Second)
			d.expire(d.now)
			d.crashOn("s", deadly)
		}, deadly, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := newDeployment()
			test.play(d)
			if got := d.refusedPart("s", test.request...); got != test.want {
				t.Errorf("request with %v is refused for part %q, want %q", test.request, got, test.want)
			}
		})
	}
}

// Once a quarantine has been held, one request of the deployment shows whether it is
// still needed.
func TestTrial(t *testing.T) {
	deadly := []string{"system", "deadly"}
	d := newDeployment()
	d.crashOn("s", deadly, deadly, deadly)
	v := d.check("s", deadly, false, nil, d.now)
	if v.RetryAfter <= 0 || v.RetryAfter > minHold {
		t.Errorf("retry after %s, want at most %s", v.RetryAfter, minHold)
	}
	d.now = d.now.Add(minHold)
	rank := func(n int) func(string) int { return func(string) int { return n } }
	if v := d.check("s", deadly, false, rank(1), d.now); v.Part == "" {
		t.Error("the host of rank 1 doesn't refuse a request after the hold")
	}
	if v := d.check("s", deadly, false, rank(0), d.now); v.Part != "" || !v.IsTrial {
		t.Errorf("the host of rank 0 got verdict %+v after the hold, want a trial", v)
	}
	if v := d.check("s", deadly, true, rank(0), d.now); v.Part != "" || !v.IsTrial {
		t.Errorf("the next check of a trial got verdict %+v, want a trial", v)
	}
	if v := d.check("s", deadly, false, rank(0), d.now); v.Part == "" {
		t.Error("a second request isn't refused during a trial")
	}
	d.crashOn("s", deadly)
	if v := d.check("s", deadly, true, rank(0), d.now); v.RetryAfter <= minHold || v.RetryAfter > holdFactor*minHold {
		t.Errorf("retry after %s when the trial crashed a target, want more than %s and at most %s", v.RetryAfter, minHold, holdFactor*minHold)
	}
	d.now = d.now.Add(holdFactor * minHold)
	if v := d.check("s", deadly, false, rank(0), d.now); !v.IsTrial {
		t.Errorf("verdict %+v after the second hold, want a trial", v)
	}
	d.recordComplete("s", deadly, d.now.Add(time.Second))
	if len(d.quarantines) != 0 {
		t.Errorf("%d parts quarantined after a complete answer, want 0", len(d.quarantines))
	}
}

func TestHoldIsBounded(t *testing.T) {
	d := newDeployment()
	deadly := []string{"deadly"}
	d.crashOn("s", deadly, deadly, deadly)
	for range 8 {
		q := d.quarantines[part{"s", "deadly"}]
		if left := q.until.Sub(d.now); left <= 0 || left > maxHold {
			t.Fatalf("held for another %s, want more than 0 and at most %s", left, maxHold)
		}
		d.now = q.until
		d.expire(d.now)
		d.crashOn("s", deadly)
	}
	d.now = d.quarantines[part{"s", "deadly"}].until.Add(window + time.Second)
	d.expire(d.now)
	if len(d.quarantines)+len(d.records)+len(d.crashedAt)+len(d.trials) != 0 {
		t.Errorf("%d quarantines, %d records, %d crashes, %d trials left long after the last crash, want none", len(d.quarantines), len(d.records), len(d.crashedAt), len(d.trials))
	}
}

// Hosts that got the same evidence in any order derive the same quarantines.
func TestMergeDoesNotDependOnOrder(t *testing.T) {
	sim, _ := randomSimulation(1)
	sim.off = true
	sim.traffic(30, 0.1, 8*time.Second)
	sim.run(10 * time.Second)
	now := sim.time()
	all := sim.hosts[0].state.all(1<<10, now)
	if len(all.Records) < 20 {
		t.Fatalf("%d records, want at least 20", len(all.Records))
	}
	var want map[part]quarantine
	for range 20 {
		s := newState()
		sim.rng.Shuffle(len(all.Records), func(i, j int) { all.Records[i], all.Records[j] = all.Records[j], all.Records[i] })
		for _, r := range all.Records {
			s.merge(message{Records: []record{r}}, now)
			s.merge(message{Records: []record{r}}, now)
		}
		s.merge(message{Clearances: all.Clearances}, now)
		s.derive(now)
		if want == nil {
			want = s.quarantines
		}
		if len(s.quarantines) == 0 || !maps.Equal(s.quarantines, want) {
			t.Fatalf("quarantines %v, want %v", s.quarantines, want)
		}
	}
}

// Guards against crashes that count as one occasion at hosts that were told of them by
// different datagrams, whose ages are in whole milliseconds and arrive after different delays.
func TestOccasionsStayApartAtHostsThatAreTold(t *testing.T) {
	parts := []string{"system", "deadly"}
	a := newDeployment()
	for i := range minOccasions {
		target := fmt.Sprint("t", i)
		a.now = start.Add(time.Duration(i) * occasionLength)
		a.crash("s", target, 0, parts, target)
	}
	last := a.records[a.byCrash[crashID(fmt.Sprint("t", minOccasions-1), 0)][0].id]
	for phase := time.Duration(0); phase < time.Millisecond; phase += 50 * time.Microsecond {
		for delay := time.Duration(0); delay <= 3*time.Millisecond; delay += time.Millisecond {
			told, now := newState(), a.now.Add(roundInterval)
			told.merge(message{Records: []record{a.aged(last, now)}}, now)
			now = now.Add(roundInterval + phase)
			told.merge(a.all(maxReply, now), now.Add(delay))
			told.derive(now.Add(settleTime))
			if _, ok := told.quarantines[part{"s", "deadly"}]; !ok {
				t.Errorf("%d crashes %s apart, the last told of first, the others %s after a whole millisecond with a delay of %s: not quarantined", minOccasions, occasionLength, phase, delay)
			}
		}
	}
}

// Evidence that other hosts send can't grow the state without limit.
func TestStateIsBounded(t *testing.T) {
	s := newState()
	for i := range 3 * maxCrashes {
		var m message
		for j := range 2 * maxRecordsPerCrash {
			m.Records = append(m.Records, record{Crash: uint64(i), AgeMs: int64(i), Service: "s", Parts: []string{fmt.Sprint(i, j)}})
		}
		for j := range 10 {
			m.Clearances = append(m.Clearances, clearance{Service: "s", Part: fmt.Sprint(i, j)})
		}
		m.Records = append(m.Records, record{Crash: uint64(i), Service: "s", Parts: []string{strings.Repeat("x", maxNameBytes+1)}}, record{Crash: uint64(i), Service: "s"})
		s.merge(m, start)
		s.recordComplete("s", []string{fmt.Sprint(i), "x", "y"}, start)
	}
	if len(s.crashedAt) > maxCrashes || len(s.byCrash) > maxCrashes || len(s.records) > maxCrashes*maxRecordsPerCrash {
		t.Errorf("%d crashes and %d records, want at most %d and %d", len(s.crashedAt), len(s.records), maxCrashes, maxCrashes*maxRecordsPerCrash)
	}
	if len(s.cleared) > maxClears {
		t.Errorf("%d clearances, want at most %d", len(s.cleared), maxClears)
	}
	if got := len(s.nextRound(start).Records); got > maxCrashes*maxRecordsPerCrash {
		t.Errorf("%d records in a round", got)
	}
}

func FuzzMessage(f *testing.F) {
	good, _ := cbor.Marshal(message{Records: []record{{Crash: 1, Service: "s", Parts: []string{"a"}}}, Clearances: []clearance{{Service: "s", Part: "a"}}})
	f.Add(good)
	f.Add([]byte{0x83, 0x80, 0x80, 0xf5})
	f.Fuzz(func(_ *testing.T, data []byte) {
		var m message
		if cbor.Unmarshal(data, &m) == nil {
			newState().merge(m, start)
		}
	})
}
