package dialer

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// startTarget starts a listener that passes each connection, numbered from 0, to serve, and
// returns its address.
func startTarget(t *testing.T, serve func(n int, c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String()
}

func readRequest(r *bufio.Reader) (*http.Request, string) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, ""
	}
	body, _ := io.ReadAll(req.Body)
	return req, string(body)
}

func writeAnswer(c net.Conn, id, body string) {
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: "+twoDigits(len(body))+"\r\n\r\n"+body)
}

func twoDigits(n int) string { return string([]byte{byte('0' + n/10), byte('0' + n%10)}) }

// startCountingTarget starts a target that responds to each request with answer. It returns
// the address and the number of connections so far.
func startCountingTarget(t *testing.T, answer func(c net.Conn, req *http.Request, body string)) (string, *atomic.Int32) {
	t.Helper()
	conns := &atomic.Int32{}
	address := startTarget(t, func(n int, c net.Conn, r *bufio.Reader) {
		conns.Store(int32(n + 1))
		for {
			req, body := readRequest(r)
			if req == nil {
				return
			}
			answer(c, req, body)
		}
	})
	return address, conns
}

func newRequest(id, body string) Request {
	return Request{
		Method: http.MethodPost, URI: "/x?q=%20", Host: "svc", Header: http.Header{"Id": {id}}, Body: []byte(body), ID: id,
		ResponseID: func(h http.Header) string { return h.Get("Id") },
	}
}

func do(t *testing.T, p *Pool, address string, req Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	a, err := p.Do(ctx, "t", address, 2, req)
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := io.ReadAll(a)
	return string(body), err
}

func TestRequestsShareAConnection(t *testing.T) {
	address, conns := startCountingTarget(t, func(c net.Conn, req *http.Request, body string) {
		if req.RequestURI != "/x?q=%20" || req.Host != "svc" {
			t.Errorf("target got URI %s and host %s, want /x?q=%%20 and svc", req.RequestURI, req.Host)
		}
		writeAnswer(c, req.Header.Get("Id"), body)
	})
	p := New()
	defer p.Close()
	for _, id := range []string{"1", "2", "3"} {
		if got, err := do(t, p, address, newRequest(id, "body "+id)); err != nil || got != "body "+id {
			t.Errorf("got %q, %v", got, err)
		}
	}
	if got := conns.Load(); got != 1 {
		t.Errorf("%d connections, want 1", got)
	}
}

// The answer to an earlier request is skipped, and the connection isn't reused.
func TestStrayAnswerIsNotDelivered(t *testing.T) {
	address, conns := startCountingTarget(t, func(c net.Conn, req *http.Request, _ string) {
		writeAnswer(c, "other", "stray")
		writeAnswer(c, req.Header.Get("Id"), "mine")
	})
	p := New()
	defer p.Close()
	for _, id := range []string{"1", "2"} {
		if got, err := do(t, p, address, newRequest(id, "")); err != nil || got != "mine" {
			t.Errorf("got %q, %v, want mine", got, err)
		}
	}
	if got := conns.Load(); got != 2 {
		t.Errorf("%d connections, want 2", got)
	}
}

// Bytes after a complete answer belong to no request, so the connection isn't reused.
func TestBytesAfterAnAnswerCloseTheConnection(t *testing.T) {
	address, conns := startCountingTarget(t, func(c net.Conn, req *http.Request, _ string) {
		id := req.Header.Get("Id")
		writeAnswer(c, id, "good")
		writeAnswer(c, "2", "rotten")
	})
	p := New()
	defer p.Close()
	for _, id := range []string{"1", "2"} {
		if got, err := do(t, p, address, newRequest(id, "")); err != nil || got != "good" {
			t.Errorf("got %q, %v, want good", got, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if got := conns.Load(); got != 2 {
		t.Errorf("%d connections, want 2", got)
	}
}

func TestErrorsReportWhetherTheRequestWasSent(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	unusedAddress := closed.Addr().String()
	_ = closed.Close()
	targetThatWrites := func(answer string) string {
		return startTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
			if req, _ := readRequest(r); req != nil {
				_, _ = io.WriteString(c, answer)
			}
		})
	}
	tests := []struct {
		name, address string
		sent          bool
	}{
		{"nobody listens", unusedAddress, false},
		{"closed without an answer", targetThatWrites(""), true},
		{"bytes that are no answer", targetThatWrites("what?\r\n\r\n"), true},
		{"half a head", targetThatWrites("HTTP/1.1 200 OK\r\nId: 1\r\n"), true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := New()
			defer p.Close()
			_, err := do(t, p, test.address, newRequest("1", "b"))
			var send *SendError
			if !errors.As(err, &send) || send.Sent != test.sent {
				t.Errorf("error %v, want sent %v", err, test.sent)
			}
		})
	}
}

func TestShortBodyIsAnError(t *testing.T) {
	for name, text := range map[string]string{
		"by length": "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nhalf",
		"chunked":   "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address := startTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
				if req, _ := readRequest(r); req != nil {
					_, _ = io.WriteString(c, text)
				}
			})
			p := New()
			defer p.Close()
			if got, err := do(t, p, address, newRequest("1", "")); !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Errorf("got %q, %v, want %v", got, err, io.ErrUnexpectedEOF)
			}
		})
	}
}

// A target may answer before it has read a long body. The rest of the body must not be read
// as the start of another request, so the connection isn't reused.
func TestEarlyAnswerToALongBodyClosesTheConnection(t *testing.T) {
	var conns atomic.Int32
	address := startTarget(t, func(n int, c net.Conn, r *bufio.Reader) {
		conns.Store(int32(n + 1))
		if _, err := r.Peek(1); err != nil {
			return
		}
		for { // the head only
			line, err := r.ReadString('\n')
			if err != nil || line == "\r\n" {
				break
			}
		}
		writeAnswer(c, "1", "early")
		time.Sleep(100 * time.Millisecond)
	})
	p := New()
	defer p.Close()
	long := strings.Repeat("x", 8<<20)
	for range 2 {
		if got, err := do(t, p, address, newRequest("1", long)); err != nil || got != "early" {
			t.Errorf("got %q, %v", got, err)
		}
	}
	if got := conns.Load(); got != 2 {
		t.Errorf("%d connections, want 2", got)
	}
}

func TestConnectionsStayWithinTheLimit(t *testing.T) {
	release := make(chan struct{})
	address := startTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
		req, _ := readRequest(r)
		<-release
		if req != nil {
			writeAnswer(c, req.Header.Get("Id"), "ok")
		}
	})
	p := New()
	defer p.Close()
	done := make(chan error, 2)
	for range 2 {
		go func() {
			a, err := p.Do(context.Background(), "t", address, 2, newRequest("1", ""))
			if err == nil {
				_, err = io.ReadAll(a)
				a.Close()
			}
			done <- err
		}()
	}
	for p.OpenConnections("t") < 2 {
		time.Sleep(time.Millisecond)
	}
	if _, err := do(t, p, address, newRequest("1", "")); !errors.Is(err, ErrConnectionLimit) {
		t.Errorf("third request: %v, want %v", err, ErrConnectionLimit)
	}
	close(release)
	for range 2 {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}

func TestCancelClosesTheConnection(t *testing.T) {
	ended := make(chan struct{})
	address := startTarget(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		if req, _ := readRequest(r); req != nil {
			_, _ = r.ReadByte() // returns when the connection ends
			close(ended)
		}
	})
	p := New()
	defer p.Close()
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(30*time.Millisecond, cancel)
	_, err := p.Do(ctx, "t", address, 1, newRequest("1", ""))
	var send *SendError
	if !errors.As(err, &send) || !send.Sent || !errors.Is(err, context.Canceled) {
		t.Errorf("error %v, want a sent request that was cancelled", err)
	}
	select {
	case <-ended:
	case <-time.After(2 * time.Second):
		t.Error("the target's connection is still open")
	}
	if n := p.OpenConnections("t"); n != 0 {
		t.Errorf("%d connections open, want 0", n)
	}
}

// A connection whose answer may be a copy is held, so that the right answer arrives while no
// request waits for it. Refusals are too frequent to close each one's connection.
func TestHeldConnectionIsNotReusedUntilLater(t *testing.T) {
	address, conns := startCountingTarget(t, func(c net.Conn, req *http.Request, _ string) {
		writeAnswer(c, req.Header.Get("Id"), "ok")
	})
	p := New()
	defer p.Close()
	exchange := func(hold time.Duration) {
		t.Helper()
		a, err := p.Do(context.Background(), "t", address, 2, newRequest("1", ""))
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.ReadAll(a)
		if hold > 0 {
			a.HoldConn(hold)
		}
		a.Close()
	}
	exchange(150 * time.Millisecond) // the first connection is held
	exchange(0)
	exchange(0)
	if got := conns.Load(); got != 2 {
		t.Errorf("%d connections while one is held, want 2", got)
	}
	time.Sleep(200 * time.Millisecond)
	exchange(time.Minute)
	exchange(time.Minute)
	if got := conns.Load(); got != 2 {
		t.Errorf("%d connections after the hold, want the same 2", got)
	}
	exchange(0) // both are held and the limit is reached
	if got, open := conns.Load(), p.OpenConnections("t"); got != 3 || open > 2 {
		t.Errorf("%d connections in all, %d open, want 3 and at most 2", got, open)
	}
}
