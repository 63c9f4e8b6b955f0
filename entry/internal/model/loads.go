package model

import (
	"time"

	"chivepost/share/fleet"
)

// stageService returns a stage service. Only the parameters that differ between
// services are given.
func stageService(name string, batchSize int, item time.Duration, room int64, targets ...string) Service {
	return Service{Name: name, Targets: targets, Spec: fleet.Batching{
		Slots: 1, MaxQueued: 2, BatchSize: batchSize, CallOverhead: 200 * time.Millisecond, ItemTime: item, ResultSpaceBytes: room, ResultTTL: 4 * time.Second,
	}}
}

const ms = time.Millisecond

// Sundarban returns the normal load of the stages of the Sundarban deployment.
func Sundarban(seed uint64) Load {
	chain := func(first int) []Stage {
		return []Stage{
			{Service: "ledger", ResultBytes: 8000, WorkFactor: 0.3},
			{Service: "sieve", After: []int{first}, MeanPieces: 4, ResultBytes: 60000},
			{Service: "gate", After: []int{first + 1}, MeanPieces: 10, Spread: 0.4, ResultBytes: 6000},
		}
	}
	plan := append([]Stage{{Service: "ledger", MeanPieces: 1.5, Spread: 0.6, Share: 0.4, ResultBytes: 1_500_000}}, chain(1)...)
	return Load{
		Services: []Service{
			stageService("ledger", 8, 21*ms, 18e6, "kol", "kol", "bsh", "bsh", "hld", "hld"),
			stageService("sieve", 22, 7800*time.Microsecond, 3e6, "kol", "kol", "bsh", "bsh", "hld"),
			stageService("gate", 58, 3*ms, 760e3, "kol", "kol", "bsh", "bsh", "hld"),
		},
		Kinds: []Kind{
			{Name: "plan", PerSecond: 18.4, Objective: 2 * time.Second, Timeout: 8 * time.Second, Credit: 4.2, LateCredit: 0.63, Stages: plan, RunTime: 250 * ms, Retries: 1},
			{Name: "query", PerSecond: 21, Objective: 2500 * ms, Timeout: 6 * time.Second, Credit: 1.1, LateCredit: 0.17, Priority: 1, Stages: chain(0), RunTime: 200 * ms, Retries: 1},
			{
				Name: "note", PerSecond: 10.8, Objective: 2200 * ms, Timeout: 15 * time.Second, Credit: 0.66, LateCredit: 0.1, Priority: 2, RunTime: 150 * ms, Retries: 1,
				Stages: []Stage{{Service: "ledger", MeanPieces: 2.5, Spread: 0.6, Share: 0.7, ResultBytes: 1_500_000}},
			},
		},
		Duration: 30 * time.Second, Seed: seed,
	}
}

// Union returns the normal load of the stages of the Union deployment.
func Union(seed uint64) Load {
	chain := func(first int) []Stage {
		return []Stage{
			{Service: "annuaire", ResultBytes: 8000, WorkFactor: 0.3},
			{Service: "camions", After: []int{first}, MeanPieces: 6, ResultBytes: 60000},
			{Service: "tarifs", After: []int{first + 1}, MeanPieces: 10, Spread: 0.4, ResultBytes: 6000},
		}
	}
	answer := append([]Stage{{Service: "annuaire", MeanPieces: 1.5, Spread: 0.6, Share: 0.4, ResultBytes: 1_500_000}}, chain(1)...)
	return Load{
		Services: []Service{
			stageService("annuaire", 14, 12*ms, 32e6, "thies", "thies", "kaolack", "kaolack", "ziguinchor"),
			stageService("camions", 44, 3900*time.Microsecond, 5.8e6, "thies", "thies", "kaolack", "kaolack", "ziguinchor"),
			stageService("tarifs", 74, 2300*time.Microsecond, 970e3, "thies", "thies", "kaolack", "kaolack", "ziguinchor"),
		},
		Kinds: []Kind{
			{
				Name: "assessment", PerSecond: 31.3, Objective: 1100 * ms, Timeout: 6 * time.Second, Credit: 4.2, LateCredit: 0.63, RunTime: 250 * ms, Retries: 1,
				Stages: []Stage{{Service: "annuaire", MeanPieces: 2.5, Spread: 0.6, Share: 0.7, ResultBytes: 1_500_000}},
			},
			{Name: "letter", PerSecond: 38.4, Objective: 2500 * ms, Timeout: 6 * time.Second, Credit: 1, LateCredit: 0.15, Priority: 1, Stages: chain(0), RunTime: 200 * ms, Retries: 1},
			{Name: "answer", PerSecond: 12.4, Objective: 3100 * ms, Timeout: 20 * time.Second, Credit: 0.93, LateCredit: 0.14, Priority: 2, Stages: answer, RunTime: 150 * ms, Retries: 1},
		},
		Duration: 30 * time.Second, Seed: seed,
	}
}

// RegionalUnion returns 1.8 times the normal load of the Union, with enough targets
// for a home in each region.
func RegionalUnion(seed uint64) Load {
	l := Union(seed)
	for i := range l.Services {
		l.Services[i].Targets = nil
		for range 3 {
			l.Services[i].Targets = append(l.Services[i].Targets, "thies", "kaolack", "ziguinchor")
		}
	}
	for i := range l.Kinds {
		l.Kinds[i].PerSecond *= 1.8
	}
	l.HomePerDataCentre = true
	return l
}

// Torchio returns the normal load of the stages of the Torchio deployment, in three
// regions. Captions are few and have the shortest objective of those with a chain of
// three stages; blurbs have the same chain and most of the load.
func Torchio(seed uint64) Load {
	chain := func(first int) []Stage {
		return []Stage{
			{Service: "vetrina", ResultBytes: 8000, WorkFactor: 0.3},
			{Service: "spedizioni", After: []int{first}, MeanPieces: 6, ResultBytes: 60000},
			{Service: "catalogo", After: []int{first + 1}, MeanPieces: 10, Spread: 0.4, ResultBytes: 6000},
		}
	}
	caption := append([]Stage{{Service: "vetrina", MeanPieces: 1.5, Spread: 0.6, Share: 0.4, ResultBytes: 1_500_000}}, chain(1)...)
	targets := func(perRegion int) []string {
		var out []string
		for range perRegion {
			out = append(out, "sicilia", "lazio", "lombardia")
		}
		return out
	}
	return Load{
		Services: []Service{
			stageService("vetrina", 18, 9500*time.Microsecond, 40e6, targets(6)...),
			stageService("spedizioni", 58, 3*ms, 7.7e6, targets(5)...),
			stageService("catalogo", 80, 2100*time.Microsecond, 1.1e6, targets(6)...),
		},
		Kinds: []Kind{
			{
				Name: "proof", PerSecond: 109, Objective: 800 * ms, Timeout: 6 * time.Second, Credit: 5.3, LateCredit: 0.32, RunTime: 200 * ms, Retries: 1,
				Stages: []Stage{{Service: "vetrina", MeanPieces: 2.5, Spread: 0.6, Share: 0.7, ResultBytes: 1_500_000}},
			},
			{Name: "blurb", PerSecond: 217, Objective: 4 * time.Second, Timeout: 6 * time.Second, Credit: 0.78, LateCredit: 0.18, Priority: 2, Stages: chain(0), RunTime: 150 * ms, Retries: 1},
			{Name: "caption", PerSecond: 17, Objective: 1500 * ms, Timeout: 20 * time.Second, Credit: 2, LateCredit: 0.3, Priority: 1, Stages: caption, RunTime: 100 * ms, Retries: 1},
		},
		HomePerDataCentre: true, OnePriority: true,
		Duration: 14 * time.Second, Seed: seed,
	}
}
