package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"chivepost/entry/internal/batch"
	"chivepost/entry/internal/canary"
	"chivepost/entry/internal/dialer"
	"chivepost/entry/internal/notice"
	"chivepost/entry/internal/pick"
	"chivepost/entry/internal/table"
	"chivepost/platform/wire"
	"chivepost/share/fleet"
)

// errResultsGone reports that a stage result was no longer available and that the
// target ran nothing.
var errResultsGone = errors.New("stage results are no longer available")

// prefixID identifies the longest part of the prompt that other requests share.
// Requests with the same ID prefer the same target; "" means no preference.
func (c *call) prefixID() string {
	if !c.route.Sticky || len(c.req.Prefix) == 0 {
		return ""
	}
	return c.req.Prefix[max(len(c.req.Prefix)-2, 0)].ID
}

// sharedParts returns the IDs of the parts of the prompt that other requests share.
func (c *call) sharedParts() []string {
	out := make([]string, 0, len(c.req.Prefix))
	for _, p := range c.req.Prefix[:max(len(c.req.Prefix)-1, 0)] {
		out = append(out, p.ID)
	}
	return out
}

// sharedPrefixTokens returns the number of prompt tokens that other requests share.
func (c *call) sharedPrefixTokens() int {
	if !c.route.Sticky {
		return 0
	}
	n := 0
	for _, p := range c.req.Prefix[:max(len(c.req.Prefix)-1, 0)] {
		n += p.Tokens
	}
	return n
}

// sessionTokens returns the tokens of the part of the prompt that only its session shares.
func (c *call) sessionTokens() int {
	if !c.route.Sticky || len(c.req.Prefix) < 2 {
		return 0
	}
	return c.req.Prefix[len(c.req.Prefix)-2].Tokens
}

// ownTokens returns the tokens of the part of the prompt that is the request's own.
func (c *call) ownTokens() int {
	if !c.route.Sticky || len(c.req.Prefix) == 0 {
		return 0
	}
	return c.req.Prefix[len(c.req.Prefix)-1].Tokens
}

// tryTargets sends the request to one target after another until one answers or no
// further attempt is allowed. It returns nil when the response is written or the
// caller is gone, and errResultsGone if the stages must run again.
func (c *call) tryTargets(ctx context.Context) error {
	tried := map[string]bool{}
	c.tried = tried
	undelivered, reason := 0, ""
	var failure *heldAnswer
	for {
		if c.isCallerGone() {
			return nil
		}
		if c.isAborted() {
			c.giveUp(failure, leavingReason)
			return nil
		}
		if ctx.Err() != nil {
			if c.headWritten {
				c.abort("deadline exceeded within the stream")
			}
			c.fail(http.StatusGatewayTimeout, "deadline exceeded")
			return nil
		}
		if c.isQuarantined(failure) {
			return nil
		}
		now := time.Now()
		if !c.mayBeSent(now) {
			c.refuseLeaving()
			return nil
		}
		view := c.h.tables.View()
		if c.areResultsOutlived(view) {
			return errResultsGone
		}
		query := pick.Query{
			Regions: c.regions, Tried: tried, Affinity: c.prefixID(),
			ColdLimit: c.service.ColdPerSecond, Slots: c.targetSlots(view.Config),
		}
		if c.results != nil {
			query.DataCentre, query.PrefixTarget, query.IsPlaced = c.results.DataCentre, c.results.PrefixTarget, c.results.IsPlaced
			if c.results.IsPlaced {
				c.placedAt = c.results.PrefixTarget
			}
		}
		chosen, use, refusal := c.choose(view, query, now)
		if chosen != nil && c.sends > 0 && !c.h.balancer.TakeRetry(c.service.Name, now) {
			chosen.Done(pick.Cancelled)
			use.Done(canary.Outcome{Kind: canary.NotSent}, now)
			chosen, refusal = nil, pick.Refusal{Reason: "the retry budget is exhausted"}
		}
		if chosen == nil {
			if reason == "" {
				reason = refusal.Reason
			}
			c.retryIn = refusal.RetryAfter
			c.giveUp(failure, reason)
			return nil
		}
		tried[chosen.ID] = true
		res := c.attemptFor(ctx, chosen, use)
		c.h.logger.V(1).Info("attempt", "id", c.req.ID, "target", chosen.ID, "verdict", int(res.verdict), "reason", res.reason)
		reason = res.reason
		switch res.verdict {
		case verdictDone:
			return nil
		case verdictResultsGone:
			return errResultsGone
		case verdictNotSent:
			if undelivered++; undelivered >= maxUndelivered {
				c.giveUp(failure, reason)
				return nil
			}
			continue
		case verdictNotRun:
		case verdictMayHaveRun:
			c.mayHaveRun = true
			if res.heldAnswer != nil {
				failure, c.heldBytes = res.heldAnswer, int64(cap(res.heldAnswer.body))
			}
			if !c.route.MayRetry() {
				c.giveUp(failure, reason)
				return nil
			}
		}
		if c.sends >= c.route.MaxAttempts {
			c.giveUp(failure, reason)
			return nil
		}
		if c.headWritten && c.results != nil {
			// The results were freed after the first event of the stream.
			return errResultsGone
		}
	}
}

// areResultsOutlived reports whether a target has started again since it made a stage result of
// the request. It then has none, or that of another request, under the same handle.
func (c *call) areResultsOutlived(view *table.View) bool {
	if c.results == nil || len(c.results.Handles) == 0 {
		return false
	}
	starts := map[string]int64{}
	for _, s := range c.route.Stages {
		for _, t := range view.Targets[s.Service] {
			starts[t.Address] = max(t.StartMillis, starts[t.Address])
		}
	}
	return slices.ContainsFunc(c.results.Handles, func(h string) bool { return batch.IsOutlived(h, starts) })
}

// hasUntriedTarget reports whether some target might go on with a stream that stalls. Without
// one, a slow stream is the best that the caller can get.
func (c *call) hasUntriedTarget() bool {
	return slices.ContainsFunc(c.h.tables.View().Targets[c.service.Name], func(t *table.Target) bool { return !c.tried[t.ID] })
}

// targetSlots returns how many requests a target of the service runs at once, or 0 if
// no configuration is known.
func (c *call) targetSlots(config *fleet.Config) int {
	if config != nil {
		return config.Services[c.service.Name].Slots
	}
	return 0
}

// giveUp ends a request for which no further target is tried.
func (c *call) giveUp(failure *heldAnswer, reason string) {
	isAborted := c.isAborted()
	if isAborted {
		reason = leavingReason
	}
	switch {
	case c.isCallerGone():
	case c.headWritten:
		c.abort(reason)
	case failure != nil:
		c.writeHeldAnswer(failure)
	case c.mayHaveRun:
		c.fail(http.StatusBadGateway, reason)
	case isAborted:
		c.refuseLeaving()
	case c.retryIn > 0:
		// Callers that were told the same time don't return in step.
		c.refuse(reason, c.retryIn+time.Duration(rand.Int64N(int64(retryAfterSpread))))
	default:
		c.refuse(reason, 0)
	}
}

// verdict classifies the result of an attempt.
type verdict int

const (
	verdictDone        verdict = iota // the response is written or the caller is gone
	verdictNotSent                    // nothing reached the target
	verdictNotRun                     // the target reported that it ran nothing
	verdictMayHaveRun                 // the target may have run the request
	verdictResultsGone                // the target ran nothing because a stage result is gone
)

// result is the outcome of an attempt.
type result struct {
	verdict    verdict
	reason     string
	heldAnswer *heldAnswer // the target's own error response, if it is complete
	isStale    bool        // an idle connection turned out to be closed
}

// attempt sends the request to one target.
func (c *call) attempt(ctx context.Context, t *pick.Chosen, use *canary.Use) result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer func() { c.wasSilent = errors.Is(context.Cause(ctx), errTargetSilent) }()
	now := time.Now()
	if c.firstSend.IsZero() {
		c.firstSend = now
	}
	left := c.deadline.Sub(now)
	header := wire.ForwardedHeaders(c.r.Header)
	sent := wire.TargetHeaders{Target: t.ID, TimeLeft: left, Priority: min(c.priority, 9), LastEvent: c.req.LastEvent}
	if c.account != nil {
		sent.Account = c.account.Name
	}
	if c.results != nil {
		sent.Inputs = batch.PlainHandles(c.results.Handles)
	}
	sent.Apply(header)
	req := dialer.Request{
		Method: c.r.Method, URI: c.r.RequestURI, Host: c.r.Host, Header: header, Body: c.body, ID: c.req.ID,
		ResponseID: wire.AnswerID, KeepAlive: wire.KeepAlive, NewConn: c.sentTo[t.ID],
		Check: func() error {
			view, now := c.h.tables.View(), time.Now()
			if c.areResultsOutlived(view) {
				return errResultsGone
			}
			if err := c.h.notices.Check(t.Announcer(), now); err != nil {
				return err
			}
			return use.Check(view, now)
		},
		Heard: func(status int, h http.Header) {
			head := wire.DecodeAnswer(status, h)
			c.h.notices.Record(t.Announcer(), notice.Notice{Leaving: head.Leaving, Pause: head.RetryAfter}, time.Now())
			if head.HasLoad {
				t.Report(head.Load, time.Now())
			}
		},
	}
	if !c.route.MayRetry() {
		req.MaxIdle = onceMaxIdle
	}
	stop, askToStop := context.WithCancel(context.Background())
	defer askToStop() // without effect once the answer is closed
	req.Stop = stop
	wasAsked, askedAt := new(atomic.Bool), new(atomic.Int64)
	c.wasAsked, c.askedAt = wasAsked, askedAt
	c.askToStop = func() { askedAt.Store(time.Now().UnixNano()); wasAsked.Store(true); askToStop() }
	ask := c.askToStop // of this attempt
	var firstByteTimer *time.Timer
	if c.route.MayRetry() && c.sends+1 < c.route.MaxAttempts && c.hasUntriedTarget() {
		firstByteTimer = time.AfterFunc(c.firstByteTimeout(t.ID, left), func() {
			if c.route.Retry == fleet.RetryStream {
				ask()
			} else {
				cancel(errTargetSilent)
			}
		})
		defer firstByteTimer.Stop()
	}
	c.target, c.targetDataCentre, c.answerBegan = t.ID, t.DataCentre, time.Time{}
	if c.sentTo == nil {
		c.sentTo = map[string]bool{}
	}
	c.sentTo[t.ID] = true
	a, err := c.h.dialer.Do(ctx, t.ID, t.Address, c.h.balancer.ConnectionShare(c.service.MaxConnections), req)
	if err != nil {
		return c.handleSendError(ctx, t, err, time.Since(now))
	}
	defer a.Close()
	c.countSend()
	return c.handleAnswer(ctx, cancel, t, a, firstByteTimer)
}

var errTargetSilent = errors.New("the target was silent for too long")

// countSend counts a send that may have reached a target. The first one adds to the
// service's retry budget.
func (c *call) countSend() {
	c.sends++
	if c.sends == 1 {
		c.h.balancer.RecordRequest(c.service.Name, time.Now())
	}
}

// firstByteTimeout returns how long to wait for a target's first byte before trying
// another target: several times the target's usual time, at least a share of the
// route's latency objective, and at most the time left.
func (c *call) firstByteTimeout(target string, left time.Duration) time.Duration {
	timeout := max(minFirstByteTimeout, time.Duration(firstByteObjectiveShare*float64(c.route.LatencyObjective)), firstByteTimeoutFactor*c.h.balancer.UsualFirstByte(target))
	return min(timeout, left)
}

// handleSendError records the outcome of a failed send and classifies it by whether
// the request may have reached the target.
func (c *call) handleSendError(ctx context.Context, t *pick.Chosen, err error, took time.Duration) result {
	var send *dialer.SendError
	if !errors.As(err, &send) {
		send = &dialer.SendError{Sent: true, Err: err}
	}
	reason := send.Error()
	if context.Cause(ctx) != nil && !errors.Is(context.Cause(ctx), errTargetSilent) {
		// The caller disconnected or the deadline passed; the target is not at fault.
		t.Done(pick.Cancelled)
		if send.Sent {
			c.countSend()
			return result{verdict: verdictMayHaveRun, reason: reason}
		}
		return result{verdict: verdictNotSent, reason: reason}
	}
	if !send.Sent {
		o := pick.Unreachable
		if errors.Is(send.Err, dialer.ErrConnectionLimit) || errors.Is(send.Err, notice.ErrBusy) || errors.Is(send.Err, notice.ErrLeaving) {
			o = pick.Refused
		}
		if errors.Is(send.Err, canary.ErrNotGranted) {
			o = pick.Cancelled
		}
		t.Done(o)
		return result{verdict: verdictNotSent, reason: reason}
	}
	c.countSend()
	if !send.Stale || took > staleRoundTrips*send.RoundTrip+staleSlack {
		c.blameParts(ctx, t, send.Err)
	}
	if send.Stale {
		// Targets close idle connections, so this isn't counted as a failure.
		t.Done(pick.Cancelled)
	} else {
		t.Done(pick.Failed)
		c.recordBroken(t, false, reason)
	}
	return result{verdict: verdictMayHaveRun, reason: reason, isStale: send.Stale}
}
