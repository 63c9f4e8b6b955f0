package edge

import (
	"math/rand/v2"
	"time"

	"chivepost/entry/internal/drain"
)

const (
	// minLeavingRetryAfter and leavingRetryAfterSpread give the Retry-After of a request that
	// another host can take at once.
	minLeavingRetryAfter    = 50 * time.Millisecond
	leavingRetryAfterSpread = 150 * time.Millisecond
	// usualDeviations is the number of mean deviations added to the mean for a time that
	// nearly all requests keep.
	usualDeviations = 4
)

// Leave makes the handler refuse the requests that it can't finish under the plan of the
// host's shutdown. Every further response closes its connection.
func (h *Handler) Leave(plan drain.Plan) { h.plan.CompareAndSwap(nil, &plan) }

// leavingFor returns how long the host has been leaving, or 0 if it isn't.
func (h *Handler) leavingFor(now time.Time) time.Duration {
	if plan := h.plan.Load(); plan != nil {
		return now.Sub(plan.Start)
	}
	return 0
}

// admit refuses a request that a leaving host can't finish. Only a caller whose list of
// hosts may still name this one is served by the usual time of the route.
func (c *call) admit() bool {
	plan := c.h.plan.Load()
	if plan == nil || c.leavingFor == 0 {
		return true
	}
	now := time.Now()
	if now.Before(plan.Closing) {
		if !c.deadline.After(plan.Abort) || now.Before(plan.Unlisted) && c.usuallyEndsBefore(plan.Abort, &c.h.totals, now) {
			return true
		}
	}
	return c.refuseLeaving()
}

// mayBeSent reports whether the host can finish a request that is now sent to a target. A
// request that has begun to run is sent on in any case, since it can't be refused.
func (c *call) mayBeSent(now time.Time) bool {
	plan := c.h.plan.Load()
	return plan == nil || c.headWritten || c.mayHaveRun || !c.deadline.After(plan.Abort) ||
		c.usuallyEndsBefore(plan.Abort, &c.h.afterSend, now)
}

// usuallyEndsBefore reports whether nearly all requests of the route that are at the same
// point would end before a moment. It returns false if there is no measurement.
func (c *call) usuallyEndsBefore(moment time.Time, times *routeTimes, now time.Time) bool {
	usual, ok := times.usual(c.route.Name)
	return ok && !now.Add(usual).After(moment)
}

// recordTimes adds the times of a request that was answered completely by a target.
func (c *call) recordTimes(now time.Time) {
	if c.isAnswered {
		c.h.totals.record(c.route.Name, now.Sub(c.start))
		c.h.afterSend.record(c.route.Name, now.Sub(c.firstSend))
	}
}

// refuseLeaving refuses a request because the host is leaving.
func (c *call) refuseLeaving() bool {
	c.isRefusedLeaving = true
	c.w.Header().Set("Connection", "close")
	after := time.Duration(0)
	if c.h.opts.HasPeers != nil && c.h.opts.HasPeers() {
		after = minLeavingRetryAfter + time.Duration(rand.Int64N(int64(leavingRetryAfterSpread)))
	}
	return c.refuse("the host is leaving", after)
}
