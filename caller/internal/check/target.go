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

// state is what a target has said of itself so far.
type state struct {
	name                    string
	cold, leaving           bool
	coldSince, leavingSince time.Duration
	// noticed is false if the target was warm just before it turned cold.
	noticed bool
}

// Details of State events besides the states of package target.
const (
	stateFallen      = "fallen"
	stateLeavingCold = "leaving_cold"
)

// targets takes in the events of targets. One attempt may be started once only,
// at whichever target.
func (c *checker) targets(records []EventFile) {
	type attempt struct{ run, stage, attempt string }
	started := map[attempt]int{}
	for _, r := range records {
		states := map[string]state{}
		for _, e := range r.Events {
			switch e.Kind {
			case events.State:
				states[e.Target] = states[e.Target].next(e)
			case events.Started:
				c.Started++
				a := attempt{e.Run, e.Stage, e.Attempt}
				if started[a]++; started[a] == 2 && a.stage != "" {
					c.found(&c.Violations.ExecutedTwice, "%s: attempt %s/%s/%s was started twice", e.Target, a.run, a.stage, a.attempt)
				}
				c.start(e, states[e.Target])
			case events.Finished:
				t, ok := c.opts.Bundle.Target(e.Target)
				if ok && c.runsOnce(t.Pool) && e.Outcome == string(apiv1.Answered) && e.Request != "" {
					c.executed[workKey{t.Pool, e.Request}]++
				}
			}
		}
	}
}

// next returns the state after the event. The time of a state runs on if another
// one joins it: a leaving target that turns cold is still leaving.
func (s state) next(e events.Event) state {
	after := s
	after.name = e.Detail
	after.cold = e.Detail == string(target.StateCold) || e.Detail == stateLeavingCold
	if e.Detail != stateFallen {
		after.leaving = e.Detail == string(target.StateLeaving) || e.Detail == stateLeavingCold
	}
	if after.cold && !s.cold {
		after.coldSince = e.At
		after.noticed = s.name == "" || s.name == stateFallen
	}
	if after.leaving && !s.leaving {
		after.leavingSince = e.At
	}
	return after
}

// start checks one start of a call against the state of its target.
func (c *checker) start(e events.Event, s state) {
	if age := e.At - s.leavingSince; s.leaving && age > c.opts.LeavingBound {
		c.found(&c.Violations.OnLeaving, "%s: got a call %s after it had begun to leave", e.Target, age)
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
	if !s.noticed && age <= c.opts.ColdNotice {
		c.ColdUnnoticed++
		return
	}
	c.found(&c.Violations.AboveColdLimit, "%s: %d calls at once %s after it had turned cold, cold limit %d",
		e.Target, e.Load, age, pool.ColdLimit)
}

// ledgers compares the ledgers with the events. Both count the same work, so the
// larger number holds: a target that was killed lost its ledger, and its events may
// lack the last line.
func (c *checker) ledgers() {
	sums := map[workKey]int{}
	for _, e := range c.opts.Ledgers {
		if c.runsOnce(e.Pool) {
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
			c.found(&c.Violations.ExecutedTwice, "%s: %s was executed %d times", k.pool, k.work, n)
		}
	}
}
