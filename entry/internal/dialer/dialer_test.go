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

// target accepts connections and hands each to serve.
func target(t *testing.T, serve func(n int, c net.Conn, r *bufio.Reader)) string {
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

func answer(c net.Conn, id, body string) {
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: "+itoa(len(body))+"\r\n\r\n"+body)
}

func itoa(n int) string { return string([]byte{byte('0' + n/10), byte('0' + n%10)}) }

// counted is a target that answers each request on its connections, and the
// number of these.
func counted(t *testing.T, answer func(c net.Conn, req *http.Request, body string)) (string, *atomic.Int32) {
	t.Helper()
	conns := &atomic.Int32{}
	address := target(t, func(n int, c net.Conn, r *bufio.Reader) {
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

func request(id, body string) Request {
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
	address, conns := counted(t, func(c net.Conn, req *http.Request, body string) {
		if req.RequestURI != "/x?q=%20" || req.Host != "svc" {
			t.Errorf("target got %s at %s", req.RequestURI, req.Host)
		}
		answer(c, req.Header.Get("Id"), body)
	})
	p := New()
	defer p.Close()
	for _, id := range []string{"1", "2", "3"} {
		if got, err := do(t, p, address, request(id, "body "+id)); err != nil || got != "body "+id {
			t.Errorf("got %q, %v", got, err)
		}
	}
	if got := conns.Load(); got != 1 {
		t.Errorf("%d connections, want 1", got)
	}
}

// The answer to an earlier request is passed over, and the connection isn't used again.
func TestStrayAnswerIsNotDelivered(t *testing.T) {
	address, conns := counted(t, func(c net.Conn, req *http.Request, _ string) {
		answer(c, "other", "stray")
		answer(c, req.Header.Get("Id"), "mine")
	})
	p := New()
	defer p.Close()
	for _, id := range []string{"1", "2"} {
		if got, err := do(t, p, address, request(id, "")); err != nil || got != "mine" {
			t.Errorf("got %q, %v, want mine", got, err)
		}
	}
	if got := conns.Load(); got != 2 {
		t.Errorf("%d connections, want 2", got)
	}
}

// Bytes after a complete answer belong to no request.
func TestBytesAfterAnAnswerCloseTheConnection(t *testing.T) {
	address, conns := counted(t, func(c net.Conn, req *http.Request, _ string) {
		id := req.Header.Get("Id")
		answer(c, id, "good")
		answer(c, "2", "rotten")
	})
	p := New()
	defer p.Close()
	for _, id := range []string{"1", "2"} {
		if got, err := do(t, p, address, request(id, "")); err != nil || got != "good" {
			t.Errorf("got %q, %v, want good", got, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if got := conns.Load(); got != 2 {
		t.Errorf("%d connections, want 2", got)
	}
}

func TestErrorsSayWhetherTheRequestWasSent(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gone := closed.Addr().String()
	_ = closed.Close()
	breaks := func(answer string) string {
		return target(t, func(_ int, c net.Conn, r *bufio.Reader) {
			if req, _ := readRequest(r); req != nil {
				_, _ = io.WriteString(c, answer)
			}
		})
	}
	tests := []struct {
		name, address string
		sent          bool
	}{
		{"nobody listens", gone, false},
		{"closed without an answer", breaks(""), true},
		{"bytes that are no answer", breaks("what?\r\n\r\n"), true},
		{"half a head", breaks("HTTP/1.1 200 OK\r\nId: 1\r\n"), true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := New()
			defer p.Close()
			_, err := do(t, p, test.address, request("1", "b"))
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
			address := target(t, func(_ int, c net.Conn, r *bufio.Reader) {
				if req, _ := readRequest(r); req != nil {
					_, _ = io.WriteString(c, text)
				}
			})
			p := New()
			defer p.Close()
			if got, err := do(t, p, address, request("1", "")); !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Errorf("got %q, %v, want %v", got, err, io.ErrUnexpectedEOF)
			}
		})
	}
}

// A target may answer before it has read a long body; what is left of the body
// must not become the start of another request.
func TestEarlyAnswerToALongBodyClosesTheConnection(t *testing.T) {
	var conns atomic.Int32
	address := target(t, func(n int, c net.Conn, r *bufio.Reader) {
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
		answer(c, "1", "early")
		time.Sleep(100 * time.Millisecond)
	})
	p := New()
	defer p.Close()
	long := strings.Repeat("x", 8<<20)
	for range 2 {
		if got, err := do(t, p, address, request("1", long)); err != nil || got != "early" {
			t.Errorf("got %q, %v", got, err)
		}
	}
	if got := conns.Load(); got != 2 {
		t.Errorf("%d connections, want 2", got)
	}
}

func TestConnectionsStayWithinTheLimit(t *testing.T) {
	release := make(chan struct{})
	address := target(t, func(_ int, c net.Conn, r *bufio.Reader) {
		req, _ := readRequest(r)
		<-release
		if req != nil {
			answer(c, req.Header.Get("Id"), "ok")
		}
	})
	p := New()
	defer p.Close()
	done := make(chan error, 2)
	for range 2 {
		go func() {
			a, err := p.Do(context.Background(), "t", address, 2, request("1", ""))
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
	if _, err := do(t, p, address, request("1", "")); !errors.Is(err, ErrConnectionLimit) {
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
	address := target(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		if req, _ := readRequest(r); req != nil {
			_, _ = r.ReadByte() // returns as the connection ends
			close(ended)
		}
	})
	p := New()
	defer p.Close()
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(30*time.Millisecond, cancel)
	_, err := p.Do(ctx, "t", address, 1, request("1", ""))
	var send *SendError
	if !errors.As(err, &send) || !send.Sent || !errors.Is(err, context.Canceled) {
		t.Errorf("error %v, want a sent request that was cancelled", err)
	}
	select {
	case <-ended:
	case <-time.After(2 * time.Second):
		t.Error("the target still has its connection")
	}
	if n := p.OpenConnections("t"); n != 0 {
		t.Errorf("%d connections open, want 0", n)
	}
}
