package edge

import (
	"context"
	"errors"
	"net/http"
	"time"

	"chivepost/entry/internal/dialer"
	"chivepost/entry/internal/pick"
	"chivepost/platform/wire"
	"chivepost/share/fleet"
)

// errResultsGone says that a target found an input gone; it ran nothing.
var errResultsGone = errors.New("results of stages are gone")

// affinity returns the part of the prompt by which a target is preferred: the
// longest run of parts that other requests share.
func (c *call) affinity() string {
	if !c.route.Sticky || len(c.req.Prefix) == 0 {
		return ""
	}
	return c.req.Prefix[max(len(c.req.Prefix)-2, 0)].ID
}

// shared returns the tokens of the prompt that other requests share.
func (c *call) shared() int {
	if !c.route.Sticky {
		return 0
	}
	n := 0
	for _, p := range c.req.Prefix[:max(len(c.req.Prefix)-1, 0)] {
		n += p.Tokens
	}
	return n
}

// attempts sends the request to one target after another until it is answered.
// It returns nil once the caller has its answer, or none can be given.
func (c *call) attempts(ctx context.Context) error {
	tried := map[string]bool{}
	dials, reason := 0, ""
	var failure *held
	for {
		if c.hasLeft() {
			return nil
		}
		if ctx.Err() != nil {
			if c.started {
				c.abort("the time was over within the stream")
			}
			c.fail(http.StatusGatewayTimeout, "the time was over")
			return nil
		}
		now := time.Now()
		view := c.f.tables.View()
		query := pick.Query{
			Targets: view.Targets[c.service.Name], Regions: c.regions, Tried: tried, Affinity: c.affinity(),
			ColdLimit: c.service.ColdPerSecond, Slots: c.places(view.Config),
		}
		if c.results != nil {
			query.DataCentre, query.PrefixTarget = c.results.Near, c.results.Prefer
		}
		chosen, why := c.f.book.Choose(query, now)
		if chosen != nil && c.sends > 0 && !c.f.book.TakeRetry(c.service.Name, now) {
			chosen.Done(pick.Cancelled)
			chosen, why = nil, "the budget of repeats is spent"
		}
		if chosen == nil {
			if reason == "" {
				reason = why
			}
			c.giveUp(failure, reason)
			return nil
		}
		tried[chosen.ID] = true
		res := c.attempt(ctx, chosen)
		c.f.logger.V(1).Info("attempt", "id", c.req.ID, "target", chosen.ID, "verdict", int(res.verdict), "reason", res.reason)
		reason = res.reason
		switch res.verdict {
		case verdictDone:
			return nil
		case verdictResultsGone:
			return errResultsGone
		case verdictNotSent:
			if dials++; dials >= maxDials {
				c.giveUp(failure, reason)
				return nil
			}
			continue
		case verdictNotRun:
		case verdictMayRun:
			c.ran = true
			if res.held != nil {
				failure = res.held
			}
			if !c.route.MayRepeat() {
				c.giveUp(failure, reason)
				return nil
			}
		}
		if c.sends >= c.route.MaxAttempts {
			c.giveUp(failure, reason)
			return nil
		}
		if c.started && c.results != nil {
			// The results were given up as the stream began.
			return errResultsGone
		}
	}
}

// places returns how many requests a target of the service runs at once.
func (c *call) places(config *fleet.Config) int {
	if config != nil {
		return config.Services[c.service.Name].Slots
	}
	return 0
}

// giveUp answers a request for which no further target is tried.
func (c *call) giveUp(failure *held, reason string) {
	switch {
	case c.hasLeft():
	case c.started:
		c.abort(reason)
	case failure != nil:
		c.returnHeld(failure)
	case c.ran:
		c.fail(http.StatusBadGateway, reason)
	default:
		c.refuse(reason, 0)
	}
}

// verdict is what an attempt has shown.
type verdict int

const (
	verdictDone        verdict = iota // the caller has its answer
	verdictNotSent                    // nothing reached the target
	verdictNotRun                     // the target says that it ran nothing
	verdictMayRun                     // it may have run
	verdictResultsGone                // it ran nothing, since a stage's result is gone
)

type result struct {
	verdict verdict
	reason  string
	held    *held // a failure of the target's own, whole
}

// attempt sends the request to one target.
func (c *call) attempt(ctx context.Context, t *pick.Chosen) result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	now := time.Now()
	left := c.until.Sub(now)
	header := wire.Forwarded(c.r.Header)
	sent := wire.Sent{Target: t.ID, TimeLeft: left, Priority: min(c.priority, 9), LastEvent: c.req.LastEvent}
	if c.account != nil {
		sent.Account = c.account.Name
	}
	if c.results != nil {
		sent.Inputs = c.results.Handles
	}
	sent.Apply(header)
	req := dialer.Request{
		Method: c.r.Method, URI: c.r.RequestURI, Host: c.r.Host, Header: header, Body: c.body, ID: c.req.ID,
		Echo: wire.AnswerID, KeepAlive: wire.KeepAlive,
	}
	if !c.route.MayRepeat() {
		req.MaxIdle = unsafeIdle
	}
	var watch *time.Timer
	if c.route.MayRepeat() && c.sends+1 < c.route.MaxAttempts {
		watch = time.AfterFunc(c.patience(t.ID, left), func() { cancel(errSilent) })
		defer watch.Stop()
	}
	c.target, c.place = t.ID, t.DataCentre
	a, err := c.f.dialer.Do(ctx, t.ID, t.Address, c.f.book.ConnectionShare(c.service.MaxConnections), req)
	if err != nil {
		return c.sendFailed(ctx, t, err)
	}
	defer a.Close()
	c.countSend()
	return c.judge(ctx, cancel, t, a, watch)
}

var errSilent = errors.New("the target was silent for too long")

// countSend notes that the request reached a target.
func (c *call) countSend() {
	c.sends++
	if c.sends == 1 {
		c.f.book.RecordRequest(c.service.Name, time.Now())
	}
}

// patience returns how long a target has for the first byte before another one is
// tried: several times what is usual for it.
func (c *call) patience(target string, left time.Duration) time.Duration {
	p := max(waitLimit, time.Duration(waitAim*float64(c.route.Aim)), waitFactor*c.f.book.UsualFirstByte(target))
	return min(p, left)
}

func (c *call) sendFailed(ctx context.Context, t *pick.Chosen, err error) result {
	var send *dialer.SendError
	if !errors.As(err, &send) {
		send = &dialer.SendError{Sent: true, Err: err}
	}
	reason := send.Error()
	if context.Cause(ctx) != nil && !errors.Is(context.Cause(ctx), errSilent) {
		// The caller has left or the time is over.
		t.Done(pick.Cancelled)
		if send.Sent {
			c.countSend()
			return result{verdict: verdictMayRun, reason: reason}
		}
		return result{verdict: verdictNotSent, reason: reason}
	}
	if !send.Sent {
		o := pick.Unreachable
		if errors.Is(send.Err, dialer.ErrNoChannel) {
			o = pick.Refused
		}
		t.Done(o)
		return result{verdict: verdictNotSent, reason: reason}
	}
	c.countSend()
	if send.Stale {
		// An idle connection that the target had dropped says little of the target.
		t.Done(pick.Cancelled)
	} else {
		t.Done(pick.Failed)
	}
	return result{verdict: verdictMayRun, reason: reason}
}
