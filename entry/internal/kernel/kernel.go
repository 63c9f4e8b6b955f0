// Package kernel bounds the bytes that the kernel holds for connections: those that were received
// and not yet read, and those that were written and not yet acknowledged. Without a bound, the
// kernel lets both grow to several megabytes for each connection.
package kernel

import (
	"context"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Buffers are the sizes in bytes that are asked for. Linux doubles them for its own overhead, so
// that up to twice the size may be held. Zero leaves a size to the kernel.
type Buffers struct {
	Receive int
	Send    int
}

// MaxUnread returns how many received bytes the kernel may hold.
func (b Buffers) MaxUnread() int64 { return 2 * int64(b.Receive) }

// Control sets the sizes for a socket that isn't bound or connected yet. It is the Control of a
// net.Dialer.
func (b Buffers) Control(_, _ string, raw syscall.RawConn) error {
	return control(raw, func(fd int) error {
		return errors.Join(setSize(fd, unix.SO_RCVBUF, b.Receive), setSize(fd, unix.SO_SNDBUF, b.Send))
	})
}

func control(raw syscall.RawConn, set func(fd int) error) error {
	var setErr error
	err := raw.Control(func(fd uintptr) { setErr = set(int(fd)) })
	return errors.Join(err, setErr)
}

func setSize(fd, option, size int) error {
	if size <= 0 {
		return nil
	}
	return unix.SetsockoptInt(fd, unix.SOL_SOCKET, option, size)
}

// InitialWindow is how many bytes a connection may receive before it is accepted.
const InitialWindow = 64 << 10

// Listen listens for TCP connections, which get these buffers when they are accepted. A listener
// with a small receive buffer would keep their window small for good. Up to backlog connections
// wait to be accepted.
func (b Buffers) Listen(address string, backlog int) (net.Listener, error) {
	config := net.ListenConfig{}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := l.(syscall.Conn); ok {
		raw, err := tcp.SyscallConn()
		if err == nil {
			err = control(raw, func(fd int) error { return unix.Listen(fd, backlog) })
		}
		if err != nil {
			return nil, errors.Join(err, l.Close())
		}
	}
	return &listener{Listener: l, buffers: b}, nil
}

// listener sets the buffers of the connections that it accepts.
type listener struct {
	net.Listener
	buffers Buffers
}

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	SetReceive(c, l.buffers.Receive)
	if tcp, ok := c.(*net.TCPConn); ok && l.buffers.Send > 0 {
		_ = tcp.SetWriteBuffer(l.buffers.Send) // fails only if the connection is closed
	}
	return c, nil
}

// SetReceive changes the size of the receive buffer of a connection. Other connections than those
// of TCP have none.
func SetReceive(c net.Conn, size int) {
	if tcp, ok := c.(*net.TCPConn); ok && size > 0 {
		_ = tcp.SetReadBuffer(size) // fails only if the connection is closed
	}
}
