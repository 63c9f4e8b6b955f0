package dialer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// readBuffer holds the head of an answer and a few events of a stream.
	readBuffer = 4 << 10
	// asyncBody is the size of a body from which on it is written while the answer
	// is read: a target may answer before it has read a long one.
	asyncBody = 16 << 10
)

// conn is one connection to a target. It carries one request at a time.
type conn struct {
	net     net.Conn
	reader  *bufio.Reader
	idleAt  time.Time     // when it was given back
	idleMax time.Duration // how long it may lie idle
	used    bool          // it has carried a request before
	shut    atomic.Bool
}

// dial opens a connection. Silence of the other end is noticed by the kernel:
// unacknowledged bytes end the connection after userTimeout, idle ones are probed.
func dial(ctx context.Context, address string) (*conn, error) {
	d := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var err error
			if ctlErr := raw.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			}); ctlErr != nil {
				return ctlErr
			}
			return err
		},
	}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{net: c, reader: bufio.NewReaderSize(c, readBuffer)}, nil
}

// isQuiet reports whether an idle connection is open with nothing to read. Bytes
// that came without a request belong to none.
func (c *conn) isQuiet() bool {
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
	quiet := false
	var one [1]byte
	if err := raw.Read(func(fd uintptr) bool {
		_, _, peekErr := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(peekErr, unix.EAGAIN)
		return true
	}); err != nil {
		return false
	}
	return quiet
}

func (c *conn) close() {
	if c.shut.CompareAndSwap(false, true) {
		_ = c.net.Close() // nothing is left to be done with it
	}
}

// Answer is the answer of a target. Its body must be read to the end or the
// answer be dropped.
type Answer struct {
	Status int
	Header http.Header
	// Length is the announced length of the body; negative if it isn't known.
	Length int64

	body     io.ReadCloser
	conn     *conn
	pool     *Pool
	target   string
	stop     func() bool   // ends the watch on the context
	written  chan struct{} // closed when the request is written whole; nil: it is
	failed   *atomic.Bool  // the writing has failed
	keepFor  time.Duration
	reusable bool
	once     sync.Once
	ended    bool
}

// Read reads the body. An error other than io.EOF means that it isn't whole.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if errors.Is(err, io.EOF) {
		a.ended = true
	}
	return n, err
}

// Close gives the connection back if the answer was read to its end and nothing
// was odd, and closes it otherwise. It may be called more than once.
func (a *Answer) Close() {
	a.once.Do(func() {
		watched := a.stop()
		if a.written != nil {
			select {
			case <-a.written:
			default:
				// The target has answered without reading the body.
				a.reusable = false
			}
			if a.failed.Load() {
				a.reusable = false
			}
		}
		a.pool.put(a.target, a.conn, watched && a.ended && a.reusable, a.keepFor)
	})
}

// write sends head and body. A short body goes out in one piece.
func (c *conn) write(head, body []byte) (written int, err error) {
	if len(body) == 0 {
		return c.net.Write(head)
	}
	buffers := net.Buffers{head, body}
	n, err := buffers.WriteTo(c.net)
	return int(n), err
}

// SendError says what went wrong with a request and whether any byte of it may
// have reached the target.
type SendError struct {
	Sent bool
	// Stale says that the connection had been used before and ended without a byte
	// of an answer.
	Stale bool
	Err   error
}

func (e *SendError) Error() string {
	if e.Sent {
		return fmt.Sprintf("sent, no whole answer: %v", e.Err)
	}
	return fmt.Sprintf("not sent: %v", e.Err)
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }
