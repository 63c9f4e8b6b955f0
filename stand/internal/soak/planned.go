package soak

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"chivepost/platform/feed"
)

// Faults selects what a run injects.
type Faults string

// Selections of faults.
const (
	FaultsMixed   Faults = "mixed"   // random faults, one after the other
	FaultsPlanned Faults = "planned" // nothing but planned work
	FaultsTainted Faults = "tainted" // prompts that crash targets, and restarts of single hosts
	FaultsAll     Faults = "all"     // all of these and those of announced at the same time
	// FaultsAnnounced are targets that leave or are busy by what they answer, or answer twice.
	FaultsAnnounced Faults = "announced"
	// FaultsResumed are streams that break off and targets that fail to go on with them.
	FaultsResumed Faults = "resumed"
	// FaultsRestored are restores of the store from copies, beside kills and operators' orders.
	FaultsRestored Faults = "restored"
	// FaultsCrowded are clients outside the limits that stay connected, beside planned work and
	// kills and pauses of hosts.
	FaultsCrowded Faults = "crowded"
)

const (
	// seriesInterval is the shortest time between the starts of two series of shutdowns, each of
	// which takes longer with the grace period; up to as much again is added.
	seriesInterval = 4 * time.Second
	// stepInterval is the shortest time between two steps of a series; up to as much again is added.
	stepInterval = 800 * time.Millisecond
	// workInterval is the mean time between two reloads or configuration changes.
	workInterval = 1500 * time.Millisecond
	// restartInterval is the shortest time between two restarts while targets crash; up to as
	// much again is added.
	restartInterval = 5 * time.Second
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
	stepKill     = "single kill"
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

// planRestarts draws restarts of single hosts, most of them shutdowns.
func planRestarts(r *rand.Rand, d time.Duration, hosts int) []step {
	var out []step
	for at := taintDelay + upTo(r, restartInterval); at < d; at += restartInterval + upTo(r, restartInterval) {
		name := stepShutdown
		if r.IntN(3) == 0 {
			name = stepKill
		}
		out = append(out, step{at, name, []int{r.IntN(hosts)}})
	}
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
			case stepKill:
				r.kill(h)
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

// injectTaint lets callers send tainted requests from taintDelay on until the duration has passed.
func (r *runner) injectTaint(ctx context.Context) {
	if sleep(ctx, taintDelay) != nil {
		return
	}
	r.print("tainted prompts begin: part %s at position %d, share %.3f", r.taint.part, r.taint.position, r.taint.share)
	r.trace.setTainted(true)
	r.isTainting.Store(true)
	_ = sleep(ctx, r.opts.Duration-taintDelay) // they end in any case
	r.isTainting.Store(false)
	r.trace.setTainted(false)
}

// crash crashes a target, which starts again after some time.
func (r *runner) crash(t *fakeTarget) {
	r.mu.Lock()
	isRunning := r.targets[t.id] == t
	delete(r.targets, t.id)
	away := taintAwayTime + upTo(r.taintRand, taintAwayTime)
	r.mu.Unlock()
	if !isRunning {
		return // it has crashed or leaves already
	}
	r.trace.recordCrash()
	r.print("%s crashes for %s", t.id, away.Round(time.Millisecond))
	go func() {
		t.stop(true)
		time.Sleep(away)
		r.store.put(feed.TopicTargets, t.id, nil)
		r.startReplacement(t)
	}()
}
