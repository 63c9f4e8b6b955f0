package edge

import (
	"context"
	"errors"
	"io"
	"net"
	"time"

	"chivepost/entry/internal/blame"
	"chivepost/entry/internal/pick"
)

const (
	// maxBegun is the time from the first byte of an answer after which its prompt is no
	// longer suspected if the target crashes.
	maxBegun = time.Second
	// staleRoundTrips and staleSlack bound the time within which a request shows that its
	// connection had been closed while it was idle. Later, its end is that of the answer.
	staleRoundTrips = 2
	staleSlack      = 10 * time.Millisecond
	// minQuarantineRetry and maxQuarantineRetry bound the Retry-After of a request with a
	// quarantined part.
	minQuarantineRetry = time.Second
	maxQuarantineRetry = 30 * time.Second
)

// Blame attributes crashes of targets to parts of prompts.
type Blame interface {
	Check(service string, parts []string, isTrial bool) blame.Verdict
	RecordBroken(b blame.Broken)
	RecordComplete(service string, parts []string)
}

// isQuarantined responds to a request of which a part is quarantined, and reports whether
// there is one. failure is a target's own error response, if any.
func (c *call) isQuarantined(failure *heldAnswer) bool {
	parts := c.sharedParts()
	if len(parts) == 0 {
		return false
	}
	v := c.h.blame.Check(c.service.Name, parts, c.isTrial)
	c.isTrial = v.IsTrial
	if v.Part == "" {
		return false
	}
	c.quarantinedPart = v.Part
	const reason = "a part of the prompt crashes targets"
	if c.headWritten || failure != nil || c.mayHaveRun {
		c.giveUp(failure, reason)
	} else {
		c.refuse(reason, min(max(v.RetryAfter, minQuarantineRetry), maxQuarantineRetry))
	}
	return true
}

// blameParts records a broken answer as evidence against the parts of the prompt if the
// target seems to have crashed when it began the answer.
func (c *call) blameParts(ctx context.Context, t *pick.Chosen, err error) {
	parts := c.sharedParts()
	if len(parts) == 0 || context.Cause(ctx) != nil || c.wasAsked.Load() || !isConnectionEnd(err) {
		return
	}
	if !c.answerBegan.IsZero() && time.Since(c.answerBegan) > maxBegun {
		return
	}
	c.h.blame.RecordBroken(blame.Broken{
		Service: c.service.Name, Target: t.ID, Address: t.Address, StartMillis: t.StartMillis, Parts: parts, Own: c.req.Prefix[len(parts)].ID,
	})
}

// clearParts records a complete answer, which the parts of the prompt didn't prevent.
func (c *call) clearParts() {
	if parts := c.sharedParts(); len(parts) > 0 {
		c.h.blame.RecordComplete(c.service.Name, parts)
	}
}

// isConnectionEnd reports whether an answer ended early because the connection did, and
// not because of malformed bytes.
func isConnectionEnd(err error) bool {
	var op *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &op) && !op.Timeout()
}
