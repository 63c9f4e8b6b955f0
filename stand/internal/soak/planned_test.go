package soak

import (
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
	"time"
)

func TestPlanWork(t *testing.T) {
	const hosts, duration = 7, 20 * time.Second
	for seed := range uint64(50) {
		plan := func() []step { return planWork(rand.New(rand.NewPCG(seed, 1)), duration, hosts) }
		steps := plan()
		if again := plan(); !reflect.DeepEqual(steps, again) {
			t.Fatalf("seed %d: got %v and %v", seed, steps, again)
		}
		var shutdowns []time.Duration // of host 0, one in each series that gets so far
		var last time.Duration
		for i, s := range steps {
			if i > 0 && s.at < steps[i-1].at {
				t.Errorf("seed %d: step %v comes after %v", seed, s, steps[i-1])
			}
			if s.name == stepShutdown {
				if s.at-last >= graceTime {
					t.Errorf("seed %d: series at %s and %s don't overlap", seed, last, s.at)
				}
				last = s.at
			}
			for _, h := range s.hosts {
				if s.name == stepShutdown && h == 0 {
					shutdowns = append(shutdowns, s.at)
				}
			}
		}
		if len(shutdowns) < 2 {
			t.Errorf("seed %d: host 0 is shut down at %v, want two times or more", seed, shutdowns)
		}
	}
}

func TestHostsWithinMemory(t *testing.T) {
	for text, want := range map[string]int{
		"MemTotal:       1048576 kB\n": 8, "MemTotal: 990000000 kB": maxProcesses, "MemTotal: 1 kB": 1, "": maxProcesses,
	} {
		if got := hostsWithin(strings.NewReader("MemFree: 3 kB\n" + text)); got != want {
			t.Errorf("hosts for %q: %d, want %d", text, got, want)
		}
	}
}
