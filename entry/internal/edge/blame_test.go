package edge

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"chivepost/entry/internal/blame"
	"chivepost/platform/wire"
)

// fakeBlame quarantines what a test says and records what it gets.
type fakeBlame struct {
	mu          sync.Mutex
	verdict     func(parts []string, isTrial bool) blame.Verdict
	broken      []blame.Broken
	complete    []string
	quarantines bool // a part is quarantined after its first crash
}

func (f *fakeBlame) Check(_ string, parts []string, isTrial bool) blame.Verdict {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.verdict != nil {
		return f.verdict(parts, isTrial)
	}
	for _, b := range f.broken {
		if last := parts[len(parts)-1]; f.quarantines && slices.Contains(b.Parts, last) {
			return blame.Verdict{Part: last, RetryAfter: time.Hour}
		}
	}
	return blame.Verdict{}
}

func (f *fakeBlame) RecordBroken(b blame.Broken) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.broken = append(f.broken, b)
}

func (f *fakeBlame) RecordComplete(_ string, parts []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.complete = append(f.complete, strings.Join(parts, " "))
}

func prompt(parts string) func(*http.Request) {
	return func(r *http.Request) { r.Header.Set(wire.HeaderPrefix, parts) }
}

// crashOnDeadly crashes, as seen by the host, for prompts with the part "dead" that other
// requests share. Its connections end within the first event.
func crashOnDeadly(w net.Conn, r *http.Request) {
	if !strings.Contains(r.Header.Get(wire.HeaderPrefix), "dead:1,") {
		ok(w, r)
		return
	}
	streamHead(w, r)
	chunk(w, "id: 1\nda")
	_ = w.Close()
}

// Guards against prompts that crash one target after the other because each broken answer
// is charged to the target alone: each request with the part reached MaxAttempts targets.
func TestDeadlyPromptStopsReachingTargets(t *testing.T) {
	scripts := slices.Repeat([]targetScript{crashOnDeadly}, 40)
	h := startHost(t, fakeStages{}, scripts...)
	gossip := localGossip{}
	b := blame.New(gossip, h.handler.logger)
	defer b.Close()
	h.handler.blame = b
	var reached atomic.Int32
	for i := range 6 {
		for k, target := range h.view.Targets["s"] { // those that crashed are back
			restarted := *target
			restarted.StartMillis++
			h.view.Targets["s"][k] = &restarted
		}
		before := h.runs.Load()
		got := h.send(t, "/stream/x", prompt(fmt.Sprintf("5a:1,dead:1,%d:1", i)))
		reached.Add(h.runs.Load() - before)
		if before == h.runs.Load() && (got.status != http.StatusServiceUnavailable || got.header.Get(wire.HeaderRetryAfter) == "") {
			t.Errorf("a request that ran nowhere got %d with Retry-After %q, want 503 with one", got.status, got.header.Get(wire.HeaderRetryAfter))
		}
		time.Sleep(600 * time.Millisecond) // a quarantine takes effect half a second after the crash
	}
	// Three prompts can be sent twice before the quarantine begins.
	if n := reached.Load(); n > 6 {
		t.Errorf("6 requests with the part reached targets %d times, want at most 6", n)
	}
	if got := h.send(t, "/once/x", prompt("5a:1,50:1,9:1")); got.status != http.StatusOK {
		t.Errorf("a request with the other part got %d, want 200", got.status)
	}
}

// Guards against crashes that count as the end of an idle connection, so that most of those
// on busy connections are no evidence.
func TestCrashOnReusedConnectionCounts(t *testing.T) {
	tests := []struct {
		name   string
		after  time.Duration // from the request to the end of its connection
		broken int
	}{
		{"closed while idle", 0, 0},
		{"crash soon after the request", 60 * time.Millisecond, 1},
		{"crash later", 600 * time.Millisecond, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var isUsed atomic.Bool
			h := startHost(t, fakeStages{}, func(w net.Conn, r *http.Request) {
				if !isUsed.Swap(true) {
					ok(w, r)
					return
				}
				time.Sleep(test.after)
				_ = w.Close()
			})
			f := &fakeBlame{}
			h.handler.blame = f
			for _, want := range []int{http.StatusOK, http.StatusBadGateway} {
				if got := h.send(t, "/once/x", prompt("5a:1,dead:1,1:1")); got.status != want {
					t.Fatalf("got %d, want %d", got.status, want)
				}
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			if len(f.broken) != test.broken {
				t.Errorf("%d broken answers recorded, want %d", len(f.broken), test.broken)
			}
		})
	}
}

// localGossip is the gossip of a host without others.
type localGossip struct{}

func (localGossip) Handle(byte, func(data []byte, from string)) {}
func (localGossip) SendToSome(byte, []byte, int) int            { return 0 }
func (localGossip) SendTo(byte, []byte, ...string)              {}
func (localGossip) Rank(string) int                             { return 0 }

// A quarantined request promises that it hasn't run only if no target may have run it.
func TestQuarantinedRequest(t *testing.T) {
	never := func([]string, bool) blame.Verdict { return blame.Verdict{} }
	always := func([]string, bool) blame.Verdict {
		return blame.Verdict{Part: "dead", RetryAfter: time.Hour}
	}
	tests := []struct {
		name        string
		path        string
		prefix      string
		verdict     func(parts []string, isTrial bool) blame.Verdict
		quarantines bool
		status      int
		retryAfter  string
		runs        int32
	}{
		{"not quarantined", "/once/x", "5a:1,dead:1,1:1", never, false, 502, "", 1},
		{"before its stages", "/staged/x", "5a:1,dead:1,1:1", always, false, 503, "30.000", 0},
		{"before its first target", "/once/x", "5a:1,dead:1,1:1", always, false, 503, "30.000", 0},
		{"before its second target", "/safe/x", "5a:1,dead:1,1:1", nil, true, 502, "", 1},
		{"the last part never counts", "/once/x", "dead:1", always, false, 502, "", 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := startHost(t, fakeStages{err: errors.New("no stage runs")}, halfAnswer, halfAnswer)
			f := &fakeBlame{verdict: test.verdict, quarantines: test.quarantines}
			h.handler.blame = f
			got := h.send(t, test.path, func(r *http.Request) {
				prompt(test.prefix)(r)
				r.Header.Set(wire.HeaderPieces, "1")
			})
			if got.status != test.status || got.header.Get(wire.HeaderRetryAfter) != test.retryAfter {
				t.Errorf("got %d with Retry-After %q, want %d with %q", got.status, got.header.Get(wire.HeaderRetryAfter), test.status, test.retryAfter)
			}
			if n := h.runs.Load(); n != test.runs {
				t.Errorf("targets got %d requests, want %d", n, test.runs)
			}
		})
	}
}

// Only an answer that ends as that of a target that crashes counts against a prompt.
func TestBrokenAnswersThatCount(t *testing.T) {
	reset := func(w net.Conn, _ *http.Request) {
		_ = w.(*net.TCPConn).SetLinger(0)
		_ = w.Close()
	}
	late := func(w net.Conn, r *http.Request) {
		streamHead(w, r)
		chunk(w, "id: 1\ndata: one\n\n")
		time.Sleep(maxBegun + 100*time.Millisecond)
		_ = w.Close()
	}
	midEvent := func(w net.Conn, r *http.Request) {
		streamHead(w, r)
		chunk(w, "id: 1\nda")
		_ = w.Close()
	}
	tests := []struct {
		name     string
		path     string
		script   targetScript
		broken   int
		complete int
	}{
		{"whole answer", "/once/x", ok, 0, 1},
		{"closed before the answer", "/once/x", closeConnection, 1, 0},
		{"reset before the answer", "/once/x", reset, 1, 0},
		{"half an answer", "/once/x", halfAnswer, 1, 0},
		{"within the first event", "/stream/x", midEvent, 2, 0},
		{"long after the first event", "/stream/x", late, 0, 0},
		{"refused", "/once/x", refuse, 0, 0},
		{"bytes that are no answer", "/once/x", func(w net.Conn, _ *http.Request) {
			_, _ = io.WriteString(w, "what?\r\n\r\n")
			time.Sleep(50 * time.Millisecond)
		}, 0, 0},
		{"no receipt", "/once/x", noReceipt, 0, 0},
		{"target's own failure", "/once/x", failure, 0, 0},
		{"silent", "/once/x", staySilent, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := startHost(t, fakeStages{}, test.script, test.script)
			f := &fakeBlame{}
			h.handler.blame = f
			req, err := http.NewRequest(http.MethodPost, h.url+test.path, strings.NewReader("body"))
			if err != nil {
				t.Fatal(err)
			}
			req.Host = "svc"
			req.Header.Set(wire.HeaderID, "id1")
			req.Header.Set("Authorization", "Token k")
			prompt("5a:1,dead:1,1:1")(req)
			if resp, err := http.DefaultTransport.RoundTrip(req); err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			if len(f.broken) != test.broken || len(f.complete) != test.complete {
				t.Errorf("%d broken and %d complete answers recorded, want %d and %d", len(f.broken), len(f.complete), test.broken, test.complete)
			}
			for _, b := range f.broken {
				if b.Service != "s" || b.Target == "" || b.Address == "" || !slices.Equal(b.Parts, []string{"5a", "dead"}) || b.Own != "1" {
					t.Errorf("recorded %+v, want service s, a target and parts 5a, dead, 1", b)
				}
			}
		})
	}
}
