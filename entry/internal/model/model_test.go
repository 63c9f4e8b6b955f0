//go:build !race

package model

import (
	"reflect"
	"testing"
	"time"
)

// Each pattern runs with the scheduler of package batch as it is, and with two
// baselines: hosts that each schedule on their own, with less filled calls, and one
// home that serves requests in the order of arrival.

// seeds is the number of seeds that each pattern runs with.
const seeds = 3

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func logOutcome(t *testing.T, name string, o Outcome) {
	t.Helper()
	t.Logf("%-14s credit %.3f served %.3f on time %d late %d refused %d failed %d refused late %d; %.1f pieces per call, fill %v, wasted %s, without space %d",
		name, o.CreditShare(), o.ServedShare(), o.OnTime, o.Late, o.Refused, o.Failed, o.RefusedLate, o.PiecesPerCall(), o.Fill, o.Wasted.Round(time.Second), o.NoSpace)
}

// runBaselines runs a load with one home and with the two baselines, over all seeds.
func runBaselines(t *testing.T, load func(seed uint64) Load) (home, separate, fifo Outcome) {
	t.Helper()
	sum := func(change func(*Load)) Outcome {
		var total Outcome
		for seed := range uint64(seeds) {
			l := load(seed)
			change(&l)
			total = total.add(Run(l))
		}
		return total
	}
	home = sum(func(*Load) {})
	separate = sum(func(l *Load) { l.Schedulers = 9 })
	fifo = sum(func(l *Load) { l.FIFO = true })
	logOutcome(t, "home", home)
	logOutcome(t, "separate hosts", separate)
	logOutcome(t, "FIFO order", fifo)
	return home, separate, fifo
}

// Equal loads must give equal decisions, so that a failure can be reproduced.
func TestRunsAreReproducible(t *testing.T) {
	var first Outcome
	for i := range 4 {
		l := Sundarban(3)
		l.Duration = seconds(12)
		l.Bursts = []Burst{{At: seconds(3), Duration: seconds(5), Factor: 2}}
		l.HomesLost = []time.Duration{seconds(6)}
		o := Run(l)
		o.Fill, o.ByKind = nil, nil
		if i == 0 {
			first = o
		} else if !reflect.DeepEqual(o, first) {
			t.Fatalf("run %d: %+v, the first was %+v", i+1, o, first)
		}
	}
}

func TestPatternNormalLoad(t *testing.T) {
	for name, load := range map[string]func(uint64) Load{"union": Union, "sundarban": Sundarban} {
		t.Run(name, func(t *testing.T) {
			home, separate, _ := runBaselines(t, load)
			if home.CreditShare() < 0.99 {
				t.Errorf("credit %.3f, want at least 0.99", home.CreditShare())
			}
			if home.Refused > 0 {
				t.Errorf("%d refused while targets were idle, want none", home.Refused)
			}
			if home.CreditShare() < separate.CreditShare() {
				t.Errorf("credit %.3f, separate hosts earn %.3f", home.CreditShare(), separate.CreditShare())
			}
		})
	}
}

// Pieces and requests run in the data centre of their inputs: less than a quarter of
// the bytes read come from another data centre. Random placement among three data
// centres would move two thirds.
func TestPatternResultsStayInTheirDataCentre(t *testing.T) {
	for name, load := range map[string]func(uint64) Load{"union": Union, "sundarban": Sundarban} {
		t.Run(name, func(t *testing.T) {
			var o Outcome
			for seed := range uint64(seeds) {
				o = o.add(Run(load(seed)))
			}
			share := float64(o.CrossBytes) / float64(o.ReadBytes)
			t.Logf("%.2f of %.1f GB read from other data centres", share, float64(o.ReadBytes)/1e9)
			if share >= 0.25 {
				t.Errorf("%.2f of the bytes read from other data centres, want less than 0.25", share)
			}
		})
	}
}

// The service that limits throughput has two thirds of its normal space for results.
func TestPatternShortResultSpace(t *testing.T) {
	home, separate, fifo := runBaselines(t, func(seed uint64) Load {
		l := Sundarban(seed)
		for i := range l.Services {
			if l.Services[i].Name == "sieve" {
				l.Services[i].Spec.ResultSpaceBytes = 2e6
			}
		}
		return l
	})
	checkHeavy(t, home, separate, fifo)
}

// runRegions runs a load with homes that report their backlogs to each other, and
// with homes that don't.
func runRegions(t *testing.T, load func(seed uint64) Load) (home, noReports Outcome) {
	t.Helper()
	sum := func(silent bool) (total Outcome) {
		for seed := range uint64(seeds) {
			l := load(seed)
			l.NoReports = silent
			total = total.add(Run(l))
		}
		return total
	}
	home, noReports = sum(false), sum(true)
	logOutcome(t, "homes", home)
	logOutcome(t, "no reports", noReports)
	t.Logf("%d orders moved", home.Moved)
	if home.CreditShare() < 0.9 {
		t.Errorf("credit %.3f, want at least 0.9, since the other regions have capacity", home.CreditShare())
	}
	if home.CreditShare() < noReports.CreditShare() {
		t.Errorf("credit %.3f, homes without reports earn %.3f", home.CreditShare(), noReports.CreditShare())
	}
	if home.RefusedLate*100 > home.Requests {
		t.Errorf("%d of %d requests were refused late", home.RefusedLate, home.Requests)
	}
	return home, noReports
}

func TestPatternBurstInOneRegion(t *testing.T) {
	runRegions(t, func(seed uint64) Load {
		l := RegionalUnion(seed)
		l.Duration = seconds(12)
		l.Bursts = []Burst{{DataCentre: "thies", At: seconds(4), Duration: seconds(6), Factor: 2.4}}
		return l
	})
}

func TestPatternRegionLosesTargets(t *testing.T) {
	runRegions(t, func(seed uint64) Load {
		l := RegionalUnion(seed)
		l.Duration = seconds(12)
		// Every third target, from the first, is in the same region.
		l.Faults = []Fault{{Service: "tarifs", Targets: 6, Every: 3, At: seconds(4), Duration: seconds(6)}}
		return l
	})
}

func TestPatternNormalRegions(t *testing.T) {
	home, _ := runRegions(t, func(seed uint64) Load {
		l := RegionalUnion(seed)
		l.Duration = seconds(12)
		return l
	})
	if home.Moved*20 > home.Requests {
		t.Errorf("%d of %d orders moved under normal load, want under one in 20", home.Moved, home.Requests)
	}
}

// Priorities of client accounts take precedence over those of routes. Among client
// accounts of the same priority, the ranks of routes must still decide.
func TestPatternBurstWithOnePriority(t *testing.T) {
	sum := func(noRanks bool) (total Outcome) {
		for seed := range uint64(seeds) {
			l := Sundarban(seed)
			l.Bursts = []Burst{{At: seconds(5), Duration: seconds(6), Factor: 2}}
			l.OnePriority, l.NoRanks = true, noRanks
			total = total.add(Run(l))
		}
		return total
	}
	ranked, unranked := sum(false), sum(true)
	logOutcome(t, "ranks", ranked)
	logOutcome(t, "no ranks", unranked)
	if ranked.CreditShare() <= unranked.CreditShare() {
		t.Errorf("credit %.3f, without ranks %.3f", ranked.CreditShare(), unranked.CreditShare())
	}
	for name, k := range ranked.ByKind {
		served := float64(k.Served) / float64(k.Requests)
		t.Logf("%s: served %.3f, credit %.3f", name, served, k.Credit/k.MaxCredit)
		if served < ranked.ServedShare()/4 {
			t.Errorf("%s starves: served %.3f, all kinds %.3f", name, served, ranked.ServedShare())
		}
	}
}

// minFillInBursts is the documented objective for the fill of calls at the service
// that limits throughput.
const minFillInBursts = 0.7

func TestPatternBurstOfOneKind(t *testing.T) {
	tests := []struct {
		name, kind, bottleneck string
		load                   func(uint64) Load
		factor, length         float64
	}{
		{"union assessments", "assessment", "annuaire", Union, 2.4, 6.7},
		{"union letters", "letter", "camions", Union, 2.4, 5.2},
		{"sundarban plans", "plan", "sieve", Sundarban, 2.5, 6.7},
		{"sundarban queries", "query", "sieve", Sundarban, 2.4, 5.2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			home, separate, fifo := runBaselines(t, func(seed uint64) Load {
				l := test.load(seed)
				l.Bursts = []Burst{{Kind: test.kind, At: seconds(5), Duration: seconds(test.length), Factor: test.factor}}
				return l
			})
			checkHeavy(t, home, separate, fifo)
			if got := home.Fill[test.bottleneck]; got < minFillInBursts {
				t.Errorf("mean fill of calls at %s %.2f in the burst, want at least %.2f", test.bottleneck, got, minFillInBursts)
			}
		})
	}
}

// checkHeavy checks the properties that hold under any heavy load.
func checkHeavy(t *testing.T, home, separate, fifo Outcome) {
	t.Helper()
	if home.CreditShare() < 2*separate.CreditShare() && home.CreditShare() < 0.9 {
		t.Errorf("credit %.3f, want at least 0.9 or twice the %.3f of separate hosts", home.CreditShare(), separate.CreditShare())
	}
	if home.CreditShare() < fifo.CreditShare() {
		t.Errorf("credit %.3f, FIFO earns %.3f", home.CreditShare(), fifo.CreditShare())
	}
	// Requests are refused early: at most one in a hundred is refused after more than a
	// quarter of its timeout.
	if home.RefusedLate*100 > home.Requests {
		t.Errorf("%d of %d requests were refused late", home.RefusedLate, home.Requests)
	}
}

// checkFault runs a load with a fault and checks the properties that hold under any
// heavy load.
func checkFault(t *testing.T, load func(uint64) Load, f Fault) {
	t.Helper()
	home, separate, fifo := runBaselines(t, func(seed uint64) Load {
		l := load(seed)
		l.Faults = []Fault{f}
		return l
	})
	checkHeavy(t, home, separate, fifo)
}

func TestPatternBurstOfAllKinds(t *testing.T) {
	for name, load := range map[string]func(uint64) Load{"union": Union, "sundarban": Sundarban} {
		t.Run(name, func(t *testing.T) {
			home, separate, fifo := runBaselines(t, func(seed uint64) Load {
				l := load(seed)
				l.Bursts = []Burst{{At: seconds(5), Duration: seconds(4), Factor: 1.8}}
				return l
			})
			checkHeavy(t, home, separate, fifo)
		})
	}
}

func TestPatternSlowTargets(t *testing.T) {
	checkFault(t, Union, Fault{Service: "annuaire", Targets: 1, At: seconds(5), Duration: seconds(10), Slowdown: 5})
}

func TestPatternTargetsLost(t *testing.T) {
	checkFault(t, Sundarban, Fault{Service: "sieve", Targets: 2, At: seconds(5), Duration: seconds(8)})
}

// All targets of a stage are cold at once, as after the return of a data centre: each
// call takes three times as long.
func TestPatternTargetsColdTogether(t *testing.T) {
	checkFault(t, Union, Fault{Service: "camions", Targets: 5, At: seconds(5), Duration: seconds(3), Slowdown: 3})
}

// Homes are lost in a burst, with their orders and estimates. Their results stay at
// the targets for 4 s unless the next home takes them over.
func TestPatternHomesLostInBurst(t *testing.T) {
	load := func(lost ...time.Duration) (total Outcome) {
		for seed := range uint64(seeds) {
			l := Union(seed)
			l.Bursts = []Burst{{At: seconds(5), Duration: seconds(6), Factor: 1.4}}
			l.HomesLost = lost
			total = total.add(Run(l))
		}
		return total
	}
	kept, lost := load(), load(seconds(6), seconds(9))
	logOutcome(t, "home kept", kept)
	logOutcome(t, "homes lost", lost)
	// Two lost homes mean 1.5 s of 30 s in which no order starts, at 1.4 times the load.
	if least := kept.CreditShare() * (1 - 2*1.5*1.4/30); lost.CreditShare() < least {
		t.Errorf("credit %.3f, want at least %.3f", lost.CreditShare(), least)
	}
	if lost.Failed > 0 {
		t.Errorf("%d failed, want all answered or refused", lost.Failed)
	}
}

func TestPatternClientsRetryImmediately(t *testing.T) {
	home, separate, fifo := runBaselines(t, func(seed uint64) Load {
		l := Union(seed)
		l.Bursts = []Burst{{At: seconds(5), Duration: seconds(5), Factor: 1.7}}
		l.ImmediateRetries = 3
		return l
	})
	checkHeavy(t, home, separate, fifo)
}

func TestPatternClientsCancel(t *testing.T) {
	home, _, _ := runBaselines(t, func(seed uint64) Load {
		l := Union(seed)
		l.CancelShare = 0.2
		return l
	})
	if home.Cancelled == 0 {
		t.Fatal("no caller cancelled")
	}
	// Running pieces of a cancelled request are wasted; waiting ones must not start.
	if per := home.Wasted / time.Duration(home.Cancelled); per > 150*time.Millisecond {
		t.Errorf("%s of target time wasted per cancelled request, want at most 150ms", per)
	}
}

// Few requests with a chain of three stages and a short objective compete with a burst of
// less urgent ones that have the same chain and time to spare. The urgent ones must not be
// served less often by over 5 in 100, nor earn a smaller share of their credit by over 15
// in 100: hosts took them for late because the others wait long, and put them last.
func TestPatternBurstBesideTightObjective(t *testing.T) {
	const maxServedGap, maxCreditGap = 0.05, 0.15
	run := func(bursts []Burst, noObjectives bool) (total Outcome) {
		for seed := range uint64(seeds - 1) {
			l := Torchio(seed)
			l.Bursts, l.NoObjectives = bursts, noObjectives
			total = total.add(Run(l))
		}
		return total
	}
	gaps := func(o Outcome) (served, credit float64) {
		caption, blurb := o.ByKind["caption"], o.ByKind["blurb"]
		return float64(blurb.Served)/float64(blurb.Requests) - float64(caption.Served)/float64(caption.Requests),
			blurb.Credit/blurb.MaxCredit - caption.Credit/caption.MaxCredit
	}
	blurbs := Burst{Kind: "blurb", At: seconds(3), Duration: seconds(6.4), Factor: 2.4}
	for name, bursts := range map[string][]Burst{
		"blurbs":            {blurbs},
		"blurbs and proofs": {blurbs, {Kind: "proof", At: seconds(4), Duration: seconds(5), Factor: 2}},
	} {
		t.Run(name, func(t *testing.T) {
			with, without := run(bursts, false), run(bursts, true)
			logOutcome(t, "objectives", with)
			logOutcome(t, "none", without)
			served, credit := gaps(with)
			servedWithout, creditWithout := gaps(without)
			t.Logf("gaps: served %.3f (%.3f without objectives), credit %.3f (%.3f)", served, servedWithout, credit, creditWithout)
			if served > maxServedGap || credit > maxCreditGap {
				t.Errorf("captions: served %.3f less often than blurbs, credit share %.3f smaller; want at most %.2f and %.2f", served, credit, maxServedGap, maxCreditGap)
			}
			if servedWithout <= maxServedGap && creditWithout <= maxCreditGap {
				t.Error("the load doesn't show the fault without objectives")
			}
			if with.CreditShare() < without.CreditShare()-0.01 {
				t.Errorf("credit %.3f, without objectives %.3f", with.CreditShare(), without.CreditShare())
			}
		})
	}
}
