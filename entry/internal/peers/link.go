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

var (
	errClosed = errors.New("the transport is closed")
	errSilent = errors.New("the connection is silent")
)

// link is the connection to one peer address, dialled on demand.
type link struct {
	transport   *Transport
	address     string
	lastFrameAt atomic.Int64 // when the last frame arrived or the connection was made

	mu           sync.Mutex
	conn         *websocket.Conn
	dialDone     chan struct{}          // closed when the running dial has ended; nil: none runs
	dialErr      error                  // of the last dial
	dialErrUntil time.Time              // until then calls fail with dialErr
	pending      map[uint64]pendingCall // by Seq
	probed       *websocket.Conn        // the connection that is being probed; nil: none
}

// pendingCall is a call that waits for its reply.
type pendingCall struct {
	conn  *websocket.Conn
	reply chan callResult // buffered, so that delivery doesn't block
}

type callResult struct {
	envelope envelope
	err      error
}

// connect returns the connection and dials one if there is none.
func (l *link) connect(ctx context.Context) (*websocket.Conn, error) {
	for {
		l.mu.Lock()
		if l.conn != nil {
			conn := l.conn
			l.mu.Unlock()
			return conn, nil
		}
		if l.dialErr != nil && time.Now().Before(l.dialErrUntil) {
			err := l.dialErr
			l.mu.Unlock()
			return nil, err
		}
		if l.dialDone == nil {
			dialDone := make(chan struct{})
			l.dialDone = dialDone
			if !l.transport.start(func() { l.dial(dialDone) }) {
				l.dialDone = nil
				l.mu.Unlock()
				return nil, errClosed
			}
		}
		dialDone := l.dialDone
		l.mu.Unlock()
		select {
		case <-dialDone:
		case <-ctx.Done():
			return nil, fmt.Errorf("dial peer %s: %w", l.address, ctx.Err())
		}
	}
}

// dial makes a connection for all waiting callers, so it doesn't depend on the
// context of any of them.
func (l *link) dial(dialDone chan struct{}) {
	ctx, cancel := context.WithTimeout(l.transport.ctx, l.transport.opts.WriteTimeout)
	defer cancel()
	conn, resp, err := websocket.Dial(ctx, "http://"+l.address+"/v1/peer", &websocket.DialOptions{ //nolint:bodyclose // Dial leaves no body to close
		HTTPClient:   l.transport.opts.Client,
		HTTPHeader:   http.Header{"Authorization": {"Bearer " + l.transport.opts.Key}},
		Subprotocols: []string{Subprotocol},
	})
	if err == nil && conn.Subprotocol() != Subprotocol {
		_ = conn.CloseNow()
		err = fmt.Errorf("peer selected subprotocol %q, want %s", conn.Subprotocol(), Subprotocol)
	}
	if err != nil && resp != nil && resp.StatusCode == http.StatusUnauthorized {
		err = errors.New("the peer refused the peer key")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	defer close(dialDone)
	l.dialDone = nil
	if err != nil {
		l.dialErr, l.dialErrUntil = fmt.Errorf("dial peer %s: %w", l.address, err), time.Now().Add(l.transport.opts.RedialDelay)
		return
	}
	l.conn, l.dialErr = conn, nil
	l.lastFrameAt.Store(time.Now().UnixNano())
	if !l.transport.start(func() { l.removeConn(conn, l.transport.readFrames(conn, l)) }) {
		_ = conn.CloseNow()
		l.conn = nil
		l.dialErr, l.dialErrUntil = errClosed, time.Now().Add(time.Hour)
	}
}

// removeConn removes a connection that has ended and fails its pending calls.
func (l *link) removeConn(conn *websocket.Conn, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == conn {
		l.conn = nil
	}
	l.failPending(conn, err)
}

// failPending fails the calls that wait on a connection. The caller holds l.mu.
func (l *link) failPending(conn *websocket.Conn, err error) {
	for seq, p := range l.pending {
		if p.conn == conn {
			delete(l.pending, seq)
			p.reply <- callResult{err: fmt.Errorf("connection to peer %s ended: %w", l.address, err)}
		}
	}
}

// probe replaces a connection on which the peer doesn't answer: it may have gone silent while new
// ones work. No other call probes it meanwhile.
func (l *link) probe(conn *websocket.Conn) {
	l.mu.Lock()
	if l.probed == conn || l.conn != conn {
		l.mu.Unlock()
		return
	}
	l.probed = conn
	l.mu.Unlock()
	began := time.Now()
	ctx, cancel := context.WithTimeout(l.transport.ctx, l.transport.opts.ProbeTimeout)
	err := conn.Ping(ctx)
	cancel()
	l.mu.Lock()
	l.probed = nil
	isSilent := err != nil && l.conn == conn && l.lastFrameAt.Load() < began.UnixNano()
	if isSilent {
		l.conn = nil
		l.failPending(conn, errSilent)
	}
	l.mu.Unlock()
	if isSilent {
		silentLinks.Add(1)
		_ = conn.CloseNow()
	}
}

// deliverReply passes a reply to its call; false if the call no longer waits.
func (l *link) deliverReply(e envelope) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.pending[e.ReplyTo]
	if ok {
		delete(l.pending, e.ReplyTo)
		p.reply <- callResult{envelope: e}
	}
	return ok
}

// call sends a request over the link and waits for the reply of the host called
// name. If the call times out after SilenceTimeout without any frame, it closes
// the connection.
func (l *link) call(ctx context.Context, name, kind string, body, reply any) error {
	conn, err := l.connect(ctx)
	if err != nil {
		return err
	}
	seq := l.transport.seq.Add(1)
	replyCh := make(chan callResult, 1)
	l.mu.Lock()
	l.pending[seq] = pendingCall{conn: conn, reply: replyCh}
	connEnded := l.conn != conn
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.pending, seq)
		l.mu.Unlock()
	}()
	if connEnded {
		return fmt.Errorf("connection to peer %s ended", l.address)
	}
	sentAt := time.Now()
	if err := l.transport.writeFrame(ctx, conn, envelope{Kind: kind, Seq: seq}, body); err != nil {
		return err
	}
	probe := time.AfterFunc(l.transport.opts.ProbeAfter, func() {
		if l.lastFrameAt.Load() < sentAt.UnixNano() {
			l.transport.start(func() { l.probe(conn) })
		}
	})
	defer probe.Stop()
	select {
	case r := <-replyCh:
		return l.decodeReply(r, name, kind, reply)
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) && time.Since(time.Unix(0, l.lastFrameAt.Load())) > l.transport.opts.SilenceTimeout {
			_ = conn.CloseNow()
		}
		return fmt.Errorf("call %s to %s: %w", kind, name, ctx.Err())
	}
}

// decodeReply checks the sender of a reply and decodes its body into reply.
func (l *link) decodeReply(r callResult, name, kind string, reply any) error {
	switch {
	case r.err != nil:
		return r.err
	case r.envelope.From != name:
		// The address now belongs to another host.
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
