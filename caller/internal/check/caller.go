package check

import (
	"maps"
	"slices"

	"chivepost/share/apiv1"
	"chivepost/share/events"
)

// request is what callers recorded of one piece of work.
type request struct {
	pipeline string
	sent     int
	got      int
	last     apiv1.Outcome
	// open is set if an attempt ended without the caller learning whether it ran.
	open bool
}

// outcomeUnsent is the outcome of an attempt for which no connection was made.
const outcomeUnsent apiv1.Outcome = "unsent"

// outcomes of answers with a flaw, in the detail of Got events.
const (
	flawWrong      = "wrong"
	flawIncomplete = "incomplete"
)

// callers takes in the events of callers.
func (c *checker) callers(r EventFile) {
	for _, e := range r.Events {
		if e.Kind != events.Sent && e.Kind != events.Got {
			continue
		}
		w := c.work[e.Request]
		if w == nil {
			w = &request{pipeline: e.Stage}
			c.work[e.Request] = w
		}
		if e.Kind == events.Sent {
			w.sent++
			c.Attempts++
			continue
		}
		w.got++
		w.last = apiv1.Outcome(e.Outcome)
		switch w.last {
		case apiv1.Answered, apiv1.Refused, apiv1.Failed, outcomeUnsent:
		default:
			w.open = true
		}
		switch e.Detail {
		case flawWrong:
			c.found(&c.Violations.GivenToAnother, "%s: answer to %s is not its own", e.Host, e.Request)
		case flawIncomplete:
			c.found(&c.Violations.Incomplete, "%s: answer to %s is not whole", e.Host, e.Request)
		}
	}
}

// final returns the outcome of all attempts together. A refusal by the last host
// says nothing about an earlier attempt whose end the caller did not learn.
func (w *request) final() apiv1.Outcome {
	if w.last != apiv1.Answered && w.open && w.last != apiv1.Unknown {
		return ""
	}
	if w.last == outcomeUnsent {
		return apiv1.Refused
	}
	return w.last
}

// outcomes sums up the requests and compares them with the work done.
func (c *checker) outcomes() {
	c.Sent = len(c.work)
	for _, id := range slices.Sorted(maps.Keys(c.work)) {
		w := c.work[id]
		if w.got < w.sent {
			c.found(&c.Violations.Lost, "caller: %s was sent %d times and ended %d times", id, w.sent, w.got)
		}
		done, once := c.done(w.pipeline, id)
		switch w.final() {
		case apiv1.Answered:
			c.Answered++
			if once && done == 0 && c.opts.HasLedgers {
				c.found(&c.Violations.Lost, "%s was answered, but its service did no work", id)
			}
		case apiv1.Refused, apiv1.Failed:
			if w.final() == apiv1.Refused {
				c.Refused++
			} else {
				c.Failed++
			}
			if done > 0 {
				c.found(&c.Violations.RefusedButRun, "%s was %s, but its service did the work", id, w.last)
			}
		case apiv1.Unknown:
			c.Unknown++
		default:
			c.NoOutcome++
			if c.opts.Strict {
				c.found(&c.Violations.NoOutcome, "%s has no outcome", id)
			}
		}
	}
}

// done returns how often the service that runs once did the work, and whether the
// pipeline has such a service.
func (c *checker) done(pipeline, work string) (int, bool) {
	p, ok := c.opts.Bundle.Pipeline(pipeline)
	if !ok {
		return 0, false
	}
	n, once := 0, false
	for _, s := range p.Stages() {
		if c.runsOnce(s.Pool) {
			once = true
			n += c.executed[workKey{s.Pool, work}]
		}
	}
	return n, once
}
