package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"chivepost/platform/wire"
)

// longBody is as long as the deployments allow, and fills the socket buffers of a connection
// to a target with a small read buffer.
var longBody = strings.Repeat("x", 4<<20)

// startLongHost starts an entry host that accepts longBody, in front of n targets that read
// only the head of a request before serve responds. It returns the number of requests.
func startLongHost(t *testing.T, n int, serve func(c *net.TCPConn, head *http.Request)) (*testHost, *atomic.Int32) {
	t.Helper()
	h, requests := startHost(t, fakeStages{}), &atomic.Int32{}
	h.view.Config.Limits.MaxBodyBytes = int64(len(longBody))
	for range n {
		h.addTarget(t, func(c *net.TCPConn) {
			_ = c.SetReadBuffer(4 << 10)
			if r, err := http.ReadRequest(bufio.NewReaderSize(c, 1<<10)); err == nil {
				requests.Add(1)
				serve(c, r)
			}
		})
	}
	return h, requests
}

func withLongBody(r *http.Request) {
	r.Body, r.ContentLength = io.NopCloser(strings.NewReader(longBody)), int64(len(longBody))
}

// respondPart starts a response without a length, and resets or closes the connection.
func respondPart(part string, resets bool) func(*net.TCPConn, *http.Request) {
	return func(c *net.TCPConn, r *http.Request) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\n%s: %s\r\n%s: sig\r\n\r\n%s", wire.HeaderID, r.Header.Get(wire.HeaderID), wire.HeaderReceipt, part)
		time.Sleep(20 * time.Millisecond)
		if resets {
			_ = c.SetLinger(0)
		}
		_ = c.Close()
	}
}

// The part of a response whose connection breaks while the request is still being written
// once reached the caller as a whole response. The request may have run, so the caller gets no
// promise that it hasn't, and one that may run once is sent once.
func TestConnectionThatBreaksDuringTheUpload(t *testing.T) {
	const event = "id: 1\ndata: one\n\n"
	tests := []struct {
		name, path, part string
		requests         int32 // for each of the caller's
	}{
		{"whole, once", "/once/x", "part", 1},
		{"whole, repeatable", "/safe/x", "part", 2},
		{"streamed", "/staged/x", event, 1},
		{"streamed, resumable", "/stream/x", event, 2},
	}
	for _, test := range tests {
		for ending, resets := range map[string]bool{"reset": true, "closed": false} {
			t.Run(test.name+", "+ending, func(t *testing.T) {
				const sends = 12
				h, requests := startLongHost(t, 2, respondPart(test.part, resets))
				for range sends {
					if got := h.send(t, test.path, withLongBody); got.status != http.StatusBadGateway && got.err == nil {
						t.Fatalf("the caller got a complete response: %d %q", got.status, got.body)
					}
				}
				if n := requests.Load(); n != sends*test.requests {
					t.Errorf("targets got %d requests, want %d for each of %d", n, test.requests, sends)
				}
			})
		}
	}
}

// A target may respond before it has read a long body.
func TestResponseBeforeTheUploadIsRead(t *testing.T) {
	h, _ := startLongHost(t, 1, func(c *net.TCPConn, r *http.Request) {
		reply(c, r, http.StatusOK, "whole")
		_, _ = io.WriteString(c, "HTTP/1.1 200 X\r\n\r\nother")
		time.Sleep(50 * time.Millisecond)
	})
	for range 3 {
		if got := h.send(t, "/once/x", withLongBody); got.err != nil || got.status != http.StatusOK || got.body != "whole" {
			t.Errorf("got %d %q, %v, want the whole response", got.status, got.body, got.err)
		}
	}
}

// A response with an invalid status line once reached the caller. The request may have run.
func TestInvalidStatusLineIsNoResponse(t *testing.T) {
	for _, line := range []string{
		"HTTP/1.1 000 X", "HTTP/1.1 099 X", "HTTP/1.1 1000 X", "HTTP/1.1 2xx X", "HTTP/1.1 ", "HTTP/1.1", "HTTP/1.1 600 X", "HTTP/1.1 999 X", "HTTP/9.9 200 X",
	} {
		for path, runs := range map[string]int32{"/once/x": 1, "/safe/x": 2, "/staged/x": 1} {
			t.Run(line+path, func(t *testing.T) {
				answer := func(w net.Conn, r *http.Request) {
					_, _ = fmt.Fprintf(w, "%s\r\n%s: %s\r\n%s: sig\r\nContent-Length: 17\r\n\r\nid: 1\ndata: one\n\n", line, wire.HeaderID, r.Header.Get(wire.HeaderID), wire.HeaderReceipt)
				}
				h := startHost(t, fakeStages{}, answer, answer)
				if got := h.send(t, path, nil); got.err != nil || got.status != http.StatusBadGateway {
					t.Errorf("got %d %q, %v, want 502", got.status, got.body, got.err)
				}
				if n := h.runs.Load(); n != runs {
					t.Errorf("targets got %d requests, want %d", n, runs)
				}
			})
		}
	}
}
