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

	"chivepost/entry/internal/active"
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

// Guards against answers that are lost, cut short or held without limit if the host has no
// memory for them.
func TestAnswersWithoutMemoryAreRelayed(t *testing.T) {
	long := strings.Repeat("x", 200_000)
	h := startHost(t, fakeStages{}, func(w net.Conn, r *http.Request) { reply(w, r, 200, long) })
	account := memory.New(1 << 20)
	h.handler.opts.Memory = account
	other := account.Open("other")
	defer other.Close()
	if err := other.Grow(800_000); err != nil {
		t.Fatal(err)
	}
	before := heldShortCount.Value()
	if got := h.send(t, "/once/x", nil); got.status != http.StatusOK || got.body != long || got.err != nil {
		t.Errorf("status %d with %d bytes, error %v, want the whole answer", got.status, len(got.body), got.err)
	}
	if heldShortCount.Value() == before {
		t.Error("the answer was held although there is no memory for it")
	}
}

// Guards against callers that don't read their answers and keep the memory from others.
func TestStalledReaderMakesRoom(t *testing.T) {
	long := strings.Repeat("x", 250_000)
	h := startHost(t, fakeStages{}, func(w net.Conn, r *http.Request) { reply(w, r, 200, long) })
	for i := range h.view.Config.Routes {
		h.view.Config.Routes[i].Timeout = 30 * time.Second
	}
	account := memory.New(1 << 20)
	h.handler.opts.Memory = account
	// Several answers on one connection fill the buffers of the kernel.
	c, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
	request := "GET /open/x HTTP/1.1\r\nHost: svc\r\nAttempt-Id: 1\r\n\r\n"
	if _, err := io.WriteString(c, strings.Repeat(request, 100)); err != nil {
		t.Fatal(err)
	}
	awaitUsed := func(what string, isDue func(used int64) bool) {
		t.Helper()
		for deadline := time.Now().Add(10 * time.Second); !isDue(account.Used()); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("%s: %d bytes are in use", what, account.Used())
			}
		}
	}
	isStalled := func(used int64) bool {
		time.Sleep(memory.StallTime + 500*time.Millisecond)
		return used >= 250_000 && account.Used() == used
	}
	awaitUsed("a caller that doesn't read", isStalled)
	other := account.Open("other")
	defer other.Close()
	if err := other.Grow(800_000); err == nil {
		t.Fatal("there is room beside the held answer")
	}
	awaitUsed("after its memory was needed", func(used int64) bool { return used == 0 })
}

// Guards against requests in progress that take all descriptors for connections to targets,
// and against a refusal without the promise to retry.
func TestRequestsAboveNumberInProgressAreRefused(t *testing.T) {
	release := make(chan struct{})
	h := startHost(t, fakeStages{}, func(w net.Conn, r *http.Request) {
		<-release
		ok(w, r)
	})
	h.handler.opts.Active = active.New(2, memory.Writers(memory.New(1<<20)))
	var held []*bufio.Reader
	for range 2 {
		_, r := sendPart(t, h, "Content-Length: 1", "x")
		held = append(held, r)
	}
	for deadline := time.Now().Add(5 * time.Second); h.runs.Load() < 2; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the target didn't get two requests")
		}
	}
	_, r := sendPart(t, h, "Content-Length: 1", "x")
	if code, header := status(t, r); code != http.StatusServiceUnavailable || header.Get("Retry-After") == "" {
		t.Errorf("the third one: status %d, Retry-After %q", code, header.Get("Retry-After"))
	}
	close(release)
	for _, r := range held {
		if code, _ := status(t, r); code != http.StatusOK {
			t.Errorf("one of the first two: status %d", code)
		}
	}
}

// Guards against a slow body that ends with a status after which callers don't retry, although
// nothing has run.
func TestBodyAfterDeadlineMayBeRetried(t *testing.T) {
	h, _ := newMemoryHost(t, 1<<20)
	_, r := sendPart(t, h, "Content-Length: 1000", "x")
	if code, _ := status(t, r); code != http.StatusRequestTimeout {
		t.Errorf("status %d, want 408", code)
	}
}
