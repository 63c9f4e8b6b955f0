package server

import (
	"context"
	"fmt"
	"time"

	"chivepost/share/events"
	"chivepost/share/target"
	"chivepost/share/units"
)

// boot starts the target anew, cold or warm, and ends all calls of the boot before.
// The caller holds the lock.
func (t *Target) boot(cold bool) {
	if t.end != nil {
		t.end()
	}
	t.boots++
	t.fallen = false
	t.life, t.end = context.WithCancel(context.Background())
	if t.boots > 1 {
		t.cache.Clear()
	}
	t.setCold(cold)
}

// bootID returns the id of this boot, which differs between processes too. The
// caller holds the lock.
func (t *Target) bootID() string { return fmt.Sprintf("%x-%d", t.started, t.boots) }

// setCold turns the target cold, for the time of a cold start, or warm. The boot
// stays the same. The caller holds the lock.
func (t *Target) setCold(cold bool) {
	if t.warmUp != nil {
		t.warmUp()
	}
	t.cold = cold
	t.coldCalls = 0
	t.note()
	if !cold || t.closed {
		t.warmUp = func() {}
		return
	}
	ctx, cancel := context.WithCancel(t.life)
	t.warmUp = cancel
	t.backgrounds.Go(func() {
		if t.opts.LoadWeights != nil {
			t.opts.LoadWeights(ctx)
		}
		if sleep(ctx, t.opts.Spec.Pace.ColdTime.Std()) != nil {
			return
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		if ctx.Err() == nil {
			t.setCold(false)
		}
	})
}

// fall makes the target fail everything for a while and then start anew, cold. The
// caller holds the lock.
func (t *Target) fall() {
	t.fallen = true
	t.end()
	life, end := context.WithCancel(context.Background())
	t.life, t.end = life, end
	t.note()
	if t.closed {
		return
	}
	t.backgrounds.Go(func() {
		if sleep(life, t.opts.Spec.Pace.FallTime.Std()) != nil {
			return
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		if life.Err() == nil {
			t.boot(true)
		}
	})
}

// state returns what the target says of itself. The caller holds the lock.
func (t *Target) state() target.State {
	switch {
	case t.leaving:
		return target.StateLeaving
	case t.cold:
		return target.StateCold
	default:
		return target.StateWarm
	}
}

// note records the state as an event and for load reports. The caller holds the lock.
func (t *Target) note() {
	detail := string(t.state())
	if t.leaving && t.cold {
		detail = "leaving_cold"
	}
	if t.fallen {
		detail = "fallen"
	}
	t.opts.Events.Add(events.Event{
		Kind: events.State, Target: t.opts.Spec.Name, DataCentre: t.opts.DataCentre,
		Load: t.inFlight, Detail: detail,
	})
	t.report()
}

// report is what the target was at a moment, for load reports with a lag.
type report struct {
	at   time.Time
	load target.Load
}

// report keeps the present load for later readers. The caller holds the lock.
func (t *Target) report() {
	running, queued := t.gate.Load()
	now := time.Now()
	t.reports = append(t.reports, report{at: now, load: target.Load{
		State: t.state(), Boot: t.bootID(), Running: running, Queued: queued,
		Limit: t.opts.Spec.Limit, ColdLimit: t.opts.Spec.ColdLimit,
	}})
	t.pruneReports(now)
}

// pruneReports drops all reports older than the newest that is old enough to be
// seen. The caller holds the lock.
func (t *Target) pruneReports(now time.Time) {
	limit := now.Add(-t.opts.Spec.Pace.ReportLag.Std())
	n := 0
	for n+1 < len(t.reports) && !t.reports[n+1].at.After(limit) {
		n++
	}
	t.reports = t.reports[n:]
}

// load returns the newest report that is older than the lag, or the first of all.
func (t *Target) load() target.Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.pruneReports(now)
	load := t.reports[0].load
	load.AsOf = units.Duration(min(t.opts.Spec.Pace.ReportLag.Std(), now.Sub(t.reports[0].at)).Round(time.Millisecond))
	return load
}
