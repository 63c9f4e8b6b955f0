package drain

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// lingerTime is how long an idle connection of a closing server may still send a request, so
// that requests on their way are answered.
const lingerTime = 100 * time.Millisecond

// Server is an HTTP server that answers each request that it has read, also when it shuts
// down.
//
// http.Server.Shutdown closes a connection as idle although the next request was just read
// from it: the state of the connection changes only afterwards. The request is then handled
// with nothing to answer on. Server lets the reads of idle connections time out instead, so
// that a read either returns bytes, which are then answered, or ends the connection.
type Server struct {
	*http.Server
	leaveAt   atomic.Int64 // when connections no longer wait for room, in Unix nanoseconds; 0: never
	isClosing atomic.Bool
	setUp     sync.Once
	limits    Limits

	mu        sync.Mutex
	listeners []*listener
	conns     map[*conn]struct{}
	empty     chan struct{} // closed when a closing server has no connection left
	searched  time.Time     // when idle connections were last selected to be closed
	slowEnded time.Time     // when slow ones were last selected to be ended
	isRoomDue bool          // whether any then made room, or was about to
	freed     chan struct{} // gets a value, if there is room, when a connection is closed
}

// Limits bounds the connections of a Server.
type Limits struct {
	// MaxConns is how many connections may be open at once, hijacked ones excluded; 0 sets no
	// limit. From closeRatio of it on, those that have been idle for longest are closed.
	MaxConns int
	// Timeouts returns how long a client may take to send the header of a request, from its
	// first byte on, and how long a connection may be idle. Zero sets no limit. It takes the
	// place of the timeouts of the http.Server, which can't change; nil leaves those in force.
	Timeouts func() (header, idle time.Duration)
	// HeaderBytes returns how many bytes the header of a request may have; 0 sets no limit other
	// than that of the http.Server, which can't change. nil is the same.
	HeaderBytes func() int
	// OnFull is called when there is no room for n connections, so that requests which wait for
	// their clients can be ended. It reports whether any has been or will soon be.
	OnFull func(n int) bool
}

var (
	idleClosed  = expvar.NewInt("drain_idle_connections_closed_count")
	headersCut  = expvar.NewInt("drain_headers_too_long_count")
	connRefused = expvar.NewInt("drain_connections_refused_count")
	slowClosed  = expvar.NewInt("drain_slow_connections_closed_count")
)

// SetLimits sets the limits. It must be called before Serve.
func (s *Server) SetLimits(l Limits) { s.limits = l }

// NewServer returns a server that sets the ConnState of s, which must be nil, and wraps its
// Handler.
func NewServer(s *http.Server) *Server {
	out := &Server{Server: s, conns: map[*conn]struct{}{}, empty: make(chan struct{}), freed: make(chan struct{}, 1)}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		tracked, ok := c.(*conn)
		if !ok {
			return
		}
		switch state {
		case http.StateIdle:
			tracked.setState(connIdle)
		case http.StateHijacked:
			out.remove(tracked)
		}
	}
	s.Handler = out.track(s.Handler)
	return out
}

type connKey struct{}

// track returns a handler that marks the connection of each request as active. The bytes of
// the request may have been read with those of the one before.
func (s *Server) track(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			c.setState(connActive)
			if c.isEnding.Load() {
				panic(http.ErrAbortHandler) // nothing could be answered, so the request isn't run
			}
		}
		if s.isClosing.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// trackConns gives handlers access to their connection, beside what ConnContext does.
func (s *Server) trackConns() {
	inner := s.ConnContext
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if inner != nil {
			ctx = inner(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, c)
	}
}

// Serve accepts connections from l. It returns http.ErrServerClosed after Shutdown or
// Close.
func (s *Server) Serve(l net.Listener) error {
	tracked := &listener{Listener: l, server: s}
	s.mu.Lock()
	s.listeners = append(s.listeners, tracked)
	s.mu.Unlock()
	s.setUp.Do(s.trackConns)
	err := s.Server.Serve(tracked)
	if s.isClosing.Load() {
		return http.ErrServerClosed
	}
	return err
}

// Shutdown closes the listeners and, after lingerTime, the idle connections. It waits until
// the others are closed too. If ctx ends first, it closes them and returns the error of ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	for _, c := range s.close() {
		c.update()
	}
	select {
	case <-s.empty:
		return s.Server.Shutdown(ctx)
	case <-ctx.Done():
		_ = s.Close() // the error of ctx says more
		return ctx.Err()
	}
}

// close closes the listeners and returns the open connections.
func (s *Server) close() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	isFirst := s.isClosing.CompareAndSwap(false, true)
	for _, l := range s.listeners {
		_ = l.Close() // connections are waited for all the same
	}
	s.listeners = nil
	if isFirst && len(s.conns) == 0 {
		close(s.empty)
	}
	open := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		open = append(open, c)
	}
	return open
}

func (s *Server) add(c *conn) {
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	c.update()
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.conns[c]; !ok {
		return
	}
	delete(s.conns, c)
	select {
	case s.freed <- struct{}{}:
	default:
	}
	if s.isClosing.Load() && len(s.conns) == 0 {
		select {
		case <-s.empty: // a connection was accepted while the listener closed
		default:
			close(s.empty)
		}
	}
}

// listener can be closed more than once: http.Server closes the listeners again whose Accept
// has not returned yet, and a second error is not one of the shutdown.
type listener struct {
	net.Listener
	server *Server
	closed sync.Once
}

func (l *listener) Close() error {
	var err error
	l.closed.Do(func() { err = l.Listener.Close() })
	return err
}

func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if !l.server.makeRoom() {
			connRefused.Add(1)
			_ = inner.Close() // nothing was sent on it
			continue
		}
		c := &conn{Conn: inner, server: l.server, applied: connActive}
		l.server.add(c)
		return c, nil
	}
}
