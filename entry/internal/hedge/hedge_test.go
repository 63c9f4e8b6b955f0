package hedge

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"chivepost/share/poll"
	"chivepost/share/silent"
)

const testBound = 1400 * time.Millisecond // calls are hedged after 100 ms

// testServer answers polls when changed is closed, and counts the calls that reach it.
type testServer struct {
	*silent.Listener
	client  *http.Client
	url     string
	calls   atomic.Int32
	delay   atomic.Int64 // of calls but polls
	changed chan struct{}
}

func startServer(t *testing.T) *testServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{Listener: &silent.Listener{Listener: l}, changed: make(chan struct{}), url: "http://" + l.Addr().String()}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.calls.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/poll" {
			select {
			case <-s.changed:
			case <-r.Context().Done():
			}
		}
		time.Sleep(time.Duration(s.delay.Load()))
		_, _ = io.WriteString(w, "new")
	}))
	server.Listener = s.Listener
	server.Start()
	t.Cleanup(server.Close)
	s.client = &http.Client{Transport: New(Options{
		Bound: testBound, MaxResponseBytes: 1 << 10, NewPool: func() *http.Transport { return &http.Transport{MaxIdleConnsPerHost: 4} },
	})}
	t.Cleanup(s.client.CloseIdleConnections)
	return s
}

func (s *testServer) call(method, path string, wait, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(poll.WithWait(context.Background(), wait), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, s.url+path, strings.NewReader(strings.Repeat("x", map[string]int{http.MethodPost: 3}[method])))
	if err != nil {
		return err
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	return err
}

// A host was out of touch with the store for longer than the bound: each read waited for its
// timeout on another silent connection, and a long poll for its own.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	s := startServer(t)
	polled := make(chan error, 1)
	go func() { polled <- s.call("GET", "/poll", time.Minute, time.Minute) }()
	for s.calls.Load() < 1 {
		time.Sleep(time.Millisecond)
	}
	if err := s.call("GET", "/read", 0, time.Second); err != nil {
		t.Fatal(err)
	}
	s.Silence()
	close(s.changed)
	if err := s.call("GET", "/read", 0, 10*time.Second); err != nil {
		t.Errorf("read: %v", err)
	}
	select {
	case err := <-polled:
		if err != nil {
			t.Errorf("poll: %v", err)
		}
	case <-time.After(10 * time.Second):
		t.Error("the poll still waits on a silent connection")
	}
}

// A call that mustn't be repeated is sent once, on a connection of which it is known that it works.
func TestWritesAreSentOnceAndOnNewConnectionsAfterSilence(t *testing.T) {
	s := startServer(t)
	if err := s.call("POST", "/write", 0, time.Second); err != nil {
		t.Fatal(err)
	}
	s.Silence()
	time.Sleep(testBound)
	if err := s.call("POST", "/write", 0, 10*time.Second); err != nil || s.calls.Load() != 2 {
		t.Errorf("%v after %d calls, want none after 2", err, s.calls.Load())
	}
	s.delay.Store(int64(300 * time.Millisecond))
	if err := s.call("POST", "/write", 0, 10*time.Second); err != nil || s.calls.Load() != 3 {
		t.Errorf("slow server: %v after %d calls, want none after 3", err, s.calls.Load())
	}
}

// Calls to the store cost money: a slow server gets one more of each, one without any responses
// none, since these are on new connections.
func TestHedgesAreBounded(t *testing.T) {
	s := startServer(t)
	if err := s.call("GET", "/read", 0, time.Second); err != nil {
		t.Fatal(err)
	}
	s.delay.Store(int64(500 * time.Millisecond))
	if err := s.call("GET", "/read", 0, 10*time.Second); err != nil || s.calls.Load() != 3 {
		t.Errorf("slow: %v after %d calls, want none after 3", err, s.calls.Load())
	}
	s.delay.Store(int64(time.Second))
	s.calls.Store(0)
	for range 4 {
		_ = s.call("GET", "/read", 0, 300*time.Millisecond)
	}
	if n := s.calls.Load(); n > 5 { // the first is hedged
		t.Errorf("%d calls to a server that doesn't answer, want at most 5", n)
	}
}
