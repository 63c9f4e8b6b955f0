// Package hedge keeps calls to one server from waiting on connections that have gone silent
// while new ones work. Only a response proves that a connection still works.
package hedge

import (
	"bytes"
	"context"
	"errors"
	"expvar"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"chivepost/share/poll"
)

var (
	hedges       = expvar.NewInt("store_calls_hedged_count")
	poolsDropped = expvar.NewInt("store_connections_suspected_count")
)

const (
	// DefaultBound is the least ContactMs of the deployments: a host in touch has heard from the
	// store within it, and rules with a time bound hold for such a host.
	DefaultBound = 4 * time.Second
	// hedgeShare is the part of the bound after which a call without a response is made once
	// more. With the interval of a second between reads, all connections are known to be silent
	// within 0.32 of the bound, and calls on new ones have the rest.
	hedgeShare = 1.0 / 14
	// staleShare is the part of the bound for which a response proves that the connections work.
	// A call that mustn't be repeated then gets a new one.
	staleShare = 0.5
	// maxFailureBytes and failureTimeout bound the body of a failed call that is read.
	maxFailureBytes = 64 << 10
	failureTimeout  = 50 * time.Millisecond
)

// Options sets up a Transport.
type Options struct {
	// Bound is the age of the newest response up to which the host is in touch with the server; 0:
	// DefaultBound.
	Bound time.Duration
	// MaxResponseBytes is how much of a body is read. A response is held until it is whole.
	MaxResponseBytes int64
	// NewPool returns a transport that makes new connections.
	NewPool func() *http.Transport
}

// Transport sends calls to one server. It implements http.RoundTripper.
type Transport struct {
	opts       Options
	hedgeAfter time.Duration
	staleAfter time.Duration

	mu       sync.Mutex
	pool     *pool
	provenAt time.Time // when the newest call with a response was sent
}

// pool holds connections of which all are suspect once one is found to be silent.
type pool struct {
	transport *http.Transport
	dropped   chan struct{} // closed when the pool is dropped
	next      *pool         // where calls are hedged, nil: none is
}

// New returns a transport without connections.
func New(opts Options) *Transport {
	if opts.Bound <= 0 {
		opts.Bound = DefaultBound
	}
	t := &Transport{
		opts: opts, hedgeAfter: time.Duration(hedgeShare * float64(opts.Bound)), staleAfter: time.Duration(staleShare * float64(opts.Bound)),
		provenAt: time.Now(),
	}
	t.pool = t.makePool()
	return t
}

func (t *Transport) makePool() *pool {
	return &pool{transport: t.opts.NewPool(), dropped: make(chan struct{})}
}

// CloseIdleConnections closes the connections that no call uses.
func (t *Transport) CloseIdleConnections() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pool.transport.CloseIdleConnections()
}

// poolFor returns the pool for a call. One that mustn't be repeated gets a new pool if nothing
// proves that the connections of the present one still work.
func (t *Transport) poolFor(mayRepeat bool, now time.Time) *pool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !mayRepeat && now.Sub(t.provenAt) > t.staleAfter {
		t.replace(t.pool)
	}
	return t.pool
}

// hedgePool returns the pool for the second try of a call: the present one if that of the first
// try has been dropped, else a new one.
func (t *Transport) hedgePool(first *pool) *pool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pool != first {
		return t.pool
	}
	if first.next == nil {
		first.next = t.makePool()
	}
	return first.next
}

// drop replaces a pool of which a connection is silent.
func (t *Transport) drop(p *pool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pool == p {
		poolsDropped.Add(1)
		t.replace(p)
	}
}

// dropHedge drops a pool to which a call was hedged that the first one answered, so that the next
// call is hedged onto a new connection.
func (t *Transport) dropHedge(first, second *pool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pool == first && first.next == second {
		first.next = nil
		second.transport.CloseIdleConnections()
	}
}

// replace makes the calls of a pool go on at another one. The caller holds t.mu.
func (t *Transport) replace(p *pool) {
	if t.pool = p.next; t.pool == nil {
		t.pool = t.makePool()
	}
	close(p.dropped)
	p.transport.CloseIdleConnections()
}

func (t *Transport) recordProof(sentAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if sentAt.After(t.provenAt) {
		t.provenAt = sentAt
	}
}

// outcome is what became of one try of a call.
type outcome struct {
	pool   *pool
	sentAt time.Time
	resp   *http.Response
	err    error
}

// RoundTrip sends a call. If there is no whole response in time, or the connections turn out to be
// silent, a GET is made once more on a new connection, and the first response is returned.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	mayRepeat := req.Method == http.MethodGet
	first := t.poolFor(mayRepeat, time.Now())
	ctx, cancel := context.WithCancel(req.Context())
	defer cancel() // ends the try that is no longer needed, and its connection
	outcomes := make(chan outcome, 2)
	var reused atomic.Bool
	send := func(p *pool, onConn func(httptrace.GotConnInfo)) {
		sentAt := time.Now()
		traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: onConn})
		resp, err := p.whole(req.Clone(traced), t.opts.MaxResponseBytes) //nolint:bodyclose // it is read to its end
		outcomes <- outcome{pool: p, sentAt: sentAt, resp: resp, err: err}
	}
	go send(first, func(info httptrace.GotConnInfo) { reused.Store(info.Reused) })
	left := 1
	var second *pool
	hedge := func() {
		second = t.hedgePool(first)
		hedges.Add(1)
		left++
		go send(second, func(httptrace.GotConnInfo) {})
	}
	timer := time.NewTimer(poll.Wait(req.Context()) + t.hedgeAfter)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			if mayRepeat && second == nil && reused.Load() {
				hedge()
			}
		case <-first.droppedUnless(!mayRepeat || second != nil):
			hedge()
		case <-req.Context().Done():
			if left > 0 && errors.Is(req.Context().Err(), context.DeadlineExceeded) {
				t.drop(first) // it was silent
			}
			return nil, req.Context().Err()
		case o := <-outcomes:
			left--
			switch {
			case o.err == nil:
				t.recordProof(o.sentAt)
				switch second {
				case nil:
				case o.pool:
					t.drop(first)
				default:
					t.dropHedge(first, second)
				}
				return o.resp, nil
			case left == 0:
				return nil, o.err
			}
		}
	}
}

// droppedUnless returns a channel that is closed when the pool is dropped, or nil.
func (p *pool) droppedUnless(ignored bool) <-chan struct{} {
	if ignored {
		return nil
	}
	return p.dropped
}

// whole sends a request and reads the body of the response, since a connection may go silent
// within it.
func (p *pool) whole(req *http.Request, limit int64) (*http.Response, error) {
	resp, err := p.transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		limit = maxFailureBytes
		timer := time.AfterFunc(failureTimeout, func() { _ = resp.Body.Close() }) // ends the read
		defer timer.Stop()
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit))
	_ = resp.Body.Close() // read as far as it is needed
	if err != nil && resp.StatusCode == http.StatusOK {
		return nil, err
	}
	resp.Body = io.NopCloser(bytes.NewReader(body))
	return resp, nil
}
