package edge

import (
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"chivepost/platform/wire"
)

// isCallerGone reports whether the caller has closed its connection. When the host ends the
// request, the context of the server may end with it and tells nothing.
func (c *call) isCallerGone() bool {
	if c.r.Context().Err() == nil || c.isAborted() {
		return false
	}
	c.reason = "caller disconnected"
	return true
}

// refuse responds with 503 and Retry-After, which promises that the request has not run
// and never will. If a target may have run it, the response is 502 instead.
func (c *call) refuse(reason string, after time.Duration) bool {
	if c.mayHaveRun {
		return c.fail(http.StatusBadGateway, reason)
	}
	if after <= 0 {
		after = minRetryAfter + time.Duration(rand.Int64N(int64(retryAfterSpread)))
	}
	c.retryAfter = after
	wire.SetRetryAfter(c.w.Header(), after)
	return c.reject(http.StatusServiceUnavailable, reason)
}

// fail responds with an error that doesn't promise that the request has not run.
func (c *call) fail(status int, reason string) bool { return c.reject(status, reason) }

// reject writes an error response of this host, with the reason as its body. It always
// returns false, so that callers can return it.
func (c *call) reject(status int, reason string) bool {
	if c.headWritten {
		c.abort(reason) // it is too late for another status
	}
	c.status, c.reason = status, reason
	if !c.isBodyRead && !c.isReadEnded && c.r.ContentLength != 0 {
		c.setReadDeadline(time.Now().Add(unreadBodyTimeout))
	}
	// A caller that reads nothing must not keep the connection. Requests that run have a later
	// deadline already.
	if c.phase.Load() == int32(phaseHead) {
		_ = http.NewResponseController(c.w).SetWriteDeadline(time.Now().Add(writeSlack)) // not every connection supports deadlines
	}
	wire.SetID(c.w.Header(), c.req.ID)
	c.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	c.w.WriteHeader(status)
	_, _ = io.WriteString(c.w, reason+"\n") // a caller that disconnected needs no response
	c.headWritten, c.isComplete = true, true
	return false
}
