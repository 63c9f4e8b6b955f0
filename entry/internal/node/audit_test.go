package node

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"chivepost/share/apiv1"
	"chivepost/share/events"
)

// audit checks the event record of a history for violations of invariants. It shares
// no code with the nodes that made the record.
type audit struct {
	events     []events.Event
	oncePools  map[string]bool // pools whose calls may not be repeated
	coldLimits map[string]int  // cold limit by target
	violations []string
}

// Bounds on the time until a change must have taken effect.
const (
	// coldBound covers the time until a response or the next load report shows that a
	// warm target has turned cold, and the expiry of leases that were not revoked.
	coldBound = 4 * time.Second
	// leaveBound and outBound are the documented bounds for leaving targets and for data
	// centres taken out.
	leaveBound = 4 * time.Second
	outBound   = 4 * time.Second
	// configBound is the documented bound for a configuration to be in force everywhere.
	configBound = 4 * time.Second
)

func (a *audit) report(format string, args ...any) {
	a.violations = append(a.violations, fmt.Sprintf(format, args...))
}

func (a *audit) check() []string {
	a.checkRunsOnce()
	a.checkOutcomes()
	a.checkColdLimits()
	a.checkLeaving()
	a.checkOutOfService()
	a.checkVersions()
	a.checkShutdowns()
	return a.violations
}

// onceSuffix ends the IDs of requests that allow each stage to run at most once.
const onceSuffix = "once"

// checkRunsOnce checks that a call that may not be repeated starts at most once for each
// request ID, and that no attempt starts twice.
func (a *audit) checkRunsOnce() {
	attemptOf, attempts := map[string]string{}, map[string]bool{}
	for _, e := range a.events {
		if e.Kind != events.Started {
			continue
		}
		if attempts[e.Attempt] {
			a.report("attempt %s started twice", e.Attempt)
		}
		attempts[e.Attempt] = true
		if !a.oncePools[e.Stage] && !strings.HasSuffix(e.Request, onceSuffix) {
			continue
		}
		key := e.Request + " in pool " + e.Stage
		if earlier := attemptOf[key]; earlier != "" {
			a.report("%s ran twice: %s, %s", key, earlier, e.Attempt)
		}
		attemptOf[key] = e.Attempt
	}
}

// checkOutcomes checks that each accepted run ends once, that a refused run started no
// call, and that a failed run started no call that may not be repeated.
func (a *audit) checkOutcomes() {
	started, startedOnce, ended := map[string]bool{}, map[string]bool{}, map[string]apiv1.Outcome{}
	for _, e := range a.events {
		run, _, _ := strings.Cut(e.Attempt, "/")
		switch e.Kind {
		case events.Started:
			started[run] = true
			startedOnce[run] = startedOnce[run] || a.oncePools[e.Stage] || strings.HasSuffix(e.Request, onceSuffix)
		case events.Ended:
			if ended[e.Run] != "" {
				a.report("run %s ended twice", e.Run)
			}
			ended[e.Run] = apiv1.Outcome(e.Outcome)
		}
	}
	for run, outcome := range ended {
		if outcome == apiv1.Refused && started[run] {
			a.report("run %s was refused as not run, but a call started", run)
		}
		if outcome == apiv1.Failed && startedOnce[run] {
			a.report("run %s failed as safe to repeat, but a call that may not be repeated started", run)
		}
	}
}

// checkShutdowns checks that a host that was not killed ends every run that it accepted,
// and that no host leaves gracefully while callers may still use its address.
func (a *audit) checkShutdowns() {
	open, last := map[string]string{}, map[string]events.Kind{}
	for _, e := range a.events {
		switch e.Kind {
		case events.Accepted:
			open[e.Run] = e.Host
		case events.Ended:
			delete(open, e.Run)
		case kindKilled:
			for run, host := range open {
				if host == e.Host {
					delete(open, run)
				}
			}
			last[e.Host] = kindKilled
		case kindLeft:
			last[e.Host] = kindLeft
		case events.Received:
			if e.Outcome != "no connection" || last[e.Host] == kindLeft {
				a.report("caller of %s: %s %s", e.Request, e.Outcome, e.Host)
			}
		default:
		}
	}
	for run, host := range open {
		a.report("run %s of host %s never ended", run, host)
	}
}

// checkColdLimits checks that a target that has been cold for longer than coldBound gets
// no call above its cold limit.
func (a *audit) checkColdLimits() {
	since := map[string]time.Duration{}
	for _, e := range a.events {
		switch {
		case e.Kind == events.StateChanged && e.Detail == "cold":
			since[e.Target] = e.At
		case e.Kind == events.StateChanged:
			delete(since, e.Target)
		case e.Kind == events.Started:
			at, cold := since[e.Target]
			if cold && e.At-at > coldBound && e.Load > a.coldLimits[e.Target] {
				a.report("%s cold for %s has %d calls in flight, limit %d (%s)", e.Target, e.At-at, e.Load, a.coldLimits[e.Target], e.Attempt)
			}
		}
	}
}

// checkLeaving checks that a target that has been leaving for longer than leaveBound
// gets no new call.
func (a *audit) checkLeaving() {
	since := map[string]time.Duration{}
	for _, e := range a.events {
		switch {
		case e.Kind == events.StateChanged && e.Detail == "leaving":
			since[e.Target] = e.At
		case e.Kind == events.StateChanged:
			delete(since, e.Target)
		case e.Kind == events.Started:
			if at, ok := since[e.Target]; ok && e.At-at > leaveBound {
				a.report("%s leaving for %s got call %s", e.Target, e.At-at, e.Attempt)
			}
		}
	}
}

// checkOutOfService checks that a data centre that has been taken out for longer than
// outBound gets no new call and accepts no new run.
func (a *audit) checkOutOfService() {
	since := map[string]time.Duration{}
	refused := map[string]bool{}
	for _, e := range a.events {
		if e.Kind == events.Ended && e.Outcome == string(apiv1.Refused) {
			refused[e.Run] = true
		}
	}
	for _, e := range a.events {
		at, out := since[e.DataCentre]
		late := out && e.At-at > outBound
		switch {
		case e.Kind == kindPublishing:
			for dc := range since {
				if !slices.Contains(strings.Fields(e.Detail), dc) {
					delete(since, dc)
				}
			}
		case e.Kind == events.Published:
			now := map[string]time.Duration{}
			for _, dc := range strings.Fields(e.Detail) {
				now[dc] = e.At
				if earlier, ok := since[dc]; ok {
					now[dc] = earlier
				}
			}
			since = now
		case e.Kind == events.Started && late:
			a.report("data centre %s out for %s got call %s", e.DataCentre, e.At-at, e.Attempt)
		case e.Kind == events.Accepted && late && !refused[e.Run]:
			a.report("host %s of data centre %s out for %s accepted run %s", e.Host, e.DataCentre, e.At-at, e.Run)
		}
	}
}

// checkVersions checks that the configuration version of a host never goes back, and
// that no run is accepted under a version that was replaced more than configBound ago.
func (a *audit) checkVersions() {
	last := map[string]int64{}
	type change struct {
		at      time.Duration
		version int64
	}
	var changes []change
	refused := map[string]bool{}
	for _, e := range a.events {
		if e.Kind == events.Ended && e.Outcome == string(apiv1.Refused) {
			refused[e.Run] = true
		}
	}
	for _, e := range a.events {
		switch e.Kind {
		case events.Published:
			changes = append(changes, change{e.At, e.Version})
		case events.Accepted:
			if e.Version < last[e.Host] {
				a.report("host %s went back from version %d to %d", e.Host, last[e.Host], e.Version)
			}
			last[e.Host] = e.Version
			for _, c := range changes {
				if e.At-c.at > configBound && e.Version < c.version && !refused[e.Run] {
					a.report("host %s accepted run %s under version %d, %s after version %d", e.Host, e.Run, e.Version, e.At-c.at, c.version)
				}
			}
		default:
		}
	}
}
