package drain

import (
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

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
	isEnding  atomic.Bool  // it is ended although a response is written
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

// endSlow ends the connection if it still waits for its client. A header ends as if its time were
// over, so that a request whose last bytes were just read is handled.
func (c *conn) endSlow() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if wait, limit := c.waitTime(now); wait == 0 || wait < limit {
		return
	}
	switch {
	case c.writeSince.Load() != 0:
		if c.isEnding.CompareAndSwap(false, true) {
			slowClosed.Add(1)
			_ = c.Conn.SetDeadline(now) // it fails only on a closed connection
		}
	case c.applied == connHeader && (c.stateUntil.IsZero() || c.stateUntil.After(now)):
		slowClosed.Add(1)
		c.stateUntil = now
		_ = c.applyDeadline() // it fails only on a closed connection
	}
}

const (
	// writeBlock is how much is written at once.
	writeBlock = 32 << 10
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
