package drain

import (
	"context"
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
	isClosing atomic.Bool
	setUp     sync.Once

	mu        sync.Mutex
	listeners []*listener
	conns     map[*conn]struct{}
	empty     chan struct{} // closed when a closing server has no connection left
}

// NewServer returns a server that sets the ConnState of s, which must be nil, and wraps its
// Handler.
func NewServer(s *http.Server) *Server {
	out := &Server{Server: s, conns: map[*conn]struct{}{}, empty: make(chan struct{})}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		tracked, ok := c.(*conn)
		if !ok {
			return
		}
		switch state {
		case http.StateIdle:
			tracked.setIdle(true)
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
			c.setIdle(false)
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
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, server: l.server}
	c.isIdle.Store(true)
	l.server.add(c)
	return c, nil
}

// conn is a connection whose reads time out while it is idle and its server is closing.
type conn struct {
	net.Conn
	server *Server
	isIdle atomic.Bool // no byte was read since the last response

	mu           sync.Mutex
	readDeadline time.Time // as set by the server
	lingerUntil  time.Time // limits readDeadline while set
}

// NetConn returns the connection as it was accepted.
func (c *conn) NetConn() net.Conn { return c.Conn }

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.setIdle(false)
	}
	return n, err
}

func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	return c.applyDeadline()
}

func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

func (c *conn) Close() error {
	c.server.remove(c)
	return c.Conn.Close()
}

func (c *conn) setIdle(isIdle bool) {
	if c.isIdle.CompareAndSwap(!isIdle, isIdle) {
		c.update()
	}
}

// update limits the read deadline if the connection is idle and its server is closing, and
// restores it otherwise.
func (c *conn) update() {
	c.mu.Lock()
	defer c.mu.Unlock()
	lingers := c.isIdle.Load() && c.server.isClosing.Load()
	if lingers == !c.lingerUntil.IsZero() {
		return
	}
	c.lingerUntil = time.Time{}
	if lingers {
		c.lingerUntil = time.Now().Add(lingerTime)
	}
	_ = c.applyDeadline() // it fails only on a closed connection
}

func (c *conn) applyDeadline() error {
	deadline := c.readDeadline
	if !c.lingerUntil.IsZero() && (deadline.IsZero() || deadline.After(c.lingerUntil)) {
		deadline = c.lingerUntil
	}
	return c.Conn.SetReadDeadline(deadline)
}
