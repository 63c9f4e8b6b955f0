package dialer

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// longBody fills the socket buffers of both ends of a loopback connection, so that the
// request is still being written when the target responds.
var longBody = strings.Repeat("x", 16<<20)

// unframedHead is the head of a response that ends with its connection.
const unframedHead = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n"

// skipHead reads the head of a request and leaves its body.
func skipHead(r *bufio.Reader) {
	for {
		if line, err := r.ReadString('\n'); err != nil || line == "\r\n" {
			return
		}
	}
}

// responseDelay separates the parts of a response, so that each is read by itself.
const responseDelay = 15 * time.Millisecond

// resetWithPart starts a response without a length and resets the connection.
func resetWithPart(c net.Conn, r *bufio.Reader) {
	skipHead(r)
	_, _ = io.WriteString(c, unframedHead+"part")
	time.Sleep(responseDelay)
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// closeWithPart does the same with an ordinary close. The kernel sends a FIN if it has nothing
// unread and a reset otherwise; either way what follows of the upload is answered by a reset.
func closeWithPart(c net.Conn, r *bufio.Reader) {
	skipHead(r)
	_, _ = io.WriteString(c, unframedHead+"part")
	time.Sleep(responseDelay)
	_ = c.Close()
}

// A connection that is reset while a request is written reports the reset once, to the writer
// or to the reader. The reader once got the end of the stream, and the part of the response
// counted as all of it.
func TestResetDuringTheUploadIsNotTheEndOfAResponse(t *testing.T) {
	for name, serve := range map[string]func(net.Conn, *bufio.Reader){"reset": resetWithPart, "closed": closeWithPart} {
		t.Run(name, func(t *testing.T) {
			address := startTarget(t, func(_ int, c net.Conn, r *bufio.Reader) { serve(c, r) })
			p := New()
			defer p.Close()
			whole := 0
			for range 30 {
				if _, err := do(t, p, address, newRequest("1", longBody)); err == nil {
					whole++
				}
			}
			if whole > 0 {
				t.Errorf("%d of 30 incomplete responses count as complete", whole)
			}
		})
	}
}

// The end of the connection after the request was written whole is the end of a response
// without a length, also if the target has only closed its own direction and reads on.
func TestClosedDirectionEndsAResponse(t *testing.T) {
	tests := map[string]struct {
		body  string
		serve func(c *net.TCPConn, r *bufio.Reader)
	}{
		"short request": {"short", func(c *net.TCPConn, r *bufio.Reader) {
			_, _ = readRequest(r)
			_, _ = io.WriteString(c, unframedHead+"whole")
		}},
		"long request, read on": {longBody, func(c *net.TCPConn, r *bufio.Reader) {
			skipHead(r)
			_, _ = io.WriteString(c, unframedHead+"whole")
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, r)
		}},
		"long request, not read on": {longBody, func(c *net.TCPConn, r *bufio.Reader) {
			skipHead(r)
			_, _ = io.WriteString(c, unframedHead+"whole")
			_ = c.CloseWrite()
			time.Sleep(time.Second)
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			address := startTarget(t, func(_ int, c net.Conn, r *bufio.Reader) { test.serve(c.(*net.TCPConn), r) })
			p := New()
			defer p.Close()
			if got, err := do(t, p, address, newRequest("1", test.body)); err != nil || got != "whole" {
				t.Errorf("got %q, %v, want whole", got, err)
			}
		})
	}
}

// No bytes follow where the rest of a body is due: a target that responds early and reads on
// later finds the end of the connection there, not another request.
func TestNothingFollowsAnUnfinishedUpload(t *testing.T) {
	rest := make(chan string, 1)
	address := startTarget(t, func(n int, c net.Conn, r *bufio.Reader) {
		if n > 0 {
			if req, _ := readRequest(r); req != nil {
				writeAnswer(c, req.Header.Get("Id"), "second")
			}
			return
		}
		skipHead(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nearlyHTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 5\r\n\r\nstray")
		time.Sleep(10 * responseDelay)
		data, _ := io.ReadAll(r)
		rest <- strings.Trim(string(data), "x")
	})
	p := New()
	defer p.Close()
	if got, err := do(t, p, address, newRequest("1", longBody)); err != nil || got != "early" {
		t.Fatalf("got %q, %v, want early", got, err)
	}
	if got, err := do(t, p, address, newRequest("2", "")); err != nil || got != "second" {
		t.Errorf("got %q, %v, want second", got, err)
	}
	if got := <-rest; got != "" {
		t.Errorf("the target read %.80q within the body of the first request", got)
	}
}

// A response with a status or version that HTTP/1 doesn't have is none, and a switch of
// protocols that nobody asked for isn't an interim response. Status 600 to 999 and HTTP/9.9
// once reached the caller, and what followed a status under 100 was read as the response.
func TestInvalidStatusLinesAreRejected(t *testing.T) {
	const body = "\r\nId: 1\r\nContent-Length: 2\r\n\r\nno"
	for _, line := range []string{
		"HTTP/1.1 000 X", "HTTP/1.1 099 X", "HTTP/1.1 1000 X", "HTTP/1.1 2xx X", "HTTP/1.1 20 X", "HTTP/1.1 +20 X", "HTTP/1.1 -20 X",
		"HTTP/1.1", "HTTP/1.1 ", "HTTP/1.1  OK", "HTTP/1.1 600 X", "HTTP/1.1 999 X", "HTTP/1.1 101 X", "HTTP/9.9 200 OK", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK",
	} {
		t.Run(line, func(t *testing.T) {
			address := startTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
				if req, _ := readRequest(r); req != nil {
					_, _ = io.WriteString(c, line+body)
					// Must not be taken for the response to this request.
					time.Sleep(responseDelay)
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK"+body)
				}
			})
			p := New()
			defer p.Close()
			heard := 0
			req := newRequest("1", "b")
			req.Heard = func(int, http.Header) { heard++ }
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			a, err := p.Do(ctx, "t", address, 2, req)
			var send *SendError
			if !errors.As(err, &send) || !send.Sent || send.Stale {
				t.Errorf("error %v, want one of a request that was sent", err)
			}
			if err == nil {
				a.Close()
			}
			if heard != 0 {
				t.Errorf("%d heads were passed on, want none", heard)
			}
		})
	}
}
