package peers

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
)

var errClosed = errors.New("the transport is closed")

// link is the connection to one peer address, made on demand.
type link struct {
	t       *Transport
	address string
	heard   atomic.Int64 // when the last frame came or the connection was made

	mu          sync.Mutex
	conn        *websocket.Conn
	pendingDial chan struct{} // closed when the dial under way has ended
	failed      error         // of the last dial
	until       time.Time     // until when failed is the answer
	pending     map[uint64]pendingCall
}

type pendingCall struct {
	conn   *websocket.Conn
	answer chan result // of size 1
}

type result struct {
	envelope envelope
	err      error
}

// connect returns the connection, and makes one if there is none.
func (l *link) connect(ctx context.Context) (*websocket.Conn, error) {
	for {
		l.mu.Lock()
		if l.conn != nil {
			conn := l.conn
			l.mu.Unlock()
			return conn, nil
		}
		if l.failed != nil && time.Now().Before(l.until) {
			err := l.failed
			l.mu.Unlock()
			return nil, err
		}
		if l.pendingDial == nil {
			done := make(chan struct{})
			l.pendingDial = done
			if !l.t.start(func() { l.dial(done) }) {
				l.pendingDial = nil
				l.mu.Unlock()
				return nil, errClosed
			}
		}
		done := l.pendingDial
		l.mu.Unlock()
		select {
		case <-done:
		case <-ctx.Done():
			return nil, fmt.Errorf("dial peer %s: %w", l.address, ctx.Err())
		}
	}
}

// dial makes a connection for all callers that wait, so it doesn't end with the
// context of any of them.
func (l *link) dial(done chan struct{}) {
	ctx, cancel := context.WithTimeout(l.t.ctx, l.t.opts.WriteTimeout)
	defer cancel()
	conn, resp, err := websocket.Dial(ctx, "http://"+l.address+"/v1/peer", &websocket.DialOptions{ //nolint:bodyclose // Dial leaves no body to close
		HTTPClient:   l.t.opts.Client,
		HTTPHeader:   http.Header{"Authorization": {"Bearer " + l.t.opts.Key}},
		Subprotocols: []string{Subprotocol},
	})
	if err == nil && conn.Subprotocol() != Subprotocol {
		_ = conn.CloseNow()
		err = fmt.Errorf("peer speaks subprotocol %q, want %s", conn.Subprotocol(), Subprotocol)
	}
	if err != nil && resp != nil && resp.StatusCode == http.StatusUnauthorized {
		err = errors.New("the peer refused the peer key")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	defer close(done)
	l.pendingDial = nil
	if err != nil {
		l.failed, l.until = fmt.Errorf("dial peer %s: %w", l.address, err), time.Now().Add(l.t.opts.RedialDelay)
		return
	}
	l.conn, l.failed = conn, nil
	l.heard.Store(time.Now().UnixNano())
	if !l.t.start(func() { l.drop(conn, l.t.read(conn, l)) }) {
		_ = conn.CloseNow()
		l.conn = nil
		l.failed, l.until = errClosed, time.Now().Add(time.Hour)
	}
}

// drop forgets a connection that has ended and fails the calls made over it.
func (l *link) drop(conn *websocket.Conn, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == conn {
		l.conn = nil
	}
	for seq, p := range l.pending {
		if p.conn == conn {
			delete(l.pending, seq)
			p.answer <- result{err: fmt.Errorf("connection to peer %s ended: %w", l.address, err)}
		}
	}
}

// reply hands an answer to its call; false if nobody waits for it any more.
func (l *link) reply(e envelope) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.pending[e.ReplyTo]
	if ok {
		delete(l.pending, e.ReplyTo)
		p.answer <- result{envelope: e}
	}
	return ok
}

func (l *link) call(ctx context.Context, name, kind string, body, reply any) error {
	conn, err := l.connect(ctx)
	if err != nil {
		return err
	}
	seq := l.t.seq.Add(1)
	answer := make(chan result, 1)
	l.mu.Lock()
	l.pending[seq] = pendingCall{conn: conn, answer: answer}
	gone := l.conn != conn
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.pending, seq)
		l.mu.Unlock()
	}()
	if gone {
		return fmt.Errorf("connection to peer %s ended", l.address)
	}
	if err := l.t.write(ctx, conn, envelope{Kind: kind, Seq: seq}, body); err != nil {
		return err
	}
	select {
	case r := <-answer:
		return l.take(r, name, kind, reply)
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) && time.Since(time.Unix(0, l.heard.Load())) > l.t.opts.SilenceTimeout {
			_ = conn.CloseNow()
		}
		return fmt.Errorf("call %s to %s: %w", kind, name, ctx.Err())
	}
}

func (l *link) take(r result, name, kind string, reply any) error {
	switch {
	case r.err != nil:
		return r.err
	case r.envelope.From != name:
		// The address has passed to another host.
		return fmt.Errorf("peer %s answered as %s, want %s", l.address, r.envelope.From, name)
	case r.envelope.Kind == kindError:
		var body errorBody
		if err := Decode(r.envelope.Body, &body); err != nil {
			return err
		}
		return &RemoteError{Kind: kind, Message: body.Message}
	case reply == nil:
		return nil
	default:
		return Decode(r.envelope.Body, reply)
	}
}
