// Package dialer carries requests to targets over HTTP/1.1. It never repeats a
// request by itself, says whether one may have reached its target, and keeps the
// number of connections to each target within this host's share.
package dialer

import (
	"bytes"
	"context"
	"errors"
	"expvar"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

var (
	opened       = expvar.NewInt("target_connections_opened_count")
	strayAnswers = expvar.NewInt("target_stray_answers_count")
)

const (
	// dialTime bounds the opening of a connection: many round trips between regions.
	dialTime = 700 * time.Millisecond
	// userTimeout ends a connection whose bytes aren't acknowledged: three
	// retransmissions on a link between regions.
	userTimeout = 2 * time.Second
	// probeIdle, probeEvery and probeCount find connections that have gone silent.
	probeIdle  = 2 * time.Second
	probeEvery = time.Second
	probeCount = 2
	// idleDefault is how long a connection lies idle where the target doesn't say.
	idleDefault = 4 * time.Second
	// idleMargin is taken off what the target says: a request must arrive before the
	// target closes.
	idleMargin = 1200 * time.Millisecond
	// maxStray is how many answers to other requests are passed over on a connection.
	maxStray = 2
	// sweepEvery is how often idle connections are looked through.
	sweepEvery = time.Second
)

// Errors of requests that were not sent.
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
	// ID must be echoed by the answer, as Echo returns it, if it isn't empty.
	ID         string
	ResponseID func(http.Header) string
	// KeepAlive returns the idle time that an answer announces; 0 if it doesn't.
	KeepAlive func(http.Header) time.Duration
	// MaxIdle bounds how long the connection used may have lain idle; 0: no bound.
	MaxIdle time.Duration
}

// Pool holds the connections to all targets.
type Pool struct {
	mu      sync.Mutex
	targets map[string]*ends
	closed  bool
	done    chan struct{}
	wait    sync.WaitGroup
}

// ends are the connections to one target.
type ends struct {
	idle []*conn // the last is the one used last
	open int     // idle ones, busy ones and those being dialled
}

// New returns an empty pool.
func New() *Pool {
	p := &Pool{targets: map[string]*ends{}, done: make(chan struct{})}
	p.wait.Go(func() {
		tick := time.NewTicker(sweepEvery)
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

// sweep closes connections that have lain idle for too long.
func (p *Pool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, e := range p.targets {
		kept := e.idle[:0]
		for _, c := range e.idle {
			if now.Sub(c.idleAt) < c.idleMax {
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

// take returns an idle connection, or nil after counting one that the caller dials.
func (p *Pool) take(target string, limit int, maxIdle time.Duration) (*conn, error) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errClosed
	}
	e := p.targets[target]
	if e == nil {
		e = &ends{}
		p.targets[target] = e
	}
	for len(e.idle) > 0 {
		c := e.idle[len(e.idle)-1]
		e.idle[len(e.idle)-1] = nil
		e.idle = e.idle[:len(e.idle)-1]
		age := now.Sub(c.idleAt)
		if age < c.idleMax && (maxIdle == 0 || age < maxIdle) && c.isQuiet() {
			return c, nil
		}
		c.close()
		e.open--
	}
	if e.open >= limit {
		return nil, ErrConnectionLimit
	}
	e.open++
	return nil, nil
}

// put gives a connection back, or closes it.
func (p *Pool) put(target string, c *conn, reuse bool, idleMax time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.targets[target]
	if e == nil {
		c.close()
		return
	}
	if reuse && !p.closed && idleMax > 0 {
		c.idleAt, c.idleMax, c.used = time.Now(), idleMax, true
		e.idle = append(e.idle, c)
		return
	}
	c.close()
	e.open--
}

func (p *Pool) forget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.targets[target]; e != nil {
		e.open--
	}
}

// CloseIdle closes the idle connections to a target that is gone.
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

// Close closes idle connections; busy ones are closed as they are given back.
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

// Do sends a request over one of at most limit connections to a target and
// returns the head of its answer. The end of ctx closes the connection. Errors
// are of type *SendError.
func (p *Pool) Do(ctx context.Context, target, address string, limit int, req Request) (*Answer, error) {
	c, err := p.take(target, limit, req.MaxIdle)
	if err != nil {
		return nil, &SendError{Err: err}
	}
	if c == nil {
		dialCtx, cancel := context.WithTimeout(ctx, dialTime)
		c, err = dial(dialCtx, address)
		cancel()
		if err != nil {
			p.forget(target)
			return nil, &SendError{Err: fmt.Errorf("dial %s: %w", address, err)}
		}
		opened.Add(1)
	}
	if ctx.Err() != nil {
		p.put(target, c, c.used, c.idleMax)
		return nil, &SendError{Err: ctx.Err()}
	}
	stop := context.AfterFunc(ctx, c.close)
	a, failure := p.exchange(c, target, req, stop)
	if failure != nil {
		stop()
		p.put(target, c, false, 0)
		if ctx.Err() != nil {
			failure.Err = ctx.Err()
		}
		return nil, failure
	}
	return a, nil
}

func (p *Pool) exchange(c *conn, target string, req Request, stop func() bool) (*Answer, *SendError) {
	head := req.head()
	a := &Answer{conn: c, pool: p, target: target, stop: stop}
	used := c.used
	if len(req.Body) < asyncBody {
		if n, err := c.write(head, req.Body); err != nil {
			return nil, &SendError{Sent: n > 0, Stale: used, Err: err}
		}
	} else {
		a.written, a.failed = make(chan struct{}), new(atomic.Bool)
		written, failed := a.written, a.failed
		// The end of the connection ends this, and whoever gives it back closes it
		// unless the writing is over.
		go func() {
			defer close(written)
			if _, err := c.write(head, req.Body); err != nil {
				failed.Store(true)
			}
		}()
	}
	for range maxStray + 1 {
		resp, err := readHead(c, req.Method) //nolint:bodyclose // the connection is given back or closed as a whole
		if err != nil {
			return nil, &SendError{Sent: true, Stale: used && isEnd(err), Err: err}
		}
		if id := ""; req.ID != "" {
			if id = req.ResponseID(resp.Header); id != req.ID {
				// An answer to an earlier request; this one's may follow.
				strayAnswers.Add(1)
				if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, readBuffer)); err != nil {
					return nil, &SendError{Sent: true, Err: fmt.Errorf("answer to request %q: %w", id, err)}
				}
				used = true
				c.idleMax = -1 // something is odd: not used again
				continue
			}
		}
		a.Status, a.Header, a.Length, a.body = resp.StatusCode, resp.Header, resp.ContentLength, resp.Body
		a.reusable = !resp.Close && c.idleMax >= 0
		a.keepFor = idleDefault
		if req.KeepAlive != nil {
			if d := req.KeepAlive(resp.Header); d > 0 {
				a.keepFor = max(d-idleMargin, d/4)
			}
		}
		return a, nil
	}
	return nil, &SendError{Sent: true, Err: errors.New("answers to other requests only")}
}

// isEnd reports whether the connection ended, as against bytes that are no answer.
func isEnd(err error) bool {
	var op interface{ Timeout() bool }
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &op)
}

// readHead reads the head of an answer, passing over interim ones.
func readHead(c *conn, method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
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
	_ = r.Header.Write(&b) // a buffer doesn't fail
	b.WriteString("\r\n")
	return b.Bytes()
}
