package peers

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"expvar"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"
	"golang.org/x/time/rate"

	"chivepost/entry/internal/guard"
	"chivepost/share/hosts"
)

var (
	bytesByKind   = expvar.NewMap("peer_bytes")
	lateReplies   = expvar.NewInt("peer_late_replies_count")
	silentLinks   = expvar.NewInt("peer_connections_silent_count")
	badFrames     = expvar.NewInt("peer_bad_frames_count")
	delayedFrames = expvar.NewInt("peer_held_frames_count")
)

// maxHeaderBytes limits the size of response headers.
const maxHeaderBytes = 64 << 10

// Handler handles a call or message from a peer. The result of a call is sent as
// its reply; that of a message is dropped.
type Handler func(ctx context.Context, from string, incarnation uint64, body []byte) (any, error)

// Options sets up a Transport. Zero values select the defaults given.
type Options struct {
	Host        string
	Incarnation uint64
	// Key is the secret shared by all peers.
	Key string
	// MaxFrame is the maximum size of a frame in bytes (4 MiB, for configurations).
	MaxFrame int64
	// RatePerSecond and Burst limit the frames read from one connection (2000 each).
	// Frames above the rate are delayed, not dropped.
	RatePerSecond int
	Burst         int
	// MaxHandlers is the number of calls of one connection handled at once (64).
	MaxHandlers int
	// WriteTimeout limits the time to write a frame or to dial (2 s).
	WriteTimeout time.Duration
	// SilenceTimeout is the time without a frame after which a call that times out ends
	// the connection, since the other end may have vanished (3 s).
	SilenceTimeout time.Duration
	// ProbeAfter is the time without a frame after which a waiting call probes the connection, and
	// ProbeTimeout the time for the answer (300 ms, 500 ms): both together are less than a call
	// usually may take, and within a quarter of the shortest ContactMs.
	ProbeAfter, ProbeTimeout time.Duration
	// Repeatable are the kinds of calls that are made once more if their connection turns out to be
	// silent. They have the same effect if the peer gets them twice.
	Repeatable []string
	// RedialDelay is the time after a failed dial during which calls fail at once (100 ms).
	RedialDelay time.Duration
	// Client dials the connections.
	Client *http.Client
}

func (o Options) withDefaults() Options {
	if o.MaxFrame == 0 {
		o.MaxFrame = 4 << 20
	}
	if o.RatePerSecond == 0 {
		o.RatePerSecond = 2000
	}
	if o.Burst == 0 {
		o.Burst = o.RatePerSecond
	}
	if o.MaxHandlers == 0 {
		o.MaxHandlers = 64
	}
	if o.WriteTimeout == 0 {
		o.WriteTimeout = 2 * time.Second
	}
	if o.SilenceTimeout == 0 {
		o.SilenceTimeout = 3 * time.Second
	}
	if o.ProbeAfter == 0 {
		o.ProbeAfter = 300 * time.Millisecond
	}
	if o.ProbeTimeout == 0 {
		o.ProbeTimeout = 500 * time.Millisecond
	}
	if o.RedialDelay == 0 {
		o.RedialDelay = 100 * time.Millisecond
	}
	if o.Client == nil {
		o.Client = &http.Client{Transport: &http.Transport{ForceAttemptHTTP2: false, MaxResponseHeaderBytes: maxHeaderBytes}}
	}
	return o
}

// Transport is one entry host's end of the connections to its peers. It sends its
// calls over one connection per peer, dialled on demand, and serves the calls of
// peers on the connections that they have dialled.
type Transport struct {
	opts     Options
	logger   logr.Logger
	logLimit *rate.Limiter // limits the log lines that peers can cause

	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	seq        atomic.Uint64

	mu       sync.Mutex
	handlers map[string]Handler
	links    map[string]*link // by peer address
	closed   bool
}

// New returns a transport. It uses no network before the first call or connection.
func New(opts Options, logger logr.Logger) *Transport {
	ctx, cancel := context.WithCancel(context.Background())
	return &Transport{
		opts: opts.withDefaults(), logger: logger, logLimit: rate.NewLimiter(rate.Every(time.Second), 5),
		ctx: ctx, cancel: cancel, handlers: map[string]Handler{}, links: map[string]*link{},
	}
}

// Handle sets the handler of a kind of message.
func (t *Transport) Handle(kind string, h func(ctx context.Context, from string, incarnation uint64, body []byte) (any, error)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.handlers[kind] = h
}

// Close ends all connections and waits for handlers to return.
func (t *Transport) Close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.cancel()
	t.goroutines.Wait()
}

// start runs f in a goroutine; false if the transport is closed.
func (t *Transport) start(f func()) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.goroutines.Go(f)
	return true
}

// ServeHTTP upgrades a peer's connection and serves it until it ends.
func (t *Transport) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !t.isAuthorized(r) {
		http.Error(w, "the peer key is missing or wrong", http.StatusUnauthorized)
		t.logLimited("connection refused: wrong peer key", "remote", r.RemoteAddr)
		return
	}
	if !offersSubprotocol(r, Subprotocol) {
		http.Error(w, fmt.Sprintf("subprotocol %q not offered; want %s", r.Header.Get("Sec-WebSocket-Protocol"), Subprotocol), http.StatusBadRequest)
		t.logLimited("connection refused: wrong subprotocol", "remote", r.RemoteAddr)
		return
	}
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{Subprotocols: []string{Subprotocol}})
	if err != nil {
		return // Accept has sent an error response
	}
	done := make(chan struct{})
	if !t.start(func() {
		defer close(done)
		_ = t.readFrames(conn, nil) // readFrames has logged the error if the peer is at fault
	}) {
		_ = conn.CloseNow()
		return
	}
	<-done
}

// isAuthorized reports whether a request has the peer key.
func (t *Transport) isAuthorized(r *http.Request) bool {
	// Compare hashes, which have equal lengths, so that the time taken doesn't reveal
	// the length of the key.
	got := sha256.Sum256([]byte(r.Header.Get("Authorization")))
	want := sha256.Sum256([]byte("Bearer " + t.opts.Key))
	return subtle.ConstantTimeCompare(got[:], want[:]) == 1 && t.opts.Key != ""
}

// offersSubprotocol reports whether a request offers the subprotocol.
func offersSubprotocol(r *http.Request, protocol string) bool {
	for _, header := range r.Header.Values("Sec-WebSocket-Protocol") {
		if slices.ContainsFunc(strings.Split(header, ","), func(p string) bool { return strings.TrimSpace(p) == protocol }) {
			return true
		}
	}
	return false
}

// logLimited logs a message caused by a peer, unless there are too many.
func (t *Transport) logLimited(message string, pairs ...any) {
	if t.logLimit.Allow() {
		t.logger.Info(message, pairs...)
	}
}

// readFrames reads and handles frames from a connection until it ends. Replies go
// to the calls of l, which is nil for a connection that a peer has dialled.
func (t *Transport) readFrames(conn *websocket.Conn, l *link) error {
	ctx, cancel := context.WithCancel(t.ctx)
	defer cancel()
	defer func() { _ = conn.CloseNow() }()
	conn.SetReadLimit(t.opts.MaxFrame)
	rateLimit := rate.NewLimiter(rate.Limit(t.opts.RatePerSecond), t.opts.Burst)
	handlerSlots := make(chan struct{}, t.opts.MaxHandlers)
	for {
		kind, data, err := conn.Read(ctx)
		if err != nil {
			if websocket.CloseStatus(err) == websocket.StatusMessageTooBig || errors.Is(err, websocket.ErrMessageTooBig) {
				badFrames.Add(1)
				t.logLimited("connection closed: frame too large", "max_bytes", t.opts.MaxFrame)
			}
			return err
		}
		if l != nil {
			l.lastFrameAt.Store(time.Now().UnixNano())
		}
		if !rateLimit.Allow() {
			delayedFrames.Add(1)
			if err := rateLimit.Wait(ctx); err != nil {
				return err
			}
		}
		e, err := decodeFrame(data)
		if err == nil && kind != websocket.MessageBinary {
			err = errFrame
		}
		if err != nil {
			badFrames.Add(1)
			t.logLimited("connection closed: bad frame", "err", err.Error())
			_ = conn.Close(websocket.StatusPolicyViolation, truncateReason(err.Error()))
			return err
		}
		bytesByKind.Add("in_"+t.counterKind(e.Kind), int64(len(data)))
		if e.ReplyTo != 0 {
			if l == nil || !l.deliverReply(e) {
				lateReplies.Add(1)
			}
			continue
		}
		select {
		case handlerSlots <- struct{}{}:
		case <-ctx.Done():
			return ctx.Err()
		}
		if !t.start(func() {
			defer func() { <-handlerSlots }()
			t.handleFrame(ctx, conn, e)
		}) {
			return context.Canceled
		}
	}
}

// counterKind returns the name under which frames of a kind are counted. Kinds
// without a handler share one, so that a peer can't make the map of counters grow.
func (t *Transport) counterKind(kind string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.handlers[kind]; ok || kind == kindError {
		return kind
	}
	return "other"
}

// truncateReason shortens a reason to fit into a close frame.
func truncateReason(s string) string { return s[:min(len(s), 120)] }

// handleFrame calls the handler of a frame and sends the reply if the frame is a
// call.
func (t *Transport) handleFrame(ctx context.Context, conn *websocket.Conn, e envelope) {
	t.mu.Lock()
	h := t.handlers[e.Kind]
	t.mu.Unlock()
	var reply any
	err := fmt.Errorf("unknown kind %q", e.Kind)
	if h != nil {
		if p := guard.Run(t.logger, "message "+e.Kind, func() { reply, err = h(ctx, e.From, e.Incarnation, e.Body) }); p != nil {
			err = p
		}
	}
	if ctx.Err() != nil {
		return // the connection has ended, which fails the call at the caller
	}
	if e.Seq == 0 {
		if err != nil {
			t.logLimited("message not handled", "kind", e.Kind, "from", e.From, "err", err.Error())
		}
		return
	}
	kind := e.Kind
	if err != nil {
		kind, reply = kindError, errorBody{Message: err.Error()}
	}
	if err := t.writeFrame(ctx, conn, envelope{Kind: kind, ReplyTo: e.Seq}, reply); err != nil && ctx.Err() == nil {
		t.logLimited("reply not sent", "kind", e.Kind, "to", e.From, "err", err.Error())
	}
}

// writeFrame encodes and writes one frame. After an encoding error the connection
// stays usable.
func (t *Transport) writeFrame(ctx context.Context, conn *websocket.Conn, e envelope, body any) error {
	raw, err := cbor.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode body: %w", err)
	}
	e.Version, e.From, e.Incarnation, e.Body = Version, t.opts.Host, t.opts.Incarnation, raw
	data, err := cbor.Marshal(e)
	if err != nil {
		return fmt.Errorf("encode frame: %w", err)
	}
	if int64(len(data)) > t.opts.MaxFrame {
		return fmt.Errorf("frame of %d bytes, want at most %d", len(data), t.opts.MaxFrame)
	}
	// Don't let the caller's context end the write in the middle of a frame, which
	// would break the connection for all calls.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), t.opts.WriteTimeout)
	defer cancel()
	if err := conn.Write(ctx, websocket.MessageBinary, data); err != nil {
		return fmt.Errorf("write frame: %w", err)
	}
	bytesByKind.Add("out_"+e.Kind, int64(len(data)))
	return nil
}

// Call sends body to a peer and decodes its reply into reply, unless that is nil.
// An error of the peer's handler is returned as a *RemoteError.
func (t *Transport) Call(ctx context.Context, to hosts.Host, kind string, body, reply any) error {
	err := t.linkTo(to.PeerAddress).call(ctx, to.Name, kind, body, reply)
	if errors.Is(err, errSilent) && slices.Contains(t.opts.Repeatable, kind) && ctx.Err() == nil {
		err = t.linkTo(to.PeerAddress).call(ctx, to.Name, kind, body, reply)
	}
	return err
}

// Send sends body to a peer without waiting for a reply.
func (t *Transport) Send(ctx context.Context, to hosts.Host, kind string, body any) error {
	l := t.linkTo(to.PeerAddress)
	conn, err := l.connect(ctx)
	if err != nil {
		return err
	}
	return t.writeFrame(ctx, conn, envelope{Kind: kind}, body)
}

// linkTo returns the link to an address and makes one if there is none.
func (t *Transport) linkTo(address string) *link {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.links[address]
	if l == nil {
		l = &link{transport: t, address: address, pending: map[uint64]pendingCall{}}
		t.links[address] = l
	}
	return l
}
