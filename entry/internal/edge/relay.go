package edge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"mime"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"chivepost/entry/internal/dialer"
	"chivepost/entry/internal/memory"
	"chivepost/entry/internal/pick"
	"chivepost/platform/wire"
	"chivepost/share/fleet"
)

const (
	// maxHeldAnswer is the largest answer, in bytes, that is read whole before it is relayed.
	maxHeldAnswer = 256 << 10
	// firstAnswerBytes is the first reservation for an answer of unknown length.
	firstAnswerBytes = 4 << 10
	// answerBlock is how much of a held answer is written at once, so that a caller that reads
	// can be told from one that doesn't.
	answerBlock = 16 << 10
)

// heldAnswer is a complete answer of a target. An error response is held until no other
// target is left to try.
type heldAnswer struct {
	status int
	header http.Header
	body   []byte
}

// handleAnswer classifies an answer and relays it to the caller, unless the request may
// have to be sent to another target.
func (c *call) handleAnswer(ctx context.Context, cancel context.CancelCauseFunc, t *pick.Chosen, a *dialer.Answer, firstByteTimer *time.Timer) result {
	head := wire.DecodeAnswer(a.Status, a.Header)
	if head.NotRun {
		a.Discard()
		switch a.Status {
		case http.StatusConflict:
			t.Done(pick.Answered)
			return result{verdict: verdictResultsGone, reason: "the target reported missing stage results"}
		case http.StatusMisdirectedRequest:
			t.Done(pick.Unreachable)
		default:
			t.Done(pick.Refused)
		}
		return result{verdict: verdictNotRun, reason: fmt.Sprintf("the target refused with status %d", a.Status)}
	}
	if a.Header.Get("Content-Encoding") != "" || a.Status < http.StatusMultipleChoices && !head.HasReceipt {
		t.Done(pick.Failed)
		return result{verdict: verdictMayHaveRun, reason: "the target's answer lacks a receipt or has a Content-Encoding"}
	}
	if c.headWritten && (a.Status != http.StatusOK || !isEventStream(a.Header)) {
		// Only events may follow the head of a stream; the status and body of this answer would
		// become a part of its body.
		a.Discard()
		return c.handleFailedResume(t, fmt.Sprintf("the target answered with status %d and no stream of events", a.Status))
	}
	if c.route.Retry == fleet.RetryStream && a.Status == http.StatusOK {
		return c.relayStream(ctx, cancel, t, a, firstByteTimer)
	}
	t.FirstByte()
	c.answerBegan = time.Now()
	body, isWhole, err := c.holdAnswer(a)
	if err == nil && !c.route.MayRetry() && promisesNotRun(a.Status) {
		t.Done(pick.Failed)
		return result{verdict: verdictMayHaveRun, reason: fmt.Sprintf("the target failed with status %d and may have run the request", a.Status)}
	}
	if err == nil && !isWhole {
		if a.Status >= http.StatusInternalServerError {
			// Relaying it would rule out another target.
			t.Done(pick.Failed)
			reason := fmt.Sprintf("the target failed with status %d and more bytes than the host can hold", a.Status)
			c.recordBroken(t, true, reason)
			return result{verdict: verdictMayHaveRun, reason: reason}
		}
		if firstByteTimer != nil {
			firstByteTimer.Stop() // no other target can be tried any more
		}
		return c.writeLongAnswer(t, a, body)
	}
	if err != nil {
		if c.isCallerGone() || ctx.Err() != nil && !errors.Is(context.Cause(ctx), errTargetSilent) {
			t.Done(pick.Cancelled)
		} else {
			t.Done(pick.Failed)
			c.recordBroken(t, true, err.Error())
			c.blameParts(ctx, t, err)
		}
		return result{verdict: verdictMayHaveRun, reason: "the target's answer ended early: " + err.Error()}
	}
	h := &heldAnswer{status: a.Status, header: wire.ReturnedHeaders(a.Header), body: body}
	if a.Status >= http.StatusInternalServerError {
		t.Done(pick.Failed)
		return result{verdict: verdictMayHaveRun, reason: fmt.Sprintf("the target failed with status %d", a.Status), heldAnswer: h}
	}
	t.Done(pick.Answered)
	if a.Status < http.StatusMultipleChoices {
		c.clearParts()
	}
	c.freeBody(a, cap(body))
	c.writeHeldAnswer(h)
	c.isAnswered = c.isComplete
	return result{verdict: verdictDone}
}

// holdAnswer reads the body of an answer. It stops, and reports that the body isn't whole, at
// maxHeldAnswer or if the host has no memory for more of it.
func (c *call) holdAnswer(a *dialer.Answer) (body []byte, isWhole bool, err error) {
	size, most := int64(firstAnswerBytes), int64(maxHeldAnswer+1)
	if a.Length > 0 {
		size = min(a.Length+1, memory.SmallBytes) // one more for the read that finds the end
	}
	others := int64(cap(c.body)) + c.heldBytes
	for size = min(size, most); ; size = min(2*size, most) {
		if c.memory.Grow(others+size) != nil {
			if body != nil {
				heldShortCount.Add(1)
				return body, false, nil
			}
			size = firstAnswerBytes // to relay an answer takes as much in any case
		}
		body = append(make([]byte, 0, size), body...)
		for len(body) < cap(body) {
			n, err := a.Read(body[len(body):cap(body)])
			body = body[:len(body)+n]
			if errors.Is(err, io.EOF) {
				return body, true, nil
			}
			if err != nil {
				return body, false, err
			}
		}
		if int64(len(body)) == most {
			return body, false, nil
		}
	}
}

// freeBody frees the body of the request, which no other target will get. The reservation keeps
// what is held of the answer.
func (c *call) freeBody(a *dialer.Answer, answerBytes int) {
	if !a.IsBodyWritten() {
		return
	}
	c.body = nil
	c.memory.Shrink(int64(answerBytes) + c.heldBytes)
}

// isEventStream reports whether an answer may be a stream of events by its type, which targets
// need not name.
func isEventStream(h http.Header) bool {
	text := h.Get("Content-Type")
	if text == "" {
		return true
	}
	mediaType, _, err := mime.ParseMediaType(text)
	return err == nil && mediaType == "text/event-stream"
}

// promisesNotRun reports whether callers take a status for the promise that the request has
// not run and never will. A target's own answer with such a status doesn't promise that.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// writeHeldAnswer writes a complete answer to the caller.
func (c *call) writeHeldAnswer(h *heldAnswer) {
	c.phase.Store(int32(phaseAnswer))
	c.status, c.headWritten = h.status, true
	c.firstByte = time.Since(c.start)
	copyHeader(c.w.Header(), h.header)
	c.w.Header().Set("Content-Length", strconv.Itoa(len(h.body)))
	c.w.WriteHeader(h.status)
	c.beginWrite()
	err := c.writeBlocks(h.body)
	c.endWrite()
	if err != nil {
		c.reason = disconnectedReason
		return
	}
	c.isComplete = true
}

// writeBlocks writes a held answer and records what the caller has taken of it.
func (c *call) writeBlocks(body []byte) error {
	for block := range slices.Chunk(body, answerBlock) {
		if _, err := c.w.Write(block); err != nil {
			return err
		}
		c.memory.Moved(len(block))
	}
	return nil
}

// beginWrite lets the host end a caller that doesn't read its answer while what the request holds is
// needed.
func (c *call) beginWrite() {
	c.bodyRead.mu.Lock()
	c.isWriting = true
	c.bodyRead.mu.Unlock()
	c.memory.Begin(memory.Writing, func() {
		c.bodyRead.mu.Lock()
		defer c.bodyRead.mu.Unlock()
		if c.isWriting {
			_ = http.NewResponseController(c.w).SetWriteDeadline(c.start) // not every connection supports deadlines
		}
	})
}

func (c *call) endWrite() {
	c.memory.Finish()
	c.bodyRead.mu.Lock()
	defer c.bodyRead.mu.Unlock()
	c.isWriting = false
}

func copyHeader(to, from http.Header) {
	if _, ok := from["Date"]; !ok {
		to["Date"] = nil // keeps the server from adding its own date to the target's answer
	}
	for k, v := range from {
		to[k] = v
	}
}

// copyAnswer writes the start of an answer and the rest of it as it comes. While the caller takes
// a part, it counts as a holder of memory that may stall.
func (c *call) copyAnswer(start []byte, rest io.Reader) error {
	block := make([]byte, answerBlock)
	for part := start; ; {
		c.beginWrite()
		err := c.writeBlocks(part)
		c.endWrite()
		if err != nil {
			return err
		}
		n, err := rest.Read(block)
		if part = block[:n]; n > 0 {
			continue
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// writeLongAnswer relays an answer that is too long to be held; start is what was read
// of its body.
func (c *call) writeLongAnswer(t *pick.Chosen, a *dialer.Answer, start []byte) result {
	c.phase.Store(int32(phaseAnswer))
	c.status, c.headWritten = a.Status, true
	c.firstByte = time.Since(c.start)
	copyHeader(c.w.Header(), wire.ReturnedHeaders(a.Header))
	if a.Length >= 0 {
		c.w.Header().Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	c.w.WriteHeader(a.Status)
	c.freeBody(a, cap(start))
	err := c.copyAnswer(start, a)
	if err != nil {
		var op *net.OpError
		if c.isCallerGone() || errors.As(err, &op) && op.Op == "write" {
			t.Done(pick.Cancelled)
			c.abort(disconnectedReason)
		}
		t.Done(pick.Failed)
		c.recordBroken(t, true, err.Error())
		c.abort("the answer ended early")
	}
	c.isAnswered, c.isComplete = true, true
	t.Done(pick.Answered)
	return result{verdict: verdictDone}
}

// abort panics with http.ErrAbortHandler, so that the server closes the connection in the
// middle of the response and the response doesn't look complete.
func (c *call) abort(reason string) {
	c.reason = reason
	panic(http.ErrAbortHandler)
}
