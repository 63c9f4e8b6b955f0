package node

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"chivepost/share/apiv1"
	"chivepost/share/events"
)

// audit reads the event record of a history and reports what must not happen. It
// uses nothing of the code that made the record.
type audit struct {
	lines  []events.Event
	once   map[string]bool // pools whose calls may not be repeated
	cold   map[string]int  // cold limit by target
	faults []string
}

// Bounds on how long a fact may stay unnoticed.
const (
	// noticeBound: a call's answer or the next load report shows that a warm target
	// has turned cold, then leases that were not revoked must run out.
	noticeBound = 4 * time.Second
	// leaveBound and outBound are the stated bounds for leaving targets and for data
	// centres taken out.
	leaveBound = 4 * time.Second
	outBound   = 4 * time.Second
	// configBound is the stated bound for a configuration to be in force everywhere.
	configBound = 4 * time.Second
)

func (a *audit) fault(format string, args ...any) {
	a.faults = append(a.faults, fmt.Sprintf(format, args...))
}

func (a *audit) run() []string {
	a.runsOnce()
	a.outcomes()
	a.coldLimits()
	a.leaving()
	a.outOfService()
	a.versions()
	a.shutdowns()
	return a.faults
}

// onceMark ends the ids of requests that ask for one run of each stage.
const onceMark = "once"

// runsOnce: a call that may not be repeated is begun at most once for each id,
// and no attempt is begun twice.
func (a *audit) runsOnce() {
	work, attempts := map[string]string{}, map[string]bool{}
	for _, e := range a.lines {
		if e.Kind != events.Started {
			continue
		}
		if attempts[e.Attempt] {
			a.fault("attempt %s begun twice", e.Attempt)
		}
		attempts[e.Attempt] = true
		if !a.once[e.Stage] && !strings.HasSuffix(e.Request, onceMark) {
			continue
		}
		key := e.Request + " in pool " + e.Stage
		if earlier := work[key]; earlier != "" {
			a.fault("%s ran twice: %s, %s", key, earlier, e.Attempt)
		}
		work[key] = e.Attempt
	}
}

// outcomes: each accepted run ends once, a refused run has begun no call, a failed
// one has begun no call that may not be repeated.
func (a *audit) outcomes() {
	begun, begunOnce, ended := map[string]bool{}, map[string]bool{}, map[string]apiv1.Outcome{}
	for _, e := range a.lines {
		run, _, _ := strings.Cut(e.Attempt, "/")
		switch e.Kind {
		case events.Started:
			begun[run] = true
			begunOnce[run] = begunOnce[run] || a.once[e.Stage] || strings.HasSuffix(e.Request, onceMark)
		case events.Ended:
			if ended[e.Run] != "" {
				a.fault("run %s ended twice", e.Run)
			}
			ended[e.Run] = apiv1.Outcome(e.Outcome)
		}
	}
	for run, outcome := range ended {
		if outcome == apiv1.Refused && begun[run] {
			a.fault("run %s was refused as not run, but a call was begun", run)
		}
		if outcome == apiv1.Failed && begunOnce[run] {
			a.fault("run %s failed as safe to repeat, but a call that may not be repeated was begun", run)
		}
	}
}

// shutdowns: a host that was not killed ends every run that it has taken, and a host
// that left gracefully is there for everyone who holds its address.
func (a *audit) shutdowns() {
	open, last := map[string]string{}, map[string]events.Kind{}
	for _, e := range a.lines {
		switch e.Kind {
		case events.Accepted:
			open[e.Run] = e.Host
		case events.Ended:
			delete(open, e.Run)
		case killed:
			for run, host := range open {
				if host == e.Host {
					delete(open, run)
				}
			}
			last[e.Host] = killed
		case left:
			last[e.Host] = left
		case events.Got:
			if e.Outcome != "no connection" || last[e.Host] == left {
				a.fault("caller of %s: %s %s", e.Request, e.Outcome, e.Host)
			}
		default:
		}
	}
	for run, host := range open {
		a.fault("run %s of host %s never ended", run, host)
	}
}

// coldLimits: a target that has been cold for longer than noticeBound gets no call
// above its cold limit.
func (a *audit) coldLimits() {
	since := map[string]time.Duration{}
	for _, e := range a.lines {
		switch {
		case e.Kind == events.State && e.Detail == "cold":
			since[e.Target] = e.At
		case e.Kind == events.State:
			delete(since, e.Target)
		case e.Kind == events.Started:
			at, cold := since[e.Target]
			if cold && e.At-at > noticeBound && e.Load > a.cold[e.Target] {
				a.fault("%s cold for %s has %d calls in flight, limit %d (%s)", e.Target, e.At-at, e.Load, a.cold[e.Target], e.Attempt)
			}
		}
	}
}

// leaving: a target that has been leaving for longer than leaveBound gets no new call.
func (a *audit) leaving() {
	since := map[string]time.Duration{}
	for _, e := range a.lines {
		switch {
		case e.Kind == events.State && e.Detail == "leaving":
			since[e.Target] = e.At
		case e.Kind == events.State:
			delete(since, e.Target)
		case e.Kind == events.Started:
			if at, ok := since[e.Target]; ok && e.At-at > leaveBound {
				a.fault("%s leaving for %s got call %s", e.Target, e.At-at, e.Attempt)
			}
		}
	}
}

// outOfService: a data centre that has been out for longer than outBound gets no
// new call and no new run.
func (a *audit) outOfService() {
	since := map[string]time.Duration{}
	refused := map[string]bool{}
	for _, e := range a.lines {
		if e.Kind == events.Ended && e.Outcome == string(apiv1.Refused) {
			refused[e.Run] = true
		}
	}
	for _, e := range a.lines {
		at, out := since[e.DataCentre]
		late := out && e.At-at > outBound
		switch {
		case e.Kind == publishing:
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
			a.fault("data centre %s out for %s got call %s", e.DataCentre, e.At-at, e.Attempt)
		case e.Kind == events.Accepted && late && !refused[e.Run]:
			a.fault("host %s of data centre %s out for %s took run %s", e.Host, e.DataCentre, e.At-at, e.Run)
		}
	}
}

// versions: a host's version never falls, and no run is taken under a version that
// was replaced more than configBound ago.
func (a *audit) versions() {
	last := map[string]int64{}
	type change struct {
		at      time.Duration
		version int64
	}
	var changes []change
	refused := map[string]bool{}
	for _, e := range a.lines {
		if e.Kind == events.Ended && e.Outcome == string(apiv1.Refused) {
			refused[e.Run] = true
		}
	}
	for _, e := range a.lines {
		switch e.Kind {
		case events.Published:
			changes = append(changes, change{e.At, e.Version})
		case events.Accepted:
			if e.Version < last[e.Host] {
				a.fault("host %s fell from version %d to %d", e.Host, last[e.Host], e.Version)
			}
			last[e.Host] = e.Version
			for _, c := range changes {
				if e.At-c.at > configBound && e.Version < c.version && !refused[e.Run] {
					a.fault("host %s took run %s under version %d, %s after version %d", e.Host, e.Run, e.Version, e.At-c.at, c.version)
				}
			}
		default:
		}
	}
}
