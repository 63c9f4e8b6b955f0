package maker

import (
	"errors"
	"slices"
	"time"

	"chivepost/entry/internal/batch"
	"chivepost/entry/internal/canary"
	"chivepost/entry/internal/dialer"
	"chivepost/entry/internal/table"
)

// heldPause is how long a target that gets no calls by its version is listed as busy. The
// home asks again before.
const heldPause = 150 * time.Millisecond

// rollouts asks a gate which versions of stage targets may get calls. The zero value lets all
// of them.
type rollouts struct {
	gate   *canary.Gate
	tables Tables
}

// UseRollouts makes the client send only what the gate allows.
func (c *Client) UseRollouts(gate *canary.Gate, tables Tables) { c.rollouts = rollouts{gate, tables} }

// UseRollouts makes the catalog list targets that may get no calls by their version as busy.
func (c *Catalog) UseRollouts(gate *canary.Gate) { c.rollouts = rollouts{gate, c.tables} }

func (r rollouts) view() *table.View {
	if r.gate == nil {
		return nil
	}
	return r.tables.View()
}

// begin records a call of a target, and returns false if that may not get it.
// It also returns how long the configuration expects a call with n pieces to take.
func (r rollouts) begin(target batch.Target, n int, now time.Time) (*canary.Use, time.Duration, bool) {
	if r.gate == nil {
		return &canary.Use{}, 0, true
	}
	v := r.tables.View()
	for _, list := range v.Targets {
		for _, t := range list {
			if t.ID == target.ID && t.StartMillis == target.StartMillis {
				var expected time.Duration
				if s := v.Config.Services[t.Service].Stage; s != nil {
					expected = s.CallOverhead + time.Duration(n)*s.ItemTime
				}
				use, ok := r.gate.Begin(v, t, t.Service, true, now)
				return use, expected, ok
			}
		}
	}
	return &canary.Use{}, 0, true // not known any more, so nothing tells its version
}

// selected returns a function that reports whether a target of a service may get a call now.
func (r rollouts) selected(v *table.View, service string, now time.Time) func(*table.Target) bool {
	if r.gate == nil {
		return func(*table.Target) bool { return true }
	}
	s := r.gate.Select(v, service, service, false, now)
	return func(t *table.Target) bool { return slices.Contains(s.Targets, t) || slices.Contains(s.Others, t) }
}

// settled returns the targets of a service whose version isn't on trial. Hosts spend their grants
// for such a version by themselves.
func (r rollouts) settled(v *table.View, service string, now time.Time) []*table.Target {
	return r.gate.Select(v, service, service, true, now).Targets
}

// outcomeOf returns what a call shows of the target's version. Calls have different numbers
// of pieces, so they are compared by their time in percent of the expected one, as
// milliseconds.
func outcomeOf(out []batch.Outcome, failure batch.Failure, err error, took, expected time.Duration) canary.Outcome {
	var send *dialer.SendError
	switch {
	case failure == batch.FailureUnreachable, errors.As(err, &send) && !send.Sent:
		return canary.Outcome{Kind: canary.NotSent}
	case failure == batch.FailureRefused:
		return canary.Outcome{Kind: canary.Neutral}
	case failure == batch.FailureBroken && errors.As(err, &send):
		if send.Stale {
			return canary.Outcome{Kind: canary.Neutral}
		}
		return canary.Outcome{Kind: canary.Broken}
	case failure != batch.FailureNone:
		return canary.Outcome{Kind: canary.Failed}
	}
	if slices.ContainsFunc(out, func(o batch.Outcome) bool { return o.Fault == batch.FaultError }) {
		return canary.Outcome{Kind: canary.Failed}
	}
	o := canary.Outcome{Kind: canary.Answered}
	if expected > 0 {
		o.FirstByte = time.Duration(100 * float64(took) / float64(expected) * float64(time.Millisecond))
	}
	return o
}
