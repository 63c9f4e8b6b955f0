package check

import (
	"maps"
	"slices"
	"strings"
	"time"

	"chivepost/share/apiv1"
	"chivepost/share/events"
	"chivepost/share/target"
)

// targetState is a target's state as its events report it.
type targetState struct {
	name                    string
	cold, leaving           bool
	coldSince, leavingSince time.Duration
	// coldExpected is set if the target was new or down before it turned cold, so that entry hosts
	// assume a cold target. After a warm one they learn of the cold start only later.
	coldExpected bool
}

// Details of StateChanged events in addition to the states of package target.
const (
	stateFallen      = "fallen"
	stateLeavingCold = "leaving_cold"
)

// checkTargetEvents checks the events of targets. An attempt may be started only once,
// whatever the target.
func (c *checker) checkTargetEvents(files []EventFile) {
	type attempt struct{ run, stage, attempt string }
	started := map[attempt]int{}
	for _, f := range files {
		states := map[string]targetState{}
		for _, e := range f.Events {
			switch e.Kind {
			case events.StateChanged:
				states[e.Target] = states[e.Target].next(e)
			case events.Started:
				c.Started++
				a := attempt{e.Run, e.Stage, e.Attempt}
				if started[a]++; started[a] == 2 && a.stage != "" {
					c.addViolation(&c.Violations.ExecutedTwice, "%s: attempt %s/%s/%s was started twice", e.Target, a.run, a.stage, a.attempt)
				}
				c.checkStart(e, states[e.Target])
			case events.Finished:
				t, ok := c.opts.Bundle.Target(e.Target)
				if ok && c.atMostOnce(t.Pool) && e.Outcome == string(apiv1.Answered) && e.Request != "" {
					c.executed[workKey{t.Pool, e.Request}]++
				}
			}
		}
	}
}

// next returns the state after the event. A state keeps its start time when another is
// added to it: a leaving target that turns cold is still leaving.
func (s targetState) next(e events.Event) targetState {
	after := s
	after.name = e.Detail
	after.cold = e.Detail == string(target.StateCold) || e.Detail == stateLeavingCold
	if e.Detail != stateFallen {
		after.leaving = e.Detail == string(target.StateLeaving) || e.Detail == stateLeavingCold
	}
	if after.cold && !s.cold {
		after.coldSince = e.At
		after.coldExpected = s.name == "" || s.name == stateFallen
	}
	if after.leaving && !s.leaving {
		after.leavingSince = e.At
	}
	return after
}

// checkStart checks a started call against the state of its target.
func (c *checker) checkStart(e events.Event, s targetState) {
	if age := e.At - s.leavingSince; s.leaving && age > c.opts.LeavingBound {
		c.addViolation(&c.Violations.OnLeaving, "%s: received a call %s after it began to leave", e.Target, age)
	}
	t, ok := c.opts.Bundle.Target(e.Target)
	if !ok || !s.cold {
		return
	}
	pool, _ := c.opts.Bundle.Pool(t.Pool)
	if e.Load <= pool.ColdLimit {
		return
	}
	age := e.At - s.coldSince
	if !s.coldExpected && age <= c.opts.ColdNotice {
		c.ColdUnnoticed++
		return
	}
	c.addViolation(&c.Violations.AboveColdLimit, "%s: %d concurrent calls %s after it turned cold, cold limit %d",
		e.Target, e.Load, age, pool.ColdLimit)
}

// checkLedgers merges the ledgers into the executions and checks the sums. Ledgers and
// events count the same work, so the larger number counts: a killed target lost its ledger,
// and its events may lack the last line.
func (c *checker) checkLedgers() {
	sums := map[workKey]int{}
	for _, e := range c.opts.Ledgers {
		if c.atMostOnce(e.Pool) {
			sums[workKey{e.Pool, e.ID}] += e.Count
		}
	}
	for k, n := range sums {
		c.executed[k] = max(c.executed[k], n)
	}
	keys := slices.SortedFunc(maps.Keys(c.executed), func(a, b workKey) int {
		return strings.Compare(a.pool+"\x00"+a.work, b.pool+"\x00"+b.work)
	})
	for _, k := range keys {
		if n := c.executed[k]; n > 1 {
			c.addViolation(&c.Violations.ExecutedTwice, "%s: %s was executed %d times", k.pool, k.work, n)
		}
	}
}
