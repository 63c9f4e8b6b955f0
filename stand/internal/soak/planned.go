package soak

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"
)

// Faults selects what a run injects.
type Faults string

// Selections of faults.
const (
	FaultsMixed   Faults = "mixed"   // random faults, one after the other
	FaultsPlanned Faults = "planned" // nothing but planned work
	FaultsAll     Faults = "all"     // all of these at the same time
)

const (
	// seriesInterval is the shortest time between the starts of two series of shutdowns, each of
	// which takes longer with the grace period; up to as much again is added.
	seriesInterval = 4 * time.Second
	// stepInterval is the shortest time between two steps of a series; up to as much again is added.
	stepInterval = 800 * time.Millisecond
	// workInterval is the mean time between two reloads or configuration changes.
	workInterval = 1500 * time.Millisecond
)

// step is a piece of planned work.
type step struct {
	at    time.Duration
	name  string
	hosts []int // that it applies to
}

// Names of steps.
const (
	stepShutdown = "shutdown"
	stepReload   = "reload"
	stepPublish  = "new configuration"
)

// planWork draws series of shutdowns, reloads and configuration changes. A series shuts all hosts
// down, a few at once, and overlaps with the next.
func planWork(r *rand.Rand, d time.Duration, hosts int) []step {
	var out []step
	for start := upTo(r, seriesInterval); start < d; start += seriesInterval + upTo(r, seriesInterval) {
		order, size := r.Perm(hosts), 1+r.IntN(max(1, (2*hosts+2)/3))
		pause := stepInterval + upTo(r, stepInterval)
		for at := start; len(order) > 0 && at < d; at += pause {
			n := min(size, len(order))
			out = append(out, step{at, stepShutdown, order[:n]})
			order = order[n:]
		}
	}
	for at := upTo(r, 2*workInterval); at < d; at += upTo(r, 2*workInterval) {
		if r.IntN(2) == 0 {
			out = append(out, step{at, stepPublish, nil})
			continue
		}
		out = append(out, step{at, stepReload, r.Perm(hosts)[:1+r.IntN(hosts)]})
	}
	slices.SortStableFunc(out, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	return out
}

// upTo draws a duration below d.
func upTo(r *rand.Rand, d time.Duration) time.Duration { return time.Duration(r.Int64N(int64(d))) }

// perform carries out the steps at their times, waits until the duration has passed and returns
// the number of steps by name.
func (r *runner) perform(ctx context.Context, steps []step) map[string]int {
	counts := map[string]int{}
	start := time.Now()
	for _, s := range steps {
		if sleep(ctx, time.Until(start.Add(s.at))) != nil {
			return counts
		}
		r.print("%s %v", s.name, s.hosts)
		counts[s.name] += max(1, len(s.hosts))
		for _, n := range s.hosts {
			switch h := r.hosts[n]; s.name {
			case stepShutdown:
				h.terminate()
			case stepReload:
				h.signal(syscall.SIGHUP)
			}
		}
		if s.name == stepPublish {
			r.publish()
		}
	}
	_ = sleep(ctx, time.Until(start.Add(r.opts.Duration))) // the run ends at the same place
	return counts
}

// sleep waits for the duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
