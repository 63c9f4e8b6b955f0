package edge

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"chivepost/entry/internal/dialer"
	"chivepost/entry/internal/pick"
	"chivepost/platform/wire"
)

const (
	// maxEvent is the largest event of a stream in bytes.
	maxEvent = 256 << 10
	// stopTransit is how long an event may be under way that a target sent before it was asked to
	// stop: some round trips between regions. A later one shows that the target goes on.
	stopTransit = 150 * time.Millisecond
	// eventBuffer is the size of the read buffer in bytes; it holds several events.
	eventBuffer = 4 << 10
)

// event is one server-sent event, or comments between events, including the blank line
// that ends it.
type event struct {
	raw       []byte
	id        string
	isComment bool // it holds nothing but comments, so it is no event
}

// readEvent reads a whole event. It returns io.EOF if the stream ends between two events,
// with what follows the last one, and io.ErrUnexpectedEOF if it ends within one.
func readEvent(r *bufio.Reader) (event, error) {
	e := event{isComment: true}
	lineStart := 0
	begun := false // some line is not blank
	for {
		if e.isComment && lineStart == len(e.raw) {
			lines, isWhole := readComments(r, &begun)
			e.raw = append(e.raw, lines...)
			lineStart = len(e.raw)
			if isWhole {
				return e, nil
			}
		}
		part, err := r.ReadSlice('\n')
		e.raw = append(e.raw, part...)
		switch {
		case len(e.raw) > maxEvent:
			return e, errors.New("an event is too long")
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && (!e.isComment || len(bytes.TrimSpace(e.raw[lineStart:])) > 0):
			return e, io.ErrUnexpectedEOF
		case err != nil:
			return e, err
		}
		line := bytes.TrimRight(e.raw[lineStart:], "\r\n")
		lineStart = len(e.raw)
		if len(line) == 0 {
			if !begun {
				continue // blank lines before an event are kept with it
			}
			return e, nil
		}
		begun = begun || len(bytes.TrimSpace(line)) > 0
		e.isComment = e.isComment && line[0] == ':'
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.id = string(bytes.TrimSpace(v))
		}
	}
}

// readComments consumes and returns the blank lines and comments at the start of what is
// buffered. isWhole says that they end with the blank line behind a comment; begun, whether a
// comment has begun and that line is due. One at a time, those of a target that sends nothing
// else would take much of the time of a request.
func readComments(r *bufio.Reader, begun *bool) (lines []byte, isWhole bool) {
	buffered, _ := r.Peek(r.Buffered()) // never fails
	n, whole, isOpen := 0, 0, *begun
	for n < len(buffered) {
		length := bytes.IndexByte(buffered[n:], '\n')
		if length < 0 {
			break
		}
		line := bytes.TrimRight(buffered[n:n+length], "\r")
		if len(line) > 0 && line[0] != ':' {
			break
		}
		n += length + 1
		if len(line) > 0 {
			isOpen = true
		} else if isOpen {
			isOpen, whole = false, n
		}
	}
	if whole > 0 {
		n, isOpen = whole, false
	}
	*begun = isOpen
	_, _ = r.Discard(n) // never fails
	return buffered[:n], whole > 0
}

// isAfter reports whether an event ID follows another. IDs are numbers; IDs that aren't
// follow each other if they differ.
func isAfter(id, last string) bool {
	if last == "" || id == "" {
		return true
	}
	x, errX := strconv.ParseInt(id, 10, 64)
	y, errY := strconv.ParseInt(last, 10, 64)
	if errX != nil || errY != nil {
		return strings.Compare(id, last) != 0
	}
	return x > y
}

// timedReader records when something was read last.
type timedReader struct {
	io.Reader
	readAt atomic.Int64 // Unix nanoseconds
}

func (r *timedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.readAt.Store(time.Now().UnixNano())
	}
	return n, err
}

// relayStream relays a stream event by event. Events that the caller has already, from
// before a resume, are left out.
func (c *call) relayStream(ctx context.Context, cancel context.CancelCauseFunc, t *pick.Chosen, a *dialer.Answer, firstByteTimer *time.Timer) result {
	source := &timedReader{Reader: a}
	reader := bufio.NewReaderSize(source, eventBuffer)
	var silenceTimer *time.Timer
	silence := max(minStreamSilence, 4*c.route.MaxGap)
	// Without a length, the end of an answer doesn't tell whether a target that was asked to stop
	// has stopped or finished.
	if c.route.Resumable && c.sends < c.route.MaxAttempts && !a.IsUnframed && c.hasUntriedTarget() {
		ask := c.askToStop
		silenceTimer = time.AfterFunc(time.Hour, func() {
			if ctx.Err() != nil {
				return
			}
			// A slow target works on, and also after its connection is closed, until it notices. It
			// is only known to have stopped once it ends the connection, or if it writes often.
			if time.Since(time.Unix(0, source.readAt.Load())) < maxDripGap {
				cancel(errTargetSilent)
				return
			}
			ask()
			silenceTimer.Reset(silence)
		})
		defer silenceTimer.Stop()
	}
	n := 0
	resumes := c.headWritten
	var early []byte // comments before the first event, after which the answer begins
	commentBytes := 0
	for {
		e, err := readEvent(reader)
		if err == nil && e.isComment {
			if commentBytes += len(e.raw); commentBytes <= maxEvent {
				if !c.headWritten {
					early = append(early, e.raw...)
				} else if !c.writeStream(t, e.raw, reader.Buffered() == 0) {
					return result{verdict: verdictDone}
				}
				continue
			}
			err = fmt.Errorf("no event in %d bytes", commentBytes)
		}
		commentBytes = 0
		if firstByteTimer != nil && n == 0 {
			firstByteTimer.Stop()
		}
		if errors.Is(err, io.EOF) && resumes && n == 0 && a.IsUnframed {
			// A target that fails may close its connection as well.
			return c.handleFailedResume(t, "the answer ended with its connection and without an event")
		}
		if errors.Is(err, io.EOF) && n+c.events > 0 {
			if c.headWritten && len(e.raw) > 0 && !c.writeStream(t, e.raw, true) {
				return result{verdict: verdictDone}
			}
			t.Done(pick.Answered)
			if n > 0 {
				c.clearParts()
			}
			if !c.headWritten {
				c.writeStreamHead(a) // the caller has every event
			}
			c.isAnswered, c.isComplete = true, true
			return result{verdict: verdictDone}
		}
		if err != nil {
			return c.handleBrokenStream(ctx, t, err)
		}
		if n++; n == 1 {
			c.answerBegan = time.Now()
			if asked := c.askedAt.Load(); asked != 0 && !c.headWritten && time.Since(time.Unix(0, asked)) < stopTransit {
				// The first event crossed the request to stop, so the rest won't come. As long as
				// the caller has nothing, another target can take the request.
				cancel(errTargetSilent)
				return c.handleBrokenStream(ctx, t, errTargetSilent)
			}
		}
		t.FirstByte()
		if resumes && e.id == "" {
			// Nothing tells whether the caller has it, or whether it is an event at all.
			return c.handleFailedResume(t, "the answer has an event without an ID")
		}
		if !isAfter(e.id, c.req.LastEvent) {
			continue // the caller has this event
		}
		if !c.headWritten {
			c.writeStreamHead(a)
			e.raw = append(early, e.raw...)
		}
		if silenceTimer != nil {
			silenceTimer.Stop() // while the caller takes the event, the target isn't silent
		}
		if !c.writeStream(t, e.raw, true) {
			return result{verdict: verdictDone}
		}
		if silenceTimer != nil {
			silenceTimer.Reset(silence)
		}
		if c.events++; c.body != nil && (!c.route.MayRetry() || c.sends >= c.route.MaxAttempts) {
			c.freeBody(a, 0)
		}
		if c.endsWithoutID = e.id == ""; e.id != "" {
			c.req.LastEvent = e.id
		}
		if c.events == 1 && c.results != nil {
			// The first event shows that the target has fetched the results.
			c.freeResults()
		}
	}
}

// writeStream writes a part of a stream. Events are flushed as they arrive, comments only if
// nothing follows them yet. It returns false if the caller has disconnected.
func (c *call) writeStream(t *pick.Chosen, raw []byte, flush bool) bool {
	c.beginWrite()
	err := c.writeBlocks(raw)
	if err == nil && flush {
		err = http.NewResponseController(c.w).Flush()
	}
	c.endWrite()
	if err != nil {
		t.Done(pick.Cancelled)
		c.reason = disconnectedReason
	}
	return err == nil
}

// writeStreamHead writes the response head of a stream and records the time to the first
// byte.
func (c *call) writeStreamHead(a *dialer.Answer) {
	c.firstByte = time.Since(c.start)
	if c.stagesTook > 0 {
		c.h.afterStages.record(c.route.Name, c.firstByte-c.stagesTook)
	}
	c.phase.Store(int32(phaseAnswer))
	c.headWritten, c.status = true, a.Status
	copyHeader(c.w.Header(), wire.ReturnedHeaders(a.Header))
	c.w.WriteHeader(a.Status)
}

// handleFailedResume records an answer that doesn't go on with a stream of which the caller has
// the head. The result lets it be resumed at another target; if there is none, the response is
// cut off.
func (c *call) handleFailedResume(t *pick.Chosen, reason string) result {
	t.Done(pick.Failed)
	failedResumeCount.Add(1)
	c.h.logger.Info("stream not resumed", "id", c.req.ID, "target", t.ID, "last_event", c.req.LastEvent, "events", c.events, "reason", reason)
	return result{verdict: verdictMayHaveRun, reason: "the stream was not resumed: " + reason}
}

// handleBrokenStream records the outcome of a stream that broke off. The result lets it
// be resumed at another target unless the caller is gone or the deadline has passed.
func (c *call) handleBrokenStream(ctx context.Context, t *pick.Chosen, err error) result {
	reason := "the stream ended early: " + err.Error()
	if c.isCallerGone() || ctx.Err() != nil && !errors.Is(context.Cause(ctx), errTargetSilent) {
		t.Done(pick.Cancelled)
		if c.headWritten && !c.isCallerGone() {
			if c.isAborted() {
				c.abort(leavingReason)
			}
			c.abort("deadline exceeded within the stream")
		}
		return result{verdict: verdictMayHaveRun, reason: reason}
	}
	t.Done(pick.Failed)
	c.recordBroken(t, true, reason)
	c.blameParts(ctx, t, err)
	if c.endsWithoutID {
		c.abort(reason + "; it can't be resumed after an event without an ID")
	}
	if c.headWritten {
		c.resumes++
	}
	return result{verdict: verdictMayHaveRun, reason: reason}
}
