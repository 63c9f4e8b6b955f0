package server

import (
	"context"
	"fmt"
	"time"

	"chivepost/share/events"
	"chivepost/share/target"
	"chivepost/share/units"
)

// boot restarts the target, cold or warm, and ends all calls of the previous boot. The
// caller holds the lock.
func (t *Target) boot(cold bool) {
	if t.endBoot != nil {
		t.endBoot()
	}
	t.boots++
	t.fallen = false
	t.bootCtx, t.endBoot = context.WithCancel(context.Background())
	if t.boots > 1 {
		t.cache.Clear()
	}
	t.setCold(cold)
}

// bootID returns the ID of this boot, which is also unique between processes. The caller
// holds the lock.
func (t *Target) bootID() string { return fmt.Sprintf("%x-%d", t.started, t.boots) }

// setCold turns the target cold, for the duration of a cold start, or warm. The boot stays
// the same. The caller holds the lock.
func (t *Target) setCold(cold bool) {
	if t.cancelWarmUp != nil {
		t.cancelWarmUp()
	}
	t.cold = cold
	t.coldCalls = 0
	t.recordState()
	if !cold || t.closed {
		t.cancelWarmUp = func() {}
		return
	}
	ctx, cancel := context.WithCancel(t.bootCtx)
	t.cancelWarmUp = cancel
	t.background.Go(func() {
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

// fallOver makes the target fail all calls for FallTime and then restart cold. The caller
// holds the lock.
func (t *Target) fallOver() {
	t.fallen = true
	t.endBoot()
	bootCtx, endBoot := context.WithCancel(context.Background())
	t.bootCtx, t.endBoot = bootCtx, endBoot
	t.recordState()
	if t.closed {
		return
	}
	t.background.Go(func() {
		if sleep(bootCtx, t.opts.Spec.Pace.FallTime.Std()) != nil {
			return
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		if bootCtx.Err() == nil {
			t.boot(true)
		}
	})
}

// state returns the state that the target reports. The caller holds the lock.
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

// recordState records the state as an event and for load reports. The caller holds the lock.
func (t *Target) recordState() {
	detail := string(t.state())
	if t.leaving && t.cold {
		detail = "leaving_cold"
	}
	if t.fallen {
		detail = "fallen"
	}
	t.opts.Events.Add(events.Event{
		Kind: events.StateChanged, Target: t.opts.Spec.Name, DataCentre: t.opts.DataCentre,
		Load: t.inFlight, Detail: detail,
	})
	t.recordLoad()
}

// loadReport is the load at a time, stored for load reports with a lag.
type loadReport struct {
	at   time.Time
	load target.LoadReport
}

// recordLoad stores the current load for later reports. The caller holds the lock.
func (t *Target) recordLoad() {
	running, queued := t.gate.Load()
	now := time.Now()
	t.reports = append(t.reports, loadReport{at: now, load: target.LoadReport{
		State: t.state(), Boot: t.bootID(), Running: running, Queued: queued,
		Limit: t.opts.Spec.Limit, ColdLimit: t.opts.Spec.ColdLimit,
	}})
	t.pruneReports(now)
}

// pruneReports drops the reports before the newest one that is at least as old as the lag.
// The caller holds the lock.
func (t *Target) pruneReports(now time.Time) {
	limit := now.Add(-t.opts.Spec.Pace.ReportLag.Std())
	n := 0
	for n+1 < len(t.reports) && !t.reports[n+1].at.After(limit) {
		n++
	}
	t.reports = t.reports[n:]
}

// load returns the newest report that is at least as old as the lag, or else the oldest.
func (t *Target) load() target.LoadReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.pruneReports(now)
	load := t.reports[0].load
	load.Age = units.Duration(min(t.opts.Spec.Pace.ReportLag.Std(), now.Sub(t.reports[0].at)).Round(time.Millisecond))
	return load
}
