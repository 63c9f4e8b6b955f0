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
	"time"

	"chivepost/entry/internal/dialer"
	"chivepost/entry/internal/pick"
	"chivepost/platform/wire"
	"chivepost/share/fleet"
)

const (
	// maxWhole is the largest answer that is read whole before it is passed on.
	maxWhole = 1 << 20
	// maxEvent is the largest event of a stream.
	maxEvent = 1 << 20
	// eventBuffer holds several events.
	eventBuffer = 4 << 10
)

// held is a failure of a target's own, to be passed on if no other target does
// better.
type held struct {
	status int
	header http.Header
	body   []byte
}

// judge looks at the head of an answer and passes it on if it is the caller's.
func (c *call) judge(ctx context.Context, cancel context.CancelCauseFunc, t *pick.Chosen, a *dialer.Answer, watch *time.Timer) result {
	head := wire.DecodeAnswer(a.Status, a.Header)
	if head.NotRun {
		_, _ = io.Copy(io.Discard, io.LimitReader(a, maxWhole)) // only to use the connection again
		switch a.Status {
		case http.StatusConflict:
			t.Done(pick.Answered)
			return result{verdict: verdictResultsGone, reason: "the target found results gone"}
		case http.StatusMisdirectedRequest:
			t.Done(pick.Unreachable)
		default:
			t.Done(pick.Refused)
		}
		return result{verdict: verdictNotRun, reason: fmt.Sprintf("the target refused with status %d", a.Status)}
	}
	if a.Header.Get("Content-Encoding") != "" || a.Status < http.StatusMultipleChoices && !head.HasReceipt {
		t.Done(pick.Failed)
		return result{verdict: verdictMayRun, reason: "the target's answer has no receipt or is encoded"}
	}
	if c.route.Repeat == fleet.RepeatStream && a.Status == http.StatusOK {
		return c.stream(ctx, cancel, t, a, watch)
	}
	t.FirstByte()
	body, err := io.ReadAll(io.LimitReader(a, maxWhole+1))
	if err == nil && len(body) > maxWhole {
		return c.passLong(t, a, body)
	}
	if err != nil {
		if c.hasLeft() || ctx.Err() != nil && !errors.Is(context.Cause(ctx), errSilent) {
			t.Done(pick.Cancelled)
		} else {
			t.Done(pick.Failed)
		}
		return result{verdict: verdictMayRun, reason: "the target's answer ended early: " + err.Error()}
	}
	h := &held{status: a.Status, header: wire.Returned(a.Header), body: body}
	if a.Status >= http.StatusInternalServerError {
		t.Done(pick.Failed)
		return result{verdict: verdictMayRun, reason: fmt.Sprintf("the target failed with status %d", a.Status), held: h}
	}
	t.Done(pick.Answered)
	c.returnHeld(h)
	return result{verdict: verdictDone}
}

// returnHeld passes a whole answer on.
func (c *call) returnHeld(h *held) {
	c.status, c.started = h.status, true
	c.first = time.Since(c.start)
	copyHeader(c.w.Header(), h.header)
	c.w.Header().Set("Content-Length", strconv.Itoa(len(h.body)))
	c.w.WriteHeader(h.status)
	if _, err := c.w.Write(h.body); err != nil {
		c.reason = "the caller left"
	}
}

func copyHeader(to, from http.Header) {
	if _, ok := from["Date"]; !ok {
		to["Date"] = nil // the answer is the target's, as it is
	}
	for k, v := range from {
		to[k] = v
	}
}

// passLong passes on an answer that is too long to be kept.
func (c *call) passLong(t *pick.Chosen, a *dialer.Answer, start []byte) result {
	c.status, c.started = a.Status, true
	c.first = time.Since(c.start)
	copyHeader(c.w.Header(), wire.Returned(a.Header))
	if a.Length >= 0 {
		c.w.Header().Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	c.w.WriteHeader(a.Status)
	_, err := c.w.Write(start)
	if err == nil {
		_, err = io.Copy(c.w, a)
	}
	if err != nil {
		t.Done(pick.Failed)
		c.abort("the answer ended early")
	}
	t.Done(pick.Answered)
	return result{verdict: verdictDone}
}

// abort ends an answer that has begun so that it doesn't look complete.
func (c *call) abort(reason string) {
	c.reason = reason
	panic(http.ErrAbortHandler)
}

// event is one event of a stream with the blank line that ends it.
type event struct {
	raw []byte
	id  string
}

// readEvent reads a whole event. io.EOF means that the stream ended between two.
func readEvent(r *bufio.Reader) (event, error) {
	var e event
	for {
		line, err := r.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			e.raw = append(e.raw, line...)
			if len(e.raw) > maxEvent {
				return e, errors.New("an event is too long")
			}
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && (len(e.raw) > 0 || len(line) > 0) {
				return e, io.ErrUnexpectedEOF
			}
			return e, err
		}
		e.raw = append(e.raw, line...)
		if len(e.raw) > maxEvent {
			return e, errors.New("an event is too long")
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			if len(bytes.TrimSpace(e.raw)) == 0 {
				continue // blank lines before an event belong to it
			}
			return e, nil
		}
		if v, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			e.id = string(bytes.TrimSpace(v))
		}
	}
}

// isAfter reports whether an event id follows another; ids are numbers.
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

// stream passes a stream on, event by event.
func (c *call) stream(ctx context.Context, cancel context.CancelCauseFunc, t *pick.Chosen, a *dialer.Answer, watch *time.Timer) result {
	reader := bufio.NewReaderSize(a, eventBuffer)
	flush := http.NewResponseController(c.w)
	var silence *time.Timer
	if c.route.Resumable {
		silence = time.AfterFunc(time.Hour, func() { cancel(errSilent) })
		defer silence.Stop()
	}
	n := 0
	for {
		e, err := readEvent(reader)
		if watch != nil && n == 0 {
			watch.Stop()
		}
		if errors.Is(err, io.EOF) && n+c.events > 0 {
			t.Done(pick.Answered)
			c.status = http.StatusOK
			return result{verdict: verdictDone}
		}
		if err != nil {
			return c.streamBroke(ctx, t, err)
		}
		n++
		t.FirstByte()
		if !isAfter(e.id, c.req.LastEvent) {
			continue // the caller has it already
		}
		if !c.started {
			c.begin(a)
		}
		if silence != nil {
			silence.Reset(max(resumeGap, 4*c.route.MaxGap))
		}
		if _, err := c.w.Write(e.raw); err != nil {
			t.Done(pick.Cancelled)
			c.reason = "the caller left"
			return result{verdict: verdictDone}
		}
		if err := flush.Flush(); err != nil {
			t.Done(pick.Cancelled)
			c.reason = "the caller left"
			return result{verdict: verdictDone}
		}
		c.events++
		if e.id != "" {
			c.req.LastEvent = e.id
		}
		if c.events == 1 && c.results != nil {
			// The prompt is read, so the results have been fetched.
			c.freeResults()
		}
	}
}

// begin writes the head of a stream.
func (c *call) begin(a *dialer.Answer) {
	c.first = time.Since(c.start)
	if c.staged > 0 {
		c.f.tails.note(c.route.Name, c.first-c.staged)
	}
	c.started, c.status = true, a.Status
	copyHeader(c.w.Header(), wire.Returned(a.Header))
	c.w.WriteHeader(a.Status)
}

// streamBroke decides what becomes of a stream without its end.
func (c *call) streamBroke(ctx context.Context, t *pick.Chosen, err error) result {
	reason := "the stream ended early: " + err.Error()
	if c.hasLeft() || ctx.Err() != nil && !errors.Is(context.Cause(ctx), errSilent) {
		t.Done(pick.Cancelled)
		if c.started && !c.hasLeft() {
			c.abort("the time was over within the stream")
		}
		return result{verdict: verdictMayRun, reason: reason}
	}
	t.Done(pick.Failed)
	if c.started {
		c.resumes++
	}
	return result{verdict: verdictMayRun, reason: reason}
}
