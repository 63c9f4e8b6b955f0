package edge

import (
	"context"
	"time"

	"chivepost/entry/internal/canary"
	"chivepost/entry/internal/pick"
	"chivepost/entry/internal/table"
)

// disconnectedReason is the reason of a response that the caller didn't take.
const disconnectedReason = "caller disconnected"

// choose chooses a target among those that a roll-out lets the request use.
func (c *call) choose(view *table.View, query pick.Query, now time.Time) (*pick.Chosen, *canary.Use, pick.Refusal) {
	gate := c.h.opts.Rollouts
	selection := gate.Select(view, c.service.Name, c.route.Name, c.triedNew || c.sends > 0, now)
	var refusal pick.Refusal
	for _, targets := range [][]*table.Target{selection.Targets, selection.Others} {
		if targets == nil && refusal.Reason != "" {
			break
		}
		query.Targets = targets
		var chosen *pick.Chosen
		if chosen, refusal = c.h.balancer.Choose(query, now); chosen == nil {
			continue
		}
		if use, ok := gate.Begin(view, chosen.Target, c.route.Name, c.sends == 0, now); ok {
			return chosen, use, pick.Refusal{}
		}
		chosen.Done(pick.Cancelled)
		refusal = pick.Refusal{Reason: "the roll-out lets no target take the request"}
	}
	return nil, nil, refusal
}

// attemptFor sends the request to one target and reports the outcome to the roll-out.
func (c *call) attemptFor(ctx context.Context, t *pick.Chosen, use *canary.Use) (res result) {
	began, events := time.Now(), c.events
	c.brokeOff, c.wasSilent = false, false
	res.verdict = verdictMayHaveRun // unless it returns, the response was broken off
	defer func() {
		now := time.Now()
		o := c.outcome(res, began, events, now)
		o.IsCold = t.IsCold(began)
		c.triedNew = c.triedNew || use.IsTrial() && o.Kind != canary.NotSent
		use.Done(o, now)
	}()
	return c.attempt(ctx, t, use)
}

// outcome returns what the result of an attempt shows of the target's version. events is the
// number of events before it.
func (c *call) outcome(res result, began time.Time, events int, now time.Time) canary.Outcome {
	switch {
	case res.verdict == verdictNotSent:
		return canary.Outcome{Kind: canary.NotSent}
	case res.verdict == verdictNotRun || res.verdict == verdictResultsGone || res.isStale || c.isCallerGone() || c.isAborted() || c.reason == disconnectedReason:
		return canary.Outcome{Kind: canary.Neutral}
	case res.verdict == verdictMayHaveRun && c.brokeOff && !c.wasSilent:
		return canary.Outcome{Kind: canary.Broken}
	case res.verdict == verdictMayHaveRun:
		return canary.Outcome{Kind: canary.Failed}
	}
	o := canary.Outcome{Kind: canary.Answered}
	if !c.answerBegan.IsZero() {
		o.FirstByte = c.answerBegan.Sub(began)
		if n := c.events - events; n > 1 {
			o.Gap = now.Sub(c.answerBegan) / time.Duration(n-1)
		}
	}
	return o
}
