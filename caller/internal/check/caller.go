package check

import (
	"maps"
	"slices"

	"chivepost/share/apiv1"
	"chivepost/share/events"
)

// request sums up what callers recorded for one piece of work.
type request struct {
	pipeline    string
	sent        int
	ended       int
	lastOutcome apiv1.Outcome
	// mayHaveRun is set if an attempt ended without an outcome that shows whether it ran.
	mayHaveRun bool
}

// outcomeUnsent is the outcome of an attempt for which no connection was made.
const outcomeUnsent apiv1.Outcome = "unsent"

// Flaws of answers, in the detail of Received events.
const (
	flawWrong      = "wrong"
	flawIncomplete = "incomplete"
)

// checkCallerEvents adds the events of callers to the requests and checks the answers.
func (c *checker) checkCallerEvents(f EventFile) {
	for _, e := range f.Events {
		if e.Kind != events.Sent && e.Kind != events.Received {
			continue
		}
		r := c.requests[e.Request]
		if r == nil {
			r = &request{pipeline: e.Stage}
			c.requests[e.Request] = r
		}
		if e.Kind == events.Sent {
			r.sent++
			c.Attempts++
			continue
		}
		r.ended++
		r.lastOutcome = apiv1.Outcome(e.Outcome)
		switch r.lastOutcome {
		case apiv1.Answered, apiv1.Refused, apiv1.Failed, outcomeUnsent:
		default:
			r.mayHaveRun = true
		}
		switch e.Detail {
		case flawWrong:
			c.addViolation(&c.Violations.GivenToAnother, "%s: answer to %s belongs to another request", e.Host, e.Request)
		case flawIncomplete:
			c.addViolation(&c.Violations.Incomplete, "%s: answer to %s is incomplete", e.Host, e.Request)
		}
	}
}

// finalOutcome returns the outcome of all attempts together, or "" if there is none: a
// refusal by the last host doesn't show whether an earlier attempt ran that ended without
// an outcome.
func (r *request) finalOutcome() apiv1.Outcome {
	if r.lastOutcome != apiv1.Answered && r.mayHaveRun && r.lastOutcome != apiv1.Unknown {
		return ""
	}
	if r.lastOutcome == outcomeUnsent {
		return apiv1.Refused
	}
	return r.lastOutcome
}

// checkOutcomes counts the requests by outcome and compares the outcomes with the executions.
func (c *checker) checkOutcomes() {
	c.Sent = len(c.requests)
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		r := c.requests[id]
		if r.ended < r.sent {
			c.addViolation(&c.Violations.Lost, "caller: %s was sent %d times and ended %d times", id, r.sent, r.ended)
		}
		executions, atMostOnce := c.executions(r.pipeline, id)
		switch r.finalOutcome() {
		case apiv1.Answered:
			c.Answered++
			if atMostOnce && executions == 0 && c.opts.HasLedgers {
				c.addViolation(&c.Violations.Lost, "%s was answered, but its service never ran it", id)
			}
		case apiv1.Refused, apiv1.Failed:
			if r.finalOutcome() == apiv1.Refused {
				c.Refused++
			} else {
				c.Failed++
			}
			if executions > 0 {
				c.addViolation(&c.Violations.RefusedButRun, "%s was %s, but its service ran it", id, r.lastOutcome)
			}
		case apiv1.Unknown:
			c.Unknown++
		default:
			c.NoOutcome++
			if c.opts.Strict {
				c.addViolation(&c.Violations.NoOutcome, "%s has no outcome", id)
			}
		}
	}
}

// executions returns how often the pipeline's stages that may run at most once ran the work,
// and whether the pipeline has such stages.
func (c *checker) executions(pipeline, work string) (int, bool) {
	p, ok := c.opts.Bundle.Pipeline(pipeline)
	if !ok {
		return 0, false
	}
	n, atMostOnce := 0, false
	for _, s := range p.Stages() {
		if c.atMostOnce(s.Pool) {
			atMostOnce = true
			n += c.executed[workKey{s.Pool, work}]
		}
	}
	return n, atMostOnce
}
