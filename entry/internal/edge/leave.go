package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"chivepost/entry/internal/drain"
)

const (
	// minLeavingRetryAfter and leavingRetryAfterSpread give the Retry-After of a request that
	// another host can take at once.
	minLeavingRetryAfter    = 50 * time.Millisecond
	leavingRetryAfterSpread = 150 * time.Millisecond
	// arrivalDeviations is the number of mean deviations added to the mean, so that nearly all
	// requests that a leaving host takes end in time.
	arrivalDeviations = 4
)

const leavingReason = "the host is leaving"

var errLeaving = errors.New(leavingReason)

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
		if !c.deadline.After(plan.Abort) || now.Before(plan.Unlisted) && c.likelyEndsBefore(plan.Abort, &c.h.totals, arrivalDeviations, now) {
			return true
		}
	}
	return c.refuseLeaving()
}

// mayBeSent reports whether the host can finish a request that is now sent to a target. The
// time is less generous than that of admit, since a refusal wastes the work of the stages. A
// request that has begun to run is sent on in any case, since it can't be refused.
func (c *call) mayBeSent(now time.Time) bool {
	plan := c.h.plan.Load()
	return plan == nil || c.headWritten || c.mayHaveRun || !c.deadline.After(plan.Abort) ||
		c.likelyEndsBefore(plan.Abort, &c.h.afterSend, estimateDeviations, now)
}

// likelyEndsBefore reports whether most requests of the route that are at the same point
// would end before a moment. It returns false if there is no measurement.
func (c *call) likelyEndsBefore(moment time.Time, times *routeTimes, deviations float64, now time.Time) bool {
	took, ok := times.atDeviations(c.route.Name, deviations)
	return ok && !now.Add(took).After(moment)
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
	return c.refuse(leavingReason, after)
}

// Abort ends all requests in progress, because the process is about to end: those that have
// not run are refused, those that may have run fail, and streams break off. Callers that
// read slowly get what they have read by writeBy.
func (h *Handler) Abort(writeBy time.Time) {
	h.isAborting.Store(true)
	h.pending.mu.Lock()
	defer h.pending.mu.Unlock()
	for c := range h.pending.calls {
		c.end(writeBy)
	}
}

// end makes the handler of the request end it. A zero writeBy sets no limit.
func (c *call) end(writeBy time.Time) {
	c.cancel(errLeaving)
	if !writeBy.IsZero() {
		_ = http.NewResponseController(c.w).SetWriteDeadline(writeBy) // not every connection supports deadlines
	}
	c.bodyRead.mu.Lock()
	defer c.bodyRead.mu.Unlock()
	if c.bodyRead.inProgress {
		c.setReadDeadline(c.start)
	}
}

// isAborted reports whether the host has ended the request.
func (c *call) isAborted() bool { return errors.Is(context.Cause(c.ctx), errLeaving) }
