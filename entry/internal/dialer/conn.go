package dialer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"chivepost/entry/internal/kernel"
	"chivepost/share/quote"
)

const (
	// readBufferSize is enough bytes for the head of an answer and a few events of a stream.
	readBufferSize = 4 << 10
	// asyncBodySize is the size in bytes from which on a body is written while the answer is
	// read, because a target may answer before it has read a long body.
	asyncBodySize = 16 << 10
	// maxHeadBytes bounds what is read before the body of an answer: its head, interim
	// answers and answers to other requests.
	maxHeadBytes = 64 << 10
	// uploadEndTimeout is how long the end of a response without a length waits for the rest of
	// the request to be acknowledged. What is under way to a closed connection is answered by a
	// reset within a round trip, which is 40 ms between regions, or after one retransmission.
	// uploadEndPoll is the time between two checks.
	uploadEndTimeout = 300 * time.Millisecond
	uploadEndPoll    = 2 * time.Millisecond
	// maxDiscardBytes and discardTimeout bound the rest of a body that is read only so that
	// the connection can be reused: more costs more than another connection.
	maxDiscardBytes = 64 << 10
	discardTimeout  = 50 * time.Millisecond
)

// Buffers bounds what the kernel holds of responses that callers don't take, and of bodies that
// targets don't read.
var Buffers = kernel.Buffers{Receive: 32 << 10, Send: 256 << 10}

var errHeadTooLong = fmt.Errorf("the head of the answer is longer than %d bytes", maxHeadBytes)

// conn is a connection to a target. It carries one request at a time.
type conn struct {
	net       net.Conn
	head      headLimit
	reader    *bufio.Reader
	idleSince time.Time     // when it was released
	idleLimit time.Duration // how long it may be idle; negative: it must not be reused
	heldUntil time.Time     // it isn't reused before
	used      bool          // it has carried a complete request before
	roundTrip time.Duration // of its handshake
	closed    atomic.Bool
	writing   atomic.Bool // the body of a request is being written
}

// headLimit reads from a connection, up to a limit while the head of an answer is due.
type headLimit struct {
	source  io.Reader
	limited bool
	left    int // while limited
}

func (l *headLimit) Read(p []byte) (int, error) {
	if !l.limited {
		return l.source.Read(p)
	}
	if l.left == 0 {
		return 0, errHeadTooLong
	}
	n, err := l.source.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// dial opens a connection. The kernel detects an unresponsive peer: it closes the
// connection if sent bytes aren't acknowledged within userTimeout, and probes it when idle.
func dial(ctx context.Context, address string) (*conn, error) {
	d := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
		Control: func(network, address string, raw syscall.RawConn) error {
			var err error
			if ctlErr := raw.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			}); ctlErr != nil {
				return ctlErr
			}
			return errors.Join(err, Buffers.Control(network, address, raw))
		},
	}
	began := time.Now()
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &conn{net: raw, head: headLimit{source: raw}, roundTrip: time.Since(began)}
	c.reader = bufio.NewReaderSize(&c.head, readBufferSize)
	return c, nil
}

// isClean reports whether an idle connection is open and has nothing to read. Bytes that
// arrive without a request belong to no answer, so the connection must not be reused.
func (c *conn) isClean() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.net.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	clean := false
	var one [1]byte
	if err := raw.Read(func(fd uintptr) bool {
		_, _, peekErr := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		clean = errors.Is(peekErr, unix.EAGAIN)
		return true
	}); err != nil {
		return false
	}
	return clean
}

// state reports whether the connection was reset, and how many sent bytes the peer hasn't
// acknowledged.
func (c *conn) state() (isReset bool, unacknowledged int, err error) {
	tcp, ok := c.net.(syscall.Conn)
	if !ok {
		return false, 0, nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false, 0, err
	}
	var infoErr error
	err = raw.Control(func(fd uintptr) {
		var info *unix.TCPInfo
		if info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); infoErr != nil {
			return
		}
		isReset = info.State == unix.BPF_TCP_CLOSE
		unacknowledged, infoErr = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ)
	})
	return isReset, unacknowledged, errors.Join(err, infoErr)
}

// close closes the connection. It may be called more than once.
func (c *conn) close() {
	if c.closed.CompareAndSwap(false, true) {
		_ = c.net.Close() // nothing can be done about an error
	}
}

// askToStop closes the sending side, unless that would cut off the body of the request.
func (c *conn) askToStop() {
	if tcp, ok := c.net.(*net.TCPConn); ok && !c.writing.Load() {
		_ = tcp.CloseWrite() // fails only if the connection is closed
	}
}

// Answer is the answer of a target. The caller must close it; its connection is reused only
// if the body was read to the end.
type Answer struct {
	Status int
	Header http.Header
	// Length is the Content-Length of the body, or negative if it is unknown.
	Length int64
	// IsUnframed says that the body has no length and no chunks, so that the end of its
	// connection is its end.
	IsUnframed bool
	// IsFirst says that its connection carried no request before, so that it can't be a copy of
	// an earlier answer.
	IsFirst bool

	body        io.ReadCloser
	conn        *conn
	pool        *Pool
	target      string
	stop        func() bool   // detaches the connection from the context; false: the context has closed it
	written     chan struct{} // closed when the body is written; nil: written already
	writeFailed *atomic.Bool  // writing the body failed
	idleLimit   time.Duration
	reusable    bool
	closeOnce   sync.Once
	readToEnd   bool
}

// Read reads the body. An error other than io.EOF means that the body is incomplete.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if errors.Is(err, io.EOF) {
		if a.IsUnframed && !a.readToEnd {
			if err := a.checkEnd(); err != nil {
				return n, err
			}
		}
		a.readToEnd = true
		return n, err
	}
	if err != nil {
		err = quote.Strip(err)
	}
	return n, err
}

// checkEnd returns an error if the connection of a response without a length was reset, so
// that the response is incomplete. While a request is written, the kernel may report a reset
// to the writer, and then ends the stream for the reader.
func (a *Answer) checkEnd() error {
	for start := time.Now(); ; time.Sleep(uploadEndPoll) {
		isReset, unacknowledged, err := a.conn.state()
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			isReset, unacknowledged = false, 0 // the state isn't known: the write tells alone
		}
		isWritten := a.IsBodyWritten()
		if isWritten && a.written != nil {
			isReset = isReset || a.writeFailed.Load()
		}
		if isReset {
			resetBodies.Add(1)
			return &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", syscall.ECONNRESET)}
		}
		// A target may close its own direction only, and read the rest of the request later.
		if isWritten && unacknowledged == 0 || time.Since(start) > uploadEndTimeout {
			return nil
		}
	}
}

// IsBodyWritten reports whether the body of the request is written, so that it isn't used any more.
func (a *Answer) IsBodyWritten() bool {
	if a.written == nil {
		return true
	}
	select {
	case <-a.written:
		return true
	default:
		return false
	}
}

// Discard reads the rest of the body, if it is short and arrives soon, so that the connection
// can be reused.
func (a *Answer) Discard() {
	_ = a.conn.net.SetReadDeadline(time.Now().Add(discardTimeout)) // fails only if the connection is closed
	_, _ = io.Copy(io.Discard, io.LimitReader(a, maxDiscardBytes+1))
	_ = a.conn.net.SetReadDeadline(time.Time{})
}

// CloseConn makes Close close the connection, because its next answer may belong to another
// request.
func (a *Answer) CloseConn() { a.reusable = false }

// HoldConn keeps the connection from being reused for a while, so that an answer which is
// still under way arrives while no request waits for one. It is then seen, and the connection
// closed.
func (a *Answer) HoldConn(d time.Duration) { a.conn.heldUntil = time.Now().Add(d) }

// Close returns the connection to the pool if the answer was read to its end and the
// connection is in a known state, and closes it otherwise. It may be called more than once.
func (a *Answer) Close() {
	a.closeOnce.Do(func() {
		isOpen := a.stop()
		if !a.IsBodyWritten() || a.writeFailed != nil && a.writeFailed.Load() {
			a.reusable = false // the target answered before it had read the body
		}
		a.pool.release(a.target, a.conn, isOpen && a.readToEnd && a.reusable, a.idleLimit)
	})
}

// write writes head and body, with a vectored write if there is a body.
func (c *conn) write(head, body []byte) (written int, err error) {
	if len(body) == 0 {
		return c.net.Write(head)
	}
	buffers := net.Buffers{head, body}
	n, err := buffers.WriteTo(c.net)
	return int(n), err
}

// SendError reports why a request failed and whether any byte of it may have reached the
// target.
type SendError struct {
	Sent bool
	// Stale reports that a reused connection ended before an answer was received, as it does
	// if the target has closed an idle connection.
	Stale     bool
	RoundTrip time.Duration // of the connection's handshake; 0 if nothing was sent
	Err       error
}

func (e *SendError) Error() string {
	if e.Sent {
		return fmt.Sprintf("sent, no whole answer: %v", e.Err)
	}
	return fmt.Sprintf("not sent: %v", e.Err)
}

// Unwrap returns the underlying error.
func (e *SendError) Unwrap() error { return e.Err }
