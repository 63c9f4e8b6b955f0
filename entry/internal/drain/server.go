package drain

import (
	"cmp"
	"context"
	"errors"
	"expvar"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
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

const (
	// closeRatio is the part of MaxConns from which on idle connections are closed, so that
	// there is room while they linger.
	closeRatio = 0.875
	// closeBatchRatio is how many are closed at once at least, as a part of MaxConns, since
	// each selection looks at all connections. Selections are searchInterval apart.
	closeBatchRatio = 1.0 / 32
	searchInterval  = 10 * time.Millisecond
	// roomTimeout is how long a new connection waits for room before it is closed, and
	// maxRoomTimeout if others are about to make room. Later ones wait in the kernel meanwhile, in
	// the order of their arrival. roomInterval is the time between two attempts.
	roomTimeout    = 250 * time.Millisecond
	maxRoomTimeout = 3 * time.Second
	roomInterval   = 5 * time.Millisecond
	// Without idle connections, those make room that have sent the header of a request for
	// slowHeaderTime, or whose client has taken nothing of a response for slowWriteTime.
	slowHeaderTime = 200 * time.Millisecond
	slowWriteTime  = time.Second
	// minWaitTime is how long a connection must have waited for its client to be one of those that
	// may soon make room.
	minWaitTime = 50 * time.Millisecond
	// writeBlock is how much is written at once.
	writeBlock = 32 << 10
)

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

// leaveRoomTime is how long connections wait for room once the host leaves.
const leaveRoomTime = 150 * time.Millisecond

// Leave gives the connections that wait for room that of all idle and slow ones, and ends the wait of
// later ones, before Shutdown closes the listeners. What waits to be accepted then would be reset, and
// callers have other hosts.
func (s *Server) Leave() {
	s.leaveAt.Store(time.Now().Add(leaveRoomTime).UnixNano())
	if s.limits.MaxConns <= 0 {
		return
	}
	s.mu.Lock()
	isFull := len(s.conns) >= s.limits.MaxConns
	var idle []*conn
	for c := range s.conns {
		if connState(c.state.Load()) == connIdle {
			idle = append(idle, c)
		}
	}
	s.mu.Unlock()
	if !isFull {
		return
	}
	slow, _ := s.selectSlow(s.limits.MaxConns)
	for _, c := range slow {
		c.endSlow()
	}
	for _, c := range idle {
		c.closeIdle()
	}
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

// makeRoom closes the connections that are of the least use if few more may be opened, and reports
// whether there is room for one.
func (s *Server) makeRoom() bool {
	if s.limits.MaxConns <= 0 {
		return true
	}
	began := time.Now()
	timeout := roomTimeout
	for {
		open, closing, longestIdle := s.selectIdle()
		for _, c := range longestIdle {
			c.closeIdle()
		}
		if open < s.limits.MaxConns || s.isClosing.Load() {
			return true
		}
		if open-closing-len(longestIdle) >= s.limits.MaxConns && s.endSlow() {
			timeout = maxRoomTimeout
		}
		if at := s.leaveAt.Load(); at != 0 && time.Now().UnixNano() >= at {
			return false
		}
		wait := time.NewTimer(roomInterval)
		select {
		case <-s.freed:
			wait.Stop()
		case <-wait.C:
			if time.Since(began) >= timeout {
				return false
			}
		}
	}
}

// endSlow ends connections that wait for their clients, and reports whether any makes room now or
// soon. Those that were just ended have roomInterval to close before others are.
func (s *Server) endSlow() bool {
	n := max(1, int(closeBatchRatio*float64(s.limits.MaxConns)))
	s.mu.Lock()
	isRoomDue, wasEnded := s.isRoomDue, time.Since(s.slowEnded) < roomInterval
	s.mu.Unlock()
	if wasEnded {
		return isRoomDue
	}
	slow, isRoomDue := s.selectSlow(n)
	for _, c := range slow {
		c.endSlow()
	}
	if n -= len(slow); n > 0 && s.limits.OnFull != nil && s.limits.OnFull(n) {
		isRoomDue = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowEnded, s.isRoomDue = time.Now(), isRoomDue
	return isRoomDue
}

// selectSlow returns up to n connections to end because they have waited for their clients for
// longest, and whether there are others that may soon be.
func (s *Server) selectSlow(n int) (slow []*conn, hasMore bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	waiting := map[*conn]time.Duration{}
	for c := range s.conns {
		wait, limit := c.waitTime(now)
		if wait < minWaitTime || c.isEnding.Load() {
			continue
		}
		hasMore = true
		if wait >= limit {
			slow, waiting[c] = append(slow, c), wait
		}
	}
	slices.SortFunc(slow, func(x, y *conn) int { return cmp.Compare(waiting[y], waiting[x]) })
	return slow[:min(n, len(slow))], hasMore
}

// selectIdle returns the number of open connections, how many of them are being closed as idle, and
// those to close because they have been idle for longest.
func (s *Server) selectIdle() (open, closing int, longestIdle []*conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	open = len(s.conns)
	excess := open + 1 - int(closeRatio*float64(s.limits.MaxConns))
	now := time.Now()
	if excess <= 0 || now.Sub(s.searched) < searchInterval && open < s.limits.MaxConns {
		return open, 0, nil
	}
	s.searched = now
	var idle []*conn
	for c := range s.conns {
		switch {
		case c.isClosing.Load():
			closing++
		case connState(c.state.Load()) == connIdle:
			idle = append(idle, c)
		}
	}
	if excess -= closing; excess <= 0 {
		return open, closing, nil
	}
	slices.SortFunc(idle, func(x, y *conn) int { return cmp.Compare(x.since.Load(), y.since.Load()) })
	excess = max(excess, int(closeBatchRatio*float64(s.limits.MaxConns)))
	return open, closing, idle[:min(excess, len(idle))]
}

// connState says what a connection does.
type connState int32

const (
	connIdle   connState = iota // no byte was read since the last response
	connHeader                  // the header of a request arrives
	connActive                  // a request is handled
)

// conn is a connection whose reads time out while it is idle and its server is closing, or
// while it is idle or sends the header of a request for too long.
type conn struct {
	net.Conn
	server    *Server
	state     atomic.Int32 // a connState
	since     atomic.Int64 // when the state began, in Unix nanoseconds
	isClosing atomic.Bool  // it is closed unless a request arrives
	isEnding  atomic.Bool  // it is ended although a request arrives or is answered
	// writeSince is when a write began that hasn't returned, in Unix nanoseconds; 0: there is none.
	writeSince atomic.Int64
	// headerBytes counts the bytes read in state connHeader.
	headerBytes atomic.Int64

	mu           sync.Mutex
	readDeadline time.Time // as set by the server
	lingerUntil  time.Time // limits readDeadline while set
	stateUntil   time.Time // limits readDeadline while set
	applied      connState // for which stateUntil was set
}

// NetConn returns the connection as it was accepted.
func (c *conn) NetConn() net.Conn { return c.Conn }

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.state.CompareAndSwap(int32(connIdle), int32(connHeader)) {
		c.headerBytes.Store(0)
		c.update()
	}
	if n > 0 && connState(c.state.Load()) == connHeader && c.isHeaderTooLong(n) {
		headersCut.Add(1)
		_, _ = io.WriteString(c.Conn, headerTooLong)              // the client may have disconnected
		return 0, &net.OpError{Op: "read", Err: errHeaderTooLong} // which the server doesn't answer
	}
	return n, err
}

// Write writes in blocks, so that a client that reads slowly can be told from one that doesn't.
func (c *conn) Write(p []byte) (n int, err error) {
	defer c.writeSince.Store(0)
	for block := range slices.Chunk(p, writeBlock) {
		c.writeSince.Store(time.Now().UnixNano())
		if c.isEnding.Load() {
			return n, &net.OpError{Op: "write", Net: "tcp", Err: os.ErrDeadlineExceeded}
		}
		written, err := c.Conn.Write(block)
		if n += written; err != nil {
			return n, err
		}
	}
	return n, nil
}

// waitTime returns for how long the connection has waited for its client, and from which time on it
// may be ended.
func (c *conn) waitTime(now time.Time) (wait, limit time.Duration) {
	if since := c.writeSince.Load(); since != 0 {
		return now.Sub(time.Unix(0, since)), slowWriteTime
	}
	if connState(c.state.Load()) == connHeader {
		return now.Sub(time.Unix(0, c.since.Load())), slowHeaderTime
	}
	return 0, 0
}

// endSlow ends the connection if it still waits for its client.
func (c *conn) endSlow() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if wait, limit := c.waitTime(now); wait == 0 || wait < limit {
		return
	}
	if c.writeSince.Load() == 0 && c.applied != connHeader {
		return // the header has just begun, and since is still that of the state before
	}
	if !c.isEnding.CompareAndSwap(false, true) {
		return
	}
	slowClosed.Add(1)
	_ = c.Conn.SetDeadline(now) // it fails only on a closed connection
}

const (
	// headerSlack is what the server may read with a header beyond its end.
	headerSlack   = 4 << 10
	headerTooLong = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

var errHeaderTooLong = errors.New("the header of a request is too long")

// isHeaderTooLong counts bytes of a header and reports whether they are too many.
func (c *conn) isHeaderTooLong(n int) bool {
	sum := c.headerBytes.Add(int64(n))
	if c.server.limits.HeaderBytes == nil {
		return false
	}
	limit := c.server.limits.HeaderBytes()
	return limit > 0 && sum > int64(limit)+headerSlack
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

func (c *conn) setState(s connState) {
	if connState(c.state.Swap(int32(s))) != s {
		c.update()
	}
}

// closeIdle closes the connection after lingerTime unless a request arrives.
func (c *conn) closeIdle() {
	if c.isClosing.CompareAndSwap(false, true) {
		c.update()
	}
}

// update limits the read deadline as the state of the connection and of its server require.
func (c *conn) update() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	state := connState(c.state.Load())
	if state != connIdle {
		c.isClosing.Store(false)
	}
	lingers := state == connIdle && (c.isClosing.Load() || c.server.isClosing.Load())
	if state == c.applied && lingers == !c.lingerUntil.IsZero() {
		return
	}
	if state != c.applied {
		c.applied, c.stateUntil = state, c.server.stateEnd(state, now)
		c.since.Store(now.UnixNano())
	}
	switch {
	case !lingers:
		c.lingerUntil = time.Time{}
	case c.lingerUntil.IsZero():
		c.lingerUntil = now.Add(lingerTime)
		if !c.server.isClosing.Load() {
			idleClosed.Add(1)
		}
	}
	_ = c.applyDeadline() // it fails only on a closed connection
}

// stateEnd returns when a state that begins now ends at the latest, or zero.
func (s *Server) stateEnd(state connState, now time.Time) time.Time {
	if s.limits.Timeouts == nil || state == connActive {
		return time.Time{}
	}
	header, idle := s.limits.Timeouts()
	limit := idle
	if state == connHeader {
		limit = header
	}
	if limit <= 0 {
		return time.Time{}
	}
	return now.Add(limit)
}

func (c *conn) applyDeadline() error {
	if c.isEnding.Load() {
		return nil // the deadline has passed
	}
	deadline := c.readDeadline
	for _, limit := range []time.Time{c.lingerUntil, c.stateUntil} {
		if !limit.IsZero() && (deadline.IsZero() || deadline.After(limit)) {
			deadline = limit
		}
	}
	return c.Conn.SetReadDeadline(deadline)
}
