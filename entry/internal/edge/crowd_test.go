package edge

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"chivepost/entry/internal/active"
	"chivepost/entry/internal/memory"
	"chivepost/platform/wire"
)

// sendUnread sends a request whose response isn't read.
func sendUnread(t *testing.T, h *testHost, path string) {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: svc\r\nAttempt-Id: 1\r\nAuthorization: Token k\r\n\r\n", path); err != nil {
		t.Fatal(err)
	}
}

// endlessStream writes events until its caller disconnects.
func endlessStream(w net.Conn, r *http.Request) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 X\r\n%s: %s\r\n%s: sig\r\nContent-Type: text/event-stream\r\n\r\n", wire.HeaderID, r.Header.Get(wire.HeaderID), wire.HeaderReceipt)
	for id := 1; ; id++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, strings.Repeat("x", 4000)); err != nil {
			return
		}
	}
}

// Guards against callers that read nothing and fill the number of requests in progress: an
// ordinary request gets the place of one of them.
func TestUnreadResponsesMakeRoomForRequests(t *testing.T) {
	for _, test := range []struct {
		name   string
		path   string
		script targetScript
	}{
		{"long answers", "/open/big", func(w net.Conn, r *http.Request) {
			if r.URL.Path == "/open/big" {
				reply(w, r, 200, strings.Repeat("x", 16<<20))
				return
			}
			ok(w, r)
		}},
		{"streams", "/stream/endless", func(w net.Conn, r *http.Request) {
			if r.URL.Path == "/stream/endless" {
				endlessStream(w, r)
				return
			}
			ok(w, r)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := startHost(t, fakeStages{}, test.script)
			for i := range h.view.Config.Routes {
				h.view.Config.Routes[i].Timeout = 20 * time.Second
			}
			account := memory.New(16 << 20)
			h.handler.opts.Memory, h.handler.opts.Active = account, active.New(2, memory.Writers(account))
			for range 2 {
				sendUnread(t, h, test.path)
			}
			for deadline := time.Now().Add(10 * time.Second); account.Blocked(memory.Writing) < 2; time.Sleep(time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatal("the responses aren't blocked")
				}
			}
			if got := h.send(t, "/open/x", func(r *http.Request) { r.Header.Set(wire.HeaderTimeLeft, "5000") }); got.status != http.StatusOK || got.body != "whole" {
				t.Errorf("status %d, body %q, want a whole answer", got.status, got.body)
			}
		})
	}
}

// Guards against a response that breaks off and looks complete to a caller of HTTP/1.0, for whom
// the end of the connection is that of the response.
func TestBrokenResponseToHTTP10IsReset(t *testing.T) {
	h := startHost(t, fakeStages{}, func(w net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 X\r\n%s: %s\r\n%s: sig\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", wire.HeaderID,
			r.Header.Get(wire.HeaderID), wire.HeaderReceipt, 2*maxHeldAnswer, strings.Repeat("x", 2*maxHeldAnswer))
		_ = w.Close()
	})
	c, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(c, "GET /once/x HTTP/1.0\r\nHost: svc\r\nAttempt-Id: 1\r\nAuthorization: Token k\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, bufio.NewReader(c)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the connection ends with %v, want a reset", err)
	}
}

// Guards against bodies that stay reserved although no other target can get them any more.
func TestBodyIsFreedOnceTargetHasAnswered(t *testing.T) {
	const size = 300_000
	release := make(chan struct{})
	h := startHost(t, fakeStages{}, func(w net.Conn, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 X\r\n%s: %s\r\n%s: sig\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n", wire.HeaderID,
			r.Header.Get(wire.HeaderID), wire.HeaderReceipt)
		<-release
		_ = w.Close()
	})
	for i := range h.view.Config.Routes {
		h.view.Config.Routes[i].Resumable, h.view.Config.Routes[i].Timeout = false, 20*time.Second
	}
	h.view.Config.Limits.MaxBodyBytes = size
	account := memory.New(4 << 20)
	h.handler.opts.Memory = account
	c, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := fmt.Fprintf(c, "POST /stream/x HTTP/1.1\r\nHost: svc\r\nAttempt-Id: 1\r\nAuthorization: Token k\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size)); err != nil {
		t.Fatal(err)
	}
	if line, err := bufio.NewReader(c).ReadString('\n'); err != nil || !strings.HasPrefix(line, "HTTP/1.1 200") {
		t.Fatalf("the response begins with %q, %v", line, err)
	}
	for deadline := time.Now().Add(5 * time.Second); account.Used() >= size; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes are in use while the stream goes on", account.Used())
		}
	}
	close(release)
}
