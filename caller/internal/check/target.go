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

// state is the last that a target said of itself.
type state struct {
	name  string
	since time.Duration
	// noticed is false for a target that was warm just before it turned cold.
	noticed bool
}

// targets takes in the events of targets. One attempt may be started once only,
// at whichever target.
func (c *checker) targets(records []Record) {
	type attempt struct{ run, stage, attempt string }
	started := map[attempt]int{}
	for _, r := range records {
		states := map[string]state{}
		for _, e := range r.Events {
			switch e.Kind {
			case events.State:
				states[e.Target] = next(states[e.Target], e)
			case events.Started:
				c.Started++
				a := attempt{e.Run, e.Stage, e.Attempt}
				if started[a]++; started[a] == 2 && a.stage != "" {
					c.found(&c.Forbidden.ExecutedTwice, "%s: attempt %s/%s/%s was started twice", e.Target, a.run, a.stage, a.attempt)
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

// next returns the state after the event.
func next(before state, e events.Event) state {
	s := state{name: e.Detail, since: e.At, noticed: before.name != string(target.StateWarm)}
	// A cold start that goes on in another form has begun with the first sign of it.
	if isCold(before.name) && isCold(s.name) {
		s.since, s.noticed = before.since, before.noticed
	}
	return s
}

func isCold(name string) bool { return strings.HasSuffix(name, string(target.StateCold)) }

func isLeaving(name string) bool { return strings.HasPrefix(name, string(target.StateLeaving)) }

// start checks one start of a call against the state of its target.
func (c *checker) start(e events.Event, s state) {
	age := e.At - s.since
	if isLeaving(s.name) && age > c.opts.LeavingBound {
		c.found(&c.Forbidden.OnLeaving, "%s: got a call %s after it had begun to leave", e.Target, age)
	}
	t, ok := c.opts.Bundle.Target(e.Target)
	if !ok || !isCold(s.name) {
		return
	}
	pool, _ := c.opts.Bundle.Pool(t.Pool)
	if e.Load <= pool.ColdLimit {
		return
	}
	if !s.noticed && age <= c.opts.ColdNotice {
		c.ColdUnnoticed++
		return
	}
	c.found(&c.Forbidden.AboveColdLimit, "%s: %d calls at once %s after it had turned cold, cold limit %d",
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
			c.found(&c.Forbidden.ExecutedTwice, "%s: %s was executed %d times", k.pool, k.work, n)
		}
	}
}
