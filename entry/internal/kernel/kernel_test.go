package kernel_test

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"chivepost/entry/internal/kernel"
)

// options returns the sizes of the buffers of a connection.
func options(t *testing.T, c net.Conn) (receive, send int) {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := raw.Control(func(fd uintptr) {
		receive, _ = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF) // 0 after an error
		send, _ = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF)
	}); err != nil {
		t.Fatal(err)
	}
	return receive, send
}

// maxSegment is the size of a segment on the loopback interface.
const maxSegment = 64 << 10

// Guards against connections, accepted or dialled, for which the kernel holds megabytes.
func TestBuffersOfConnections(t *testing.T) {
	b := kernel.Buffers{Receive: 64 << 10, Send: 32 << 10}
	l, err := b.Listen("127.0.0.1:0", 16)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	dialer := net.Dialer{Control: b.Control}
	dialled, err := dialer.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer dialled.Close()
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	for _, c := range []net.Conn{dialled, accepted} {
		if receive, send := options(t, c); receive != 2*b.Receive || send != 2*b.Send {
			t.Errorf("buffers of %d and %d bytes, want %d and %d", receive, send, 2*b.Receive, 2*b.Send)
		}
	}
	_ = dialled.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
	const size = 16 << 20
	if n, err := dialled.Write(make([]byte, size)); err == nil {
		t.Errorf("%d bytes were written and not read", n)
	}
	raw, err := accepted.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	_ = raw.Control(func(fd uintptr) {
		// A last segment may arrive while there is any room.
		if n, err := unix.IoctlGetInt(int(fd), unix.TIOCINQ); err != nil || int64(n) > b.MaxUnread()+maxSegment {
			t.Errorf("%d bytes aren't read (error %v), want at most %d", n, err, b.MaxUnread())
		}
	})
}

// Guards against sizes that are set although the kernel shall choose them.
func TestZeroLeavesSizesToKernel(t *testing.T) {
	l, err := kernel.Buffers{}.Listen("127.0.0.1:0", 16)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	dialledReceive, dialledSend := options(t, c)
	if receive, send := options(t, accepted); receive != dialledReceive || send != dialledSend {
		t.Errorf("buffers of %d and %d bytes, want those of the kernel, %d and %d", receive, send, dialledReceive, dialledSend)
	}
}
