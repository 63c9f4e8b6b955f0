package dialer

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// socketSlack is room for what the kernel buffers between a target and the host.
	socketSlack = 1 << 20
	// maxHeadAlloc bounds the memory allocated for one head.
	maxHeadAlloc = 4 << 20
)

// startEndlessTarget starts a target that answers a request with start and then repeats unit
// until the connection closes. It returns the address, the number of bytes written, and a
// channel that receives a value for each connection that has closed.
func startEndlessTarget(t *testing.T, start, unit string) (address string, written *atomic.Int64, closed <-chan struct{}) {
	t.Helper()
	written = &atomic.Int64{}
	ended := make(chan struct{}, 16)
	block := []byte(strings.Repeat(unit, 1+(4<<10)/len(unit)))
	address = startTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
		_ = c.(*net.TCPConn).SetWriteBuffer(32 << 10)
		if req, _ := readRequest(r); req == nil {
			return
		}
		_, err := io.WriteString(c, start)
		for err == nil {
			var n int
			n, err = c.Write(block)
			written.Add(int64(n))
		}
		ended <- struct{}{}
	})
	return address, written, ended
}

// A target in trouble may send bytes without end where the head of an answer is due. The
// host once read them into memory until the deadline.
func TestEndlessHeadIsCutOff(t *testing.T) {
	tests := []struct{ name, start, unit string }{
		{"bytes without a line end", "", "x"},
		{"status line without an end", "HTTP/1.1 200 O", "K"},
		{"header without an end", "HTTP/1.1 200 OK\r\nA: ", "x"},
		{"headers without end", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		{"interim answers without end", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"head behind the answer to another request", "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 O", "K"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			address, written, closed := startEndlessTarget(t, test.start, test.unit)
			p := New()
			defer p.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			a, err := p.Do(ctx, "t", address, 1, newRequest("1", "b"))
			runtime.ReadMemStats(&after)
			if err == nil {
				a.Close()
			}
			var send *SendError
			if !errors.As(err, &send) || !send.Sent || send.Stale || !errors.Is(err, errHeadTooLong) {
				t.Errorf("error %v, want that of a request that was sent and has a head that is too long", err)
			}
			if got := after.TotalAlloc - before.TotalAlloc; got > maxHeadAlloc {
				t.Errorf("allocated %d bytes, want at most %d", got, maxHeadAlloc)
			}
			select {
			case <-closed:
			case <-time.After(time.Second):
				t.Fatal("the target's connection is still open")
			}
			if got := written.Load(); got > maxHeadBytes+socketSlack {
				t.Errorf("the target could send %d bytes, want at most %d", got, maxHeadBytes+socketSlack)
			}
			if n := p.OpenConnections("t"); n != 0 {
				t.Errorf("%d connections open, want 0", n)
			}
		})
	}
}

// The bound on the head doesn't apply to the body, nor to all answers of a connection
// together.
func TestHeadLimitSparesBodiesAndLaterAnswers(t *testing.T) {
	body := strings.Repeat("x", 3*maxHeadBytes)
	header := "Pad: " + strings.Repeat("y", maxHeadBytes/2) + "\r\n"
	address := startTarget(t, func(n int, c net.Conn, r *bufio.Reader) {
		if n > 0 {
			t.Error("another connection, want one")
		}
		for {
			if req, _ := readRequest(r); req == nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\n"+header+"Transfer-Encoding: chunked\r\n\r\n30000\r\n"+body+"\r\n0\r\n\r\n")
		}
	})
	p := New()
	defer p.Close()
	for range 3 {
		if got, err := do(t, p, address, newRequest("1", "b")); err != nil || got != body {
			t.Errorf("got %d bytes, %v, want %d", len(got), err, len(body))
		}
	}
}

// A body that is of no use is read only if that takes little, and then its connection is
// reused.
func TestDiscard(t *testing.T) {
	tests := []struct {
		name, body string
		conns      int32
	}{
		{"short", "Content-Length: 3\r\n\r\nbye", 1},
		{"long", "Content-Length: 1000000\r\n\r\n" + strings.Repeat("x", 1000000), 2},
		{"incomplete", "Content-Length: 3\r\n\r\nb", 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			address, conns := startCountingTarget(t, func(c net.Conn, _ *http.Request, _ string) {
				_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nId: 1\r\n"+test.body)
			})
			p := New()
			defer p.Close()
			for range 2 {
				a, err := p.Do(context.Background(), "t", address, 1, newRequest("1", "b"))
				if err != nil {
					t.Fatal(err)
				}
				start := time.Now()
				a.Discard()
				if took := time.Since(start); took > 4*discardTimeout {
					t.Errorf("discarded for %v, want about %v", took, discardTimeout)
				}
				a.Close()
				time.Sleep(2 * discardTimeout) // the read deadline must not outlast Discard
			}
			if got := conns.Load(); got != test.conns {
				t.Errorf("%d connections, want %d", got, test.conns)
			}
		})
	}
}
