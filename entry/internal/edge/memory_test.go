package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"chivepost/entry/internal/memory"
)

// newMemoryHost returns a host whose account has limit bytes and whose target answers
// each request.
func newMemoryHost(t *testing.T, limit int64) (*testHost, *memory.Account) {
	t.Helper()
	h := startHost(t, fakeStages{}, ok)
	account := memory.New(limit)
	h.handler.opts.Memory = account
	h.view.Config.Limits.MaxBodyBytes = 4 << 20
	return h, account
}

// sendPart sends the head of a request and a part of its body on a new connection.
func sendPart(t *testing.T, h *testHost, head, body string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	_, err = fmt.Fprintf(c, "POST /open/x HTTP/1.1\r\nHost: svc\r\nAttempt-Id: 1\r\n%s\r\n\r\n%s", head, body)
	if err != nil {
		t.Fatal(err)
	}
	return c, bufio.NewReader(c)
}

func status(t *testing.T, r *bufio.Reader) (int, http.Header) {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	return resp.StatusCode, resp.Header
}

// Guards against bodies that take more memory than there is, against a refusal without the
// promise to retry, and against reservations that outlive their requests.
func TestBodiesWithoutMemoryAreRefused(t *testing.T) {
	h, account := newMemoryHost(t, 1<<20)
	_, r := sendPart(t, h, "Content-Length: 900000", "")
	if code, header := status(t, r); code != http.StatusServiceUnavailable || header.Get("Retry-After") == "" {
		t.Errorf("a body above the client's share, announced: status %d, Retry-After %q", code, header.Get("Retry-After"))
	}
	_, r = sendPart(t, h, "Transfer-Encoding: chunked", "e0000\r\n"+strings.Repeat("x", 900000))
	if code, header := status(t, r); code != http.StatusServiceUnavailable || header.Get("Retry-After") == "" {
		t.Errorf("a chunked one: status %d, Retry-After %q", code, header.Get("Retry-After"))
	}
	for range 3 {
		_, r = sendPart(t, h, "Content-Length: 400000", strings.Repeat("x", 400000))
		if code, _ := status(t, r); code != http.StatusOK {
			t.Errorf("a body that fits: status %d", code)
		}
	}
	for deadline := time.Now().Add(5 * time.Second); account.Used() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes are in use after all requests have ended", account.Used())
		}
	}
}

// Guards against callers that stop just short of the end and keep the memory from others.
func TestStalledBodyMakesRoom(t *testing.T) {
	h, _ := newMemoryHost(t, 1<<20)
	h.view.Config.Routes[len(h.view.Config.Routes)-1].Timeout = 20 * time.Second
	_, stalled := sendPart(t, h, "Content-Length: 700000", strings.Repeat("x", 699999))
	time.Sleep(memory.StallTime + 100*time.Millisecond)
	_, r := sendPart(t, h, "Content-Length: 300000", strings.Repeat("x", 300000))
	if code, _ := status(t, r); code != http.StatusServiceUnavailable {
		t.Errorf("while the stalled one holds the memory: status %d", code)
	}
	if code, _ := status(t, stalled); code != http.StatusServiceUnavailable {
		t.Errorf("the stalled one: status %d", code)
	}
	_, r = sendPart(t, h, "Content-Length: 300000", strings.Repeat("x", 300000))
	if code, _ := status(t, r); code != http.StatusOK {
		t.Errorf("after the end of the stalled one: status %d", code)
	}
}

// Guards against a refused request whose body never comes and keeps its connection open
// without end.
func TestUnreadBodyDoesNotHoldConnection(t *testing.T) {
	h, _ := newMemoryHost(t, 1<<20)
	c, r := sendPart(t, h, "Authorization: Token wrong\r\nContent-Length: 1000", "x")
	_ = c.SetDeadline(time.Now().Add(2 * unreadBodyTimeout))
	if _, err := io.Copy(io.Discard, r); err != nil {
		t.Errorf("the connection stays open: %v", err)
	}
}
