// Package dialer sends requests to targets over HTTP/1.1. It never retries a request by
// itself, reports whether a failed one may have reached its target, and keeps the number of
// connections to each target within this host's share.
package dialer

import (
	"bytes"
	"context"
	"errors"
	"expvar"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"chivepost/share/quote"
)

var (
	connectionsOpened = expvar.NewInt("target_connections_opened_count")
	strayAnswers      = expvar.NewInt("target_stray_answers_count")
	resetBodies       = expvar.NewInt("target_answers_reset_count")
	invalidHeads      = expvar.NewInt("target_answers_invalid_count")
)

const (
	// dialTimeout bounds the dialling of a connection: many round trips between regions.
	dialTimeout = 700 * time.Millisecond
	// userTimeout is the TCP_USER_TIMEOUT, which closes a connection whose bytes aren't
	// acknowledged: three retransmissions on a link between regions.
	userTimeout = 2 * time.Second
	// probeIdle, probeInterval and probeCount are the TCP keep-alive settings, which detect
	// unresponsive targets.
	probeIdle     = 2 * time.Second
	probeInterval = time.Second
	probeCount    = 2
	// defaultIdleLimit bounds the idle time of a connection if the target announces none.
	defaultIdleLimit = 4 * time.Second
	// idleMargin is subtracted from the idle time that the target announces, because a
	// request must arrive before the target closes the connection.
	idleMargin = 1200 * time.Millisecond
	// maxStrayAnswers is how many answers to other requests are skipped on a connection.
	maxStrayAnswers = 2
	// sweepInterval is how often connections past their idle limit are closed.
	sweepInterval = time.Second
)

// Reasons why a request was not sent.
var (
	ErrConnectionLimit = errors.New("this host's share of connections to the target is in use")
	errClosed          = errors.New("the pool is closed")
)

// Request is a request to a target.
type Request struct {
	Method string
	URI    string // as the caller sent it
	Host   string
	Header http.Header
	Body   []byte
	// ID, unless empty, must equal what ResponseID returns for the answer's header.
	// Other answers are skipped.
	ID         string
	ResponseID func(http.Header) string
	// KeepAlive returns the idle time that an answer announces, or 0 if it announces none.
	KeepAlive func(http.Header) time.Duration
	// MaxIdle bounds how long a reused connection may have been idle; 0: no further bound.
	MaxIdle time.Duration
	// NewConn keeps the request off connections that have carried others. A request with the
	// ID of an earlier one needs it, because a copy of that one's answer can't be told apart.
	NewConn bool
	// Check, unless nil, is called immediately before the request is sent, which it prevents
	// with an error.
	Check func() error
	// Stop, unless nil, asks the target to stop when it ends: the sending side of the connection is
	// closed, and what the target still sends is read. The end of the answer, or of the
	// connection, then shows that it has stopped.
	Stop context.Context
	// Heard, unless nil, is called with the head of the answer and of interim answers before
	// it.
	Heard func(status int, h http.Header)
}

// Pool holds the connections to all targets.
type Pool struct {
	mu      sync.Mutex
	targets map[string]*targetConns
	closed  bool
	done    chan struct{}
	wait    sync.WaitGroup
}

// targetConns holds the connections to one target.
type targetConns struct {
	idle []*conn // most recently used last
	open int     // number of connections that are idle, busy or being dialled
}

// New returns an empty pool.
func New() *Pool {
	p := &Pool{targets: map[string]*targetConns{}, done: make(chan struct{})}
	p.wait.Go(func() {
		tick := time.NewTicker(sweepInterval)
		defer tick.Stop()
		for {
			select {
			case <-p.done:
				return
			case <-tick.C:
				p.sweep(time.Now())
			}
		}
	})
	return p
}

// sweep closes connections that have been idle for longer than their limit.
func (p *Pool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, e := range p.targets {
		kept := e.idle[:0]
		for _, c := range e.idle {
			if now.Sub(c.idleSince) < c.idleLimit {
				kept = append(kept, c)
				continue
			}
			c.close()
			e.open--
		}
		clear(e.idle[len(kept):])
		e.idle = kept
		if e.open == 0 {
			delete(p.targets, id)
		}
	}
}

// OpenConnections returns the number of connections to a target.
func (p *Pool) OpenConnections(target string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.targets[target]; e != nil {
		return e.open
	}
	return 0
}

// acquire returns an idle connection. It returns nil if there is none but the limit allows
// another one, which it counts as open and the caller must dial.
func (p *Pool) acquire(target string, limit int, req *Request) (*conn, error) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errClosed
	}
	e := p.targets[target]
	if e == nil {
		e = &targetConns{}
		p.targets[target] = e
	}
	for i := len(e.idle) - 1; i >= 0 && !req.NewConn; i-- {
		c := e.idle[i]
		if now.Before(c.heldUntil) {
			continue
		}
		e.idle = slices.Delete(e.idle, i, i+1)
		age := now.Sub(c.idleSince)
		if age < c.idleLimit && (req.MaxIdle == 0 || age < req.MaxIdle) && c.isClean() {
			return c, nil
		}
		c.close()
		e.open--
	}
	for e.open >= limit && len(e.idle) > 0 { // none of them can be used now
		e.idle[0].close()
		e.idle = slices.Delete(e.idle, 0, 1)
		e.open--
	}
	if e.open >= limit {
		return nil, ErrConnectionLimit
	}
	e.open++
	return nil, nil
}

// release makes a connection available for reuse, or closes it.
func (p *Pool) release(target string, c *conn, reuse bool, idleLimit time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.targets[target]
	if e == nil {
		c.close()
		return
	}
	if reuse && !p.closed && idleLimit > 0 {
		c.idleSince, c.idleLimit, c.used = time.Now(), idleLimit, true
		e.idle = append(e.idle, c)
		return
	}
	c.close()
	e.open--
}

// dialFailed uncounts a connection that acquire has counted and that couldn't be dialled.
func (p *Pool) dialFailed(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.targets[target]; e != nil {
		e.open--
	}
}

// CloseIdle closes the idle connections to a target, such as one that has departed.
func (p *Pool) CloseIdle(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.targets[target]; e != nil {
		for _, c := range e.idle {
			c.close()
			e.open--
		}
		e.idle = nil
	}
}

// Close closes idle connections. Busy ones are closed when they are released.
func (p *Pool) Close() {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return
	}
	p.closed = true
	for _, e := range p.targets {
		for _, c := range e.idle {
			c.close()
			e.open--
		}
		e.idle = nil
	}
	p.mu.Unlock()
	close(p.done)
	p.wait.Wait()
}

// Do sends a request over one of at most limit connections to a target and returns when the
// head of the answer is read. The end of ctx closes the connection, also while the body of
// the answer is read. Errors are of type *SendError.
func (p *Pool) Do(ctx context.Context, target, address string, limit int, req Request) (*Answer, error) {
	c, err := p.acquire(target, limit, &req)
	if err != nil {
		return nil, &SendError{Err: err}
	}
	if c == nil {
		dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
		c, err = dial(dialCtx, address)
		cancel()
		if err != nil {
			p.dialFailed(target)
			return nil, &SendError{Err: fmt.Errorf("dial %s: %w", address, err)}
		}
		connectionsOpened.Add(1)
	}
	err = ctx.Err()
	if err == nil && req.Check != nil {
		err = req.Check()
	}
	if err != nil {
		p.release(target, c, c.used, c.idleLimit-time.Since(c.idleSince))
		return nil, &SendError{Err: err}
	}
	stop := context.AfterFunc(ctx, c.close)
	if req.Stop != nil {
		detach, detachStop := stop, context.AfterFunc(req.Stop, c.askToStop)
		stop = func() bool {
			wasNotAsked := detachStop()
			return detach() && wasNotAsked
		}
	}
	a, failure := p.exchange(c, target, req, stop)
	if failure != nil {
		stop()
		p.release(target, c, false, 0)
		if ctx.Err() != nil {
			failure.Err = ctx.Err()
		}
		return nil, failure
	}
	return a, nil
}

// exchange writes a request and reads the head of its answer. The answer takes over the
// connection; after an error the caller closes it.
func (p *Pool) exchange(c *conn, target string, req Request, stop func() bool) (*Answer, *SendError) {
	head := req.head()
	a := &Answer{conn: c, pool: p, target: target, stop: stop}
	used := c.used
	if len(req.Body) < asyncBodySize {
		if n, err := c.write(head, req.Body); err != nil {
			return nil, &SendError{Sent: n > 0, Stale: used, RoundTrip: c.roundTrip, Err: err}
		}
	} else {
		a.written, a.writeFailed = make(chan struct{}), new(atomic.Bool)
		written, writeFailed := a.written, a.writeFailed
		// This doesn't outlive the connection, because a connection whose write is
		// unfinished is closed and never reused.
		c.writing.Store(true)
		go func() {
			defer close(written)
			defer c.writing.Store(false)
			if _, err := c.write(head, req.Body); err != nil {
				writeFailed.Store(true)
			}
		}()
	}
	c.head.limited, c.head.left = true, maxHeadBytes
	for range maxStrayAnswers + 1 {
		resp, err := readHead(c, &req) //nolint:bodyclose // the connection is released or closed as a whole
		if err != nil {
			if c.head.left == 0 {
				err = errHeadTooLong // the parser reports what is left of a line as malformed
			}
			return nil, &SendError{Sent: true, Stale: used && isConnectionEnd(err), RoundTrip: c.roundTrip, Err: quote.Strip(err)}
		}
		if req.ID != "" && req.ResponseID(resp.Header) != req.ID {
			// This is the answer to an earlier request; the right one may follow.
			strayAnswers.Add(1)
			if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, readBufferSize)); err != nil {
				return nil, &SendError{Sent: true, Err: fmt.Errorf("answer to another request: %w", quote.Strip(err))}
			}
			used = true
			c.idleLimit = -1 // must not be reused
			continue
		}
		req.heard(resp)
		c.head.limited = false
		a.Status, a.Header, a.Length, a.body = resp.StatusCode, resp.Header, resp.ContentLength, resp.Body
		a.IsUnframed = resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
		a.IsFirst = !used
		a.reusable = !resp.Close && c.idleLimit >= 0
		a.idleLimit = defaultIdleLimit
		if req.KeepAlive != nil {
			if d := req.KeepAlive(resp.Header); d > 0 {
				a.idleLimit = max(d-idleMargin, d/4)
			}
		}
		return a, nil
	}
	return nil, &SendError{Sent: true, Err: errors.New("got only answers to other requests")}
}

// isConnectionEnd reports whether reading failed because the connection ended or broke, and
// not because of malformed bytes.
func isConnectionEnd(err error) bool {
	var op interface{ Timeout() bool }
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &op)
}

// readHead reads the head of an answer and skips interim (1xx) responses.
func readHead(c *conn, req *Request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: req.Method})
		if err != nil {
			return nil, err
		}
		if err := checkStatusLine(resp); err != nil {
			invalidHeads.Add(1)
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		req.heard(resp)
	}
}

// maxStatus is the highest status that HTTP defines a class for.
const maxStatus = 599

// checkStatusLine returns an error for a status line that http.ReadResponse accepts and that
// isn't one of a response in HTTP/1.0 or HTTP/1.1 to a request that asked for no other
// protocol.
func checkStatusLine(resp *http.Response) error {
	if resp.ProtoMajor != 1 || resp.ProtoMinor > 1 {
		return fmt.Errorf("response in version %d.%d of HTTP", resp.ProtoMajor, resp.ProtoMinor)
	}
	if resp.StatusCode < http.StatusContinue || resp.StatusCode > maxStatus || resp.StatusCode == http.StatusSwitchingProtocols {
		return fmt.Errorf("response with the invalid status %03d", resp.StatusCode)
	}
	return nil
}

// heard passes the head of an answer on.
func (r *Request) heard(resp *http.Response) {
	if r.Heard != nil {
		r.Heard(resp.StatusCode, resp.Header)
	}
}

// head returns the request line and headers.
func (r *Request) head() []byte {
	var b bytes.Buffer
	b.Grow(1 << 10)
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.URI)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	// Names and values come from a parsed header, so they hold no line ends.
	_ = r.Header.Write(&b) // writes to a buffer don't fail
	b.WriteString("\r\n")
	return b.Bytes()
}
