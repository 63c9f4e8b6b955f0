package edge

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"reflect"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"github.com/go-logr/logr"

	"chivepost/entry/internal/batch"
	"chivepost/entry/internal/dialer"
	"chivepost/entry/internal/drain"
	"chivepost/entry/internal/graph"
	"chivepost/entry/internal/notice"
	"chivepost/entry/internal/pick"
	"chivepost/entry/internal/roster"
	"chivepost/entry/internal/table"
	"chivepost/platform/wire"
	"chivepost/share/fleet"
)

// testHost is one entry host in front of scripted targets.
type testHost struct {
	view    table.View
	handler *Handler
	server  *drain.Server
	url     string
	runs    atomic.Int32
}

func (h *testHost) View() *table.View { return &h.view }
func (h *testHost) Count() int        { return 1 }
func (h *testHost) Rank(string) int   { return 0 }

type fakeStages struct{ err error }

func (s fakeStages) Run(context.Context, batch.Order, time.Time, time.Time) (*graph.Results, error) {
	if s.err != nil {
		return nil, s.err
	}
	return &graph.Results{Handles: []string{"t/1", "t/2"}}, nil
}

func testConfig() *fleet.Config {
	two := 2
	c := &fleet.Config{
		Version: 1,
		Routes: []fleet.Route{
			{Name: "once", Host: "svc", Prefix: "/once/", Retry: fleet.RetryNever, Timeout: time.Second, LatencyObjective: 200 * time.Millisecond, MaxAttempts: 2, Shares: []fleet.Share{{Service: "s", Weight: 1}}},
			{Name: "safe", Host: "svc", Prefix: "/safe/", Retry: fleet.RetryAlways, Timeout: time.Second, LatencyObjective: 200 * time.Millisecond, MaxAttempts: 2, Shares: []fleet.Share{{Service: "s", Weight: 1}}, Priority: 3},
			{Name: "stream", Host: "svc", Prefix: "/stream/", Retry: fleet.RetryStream, Resumable: true, Timeout: 2 * time.Second, LatencyObjective: time.Second, MaxAttempts: 2, Shares: []fleet.Share{{Service: "s", Weight: 1}}},
			{Name: "staged", Host: "svc", Prefix: "/staged/", Retry: fleet.RetryStream, Timeout: time.Second, LatencyObjective: time.Second, MaxAttempts: 1, Shares: []fleet.Share{{Service: "s", Weight: 1}}, Stages: []fleet.Stage{{Service: "p"}}},
			{Name: "home", Host: "svc", Prefix: "/home/", Retry: fleet.RetryAlways, Timeout: time.Second, MaxAttempts: 1, Shares: []fleet.Share{{Service: "s", Weight: 1}}, Regions: []string{"elsewhere"}},
			{Name: "open", Host: "svc", Prefix: "/open/", Retry: fleet.RetryAlways, Timeout: time.Second, MaxAttempts: 1, Shares: []fleet.Share{{Service: "s", Weight: 1}}, Public: true},
		},
		Services: map[string]fleet.Service{"s": {Name: "s", MaxConnections: 100}},
		Accounts: []fleet.Account{{Name: "acme", Keys: []string{"k"}, Priority: &two}},
		Limits:   fleet.Limits{MaxBodyBytes: 1000},
	}
	c.Index()
	return c
}

// testDrain is how long a target that leaves still takes requests.
const testDrain = time.Second

// targetScript responds to one request on a target's connection.
type targetScript func(w net.Conn, r *http.Request)

// addTarget starts a target that handles each of its connections by serve.
func (h *testHost) addTarget(t *testing.T, serve func(c *net.TCPConn)) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c.(*net.TCPConn))
			}()
		}
	}()
	h.view.Targets["s"] = append(h.view.Targets["s"], &table.Target{Target: fleet.Target{
		ID: fmt.Sprintf("t%d", len(h.view.Targets["s"])), Service: "s", Address: l.Addr().String(), DataCentre: "dc",
	}})
}

// startHost starts one target for each script and an entry host in front of them.
func startHost(t *testing.T, stages StageRunner, scripts ...targetScript) *testHost {
	t.Helper()
	h := &testHost{}
	h.view = table.View{Config: testConfig(), Targets: map[string][]*table.Target{}}
	for _, s := range scripts {
		h.addTarget(t, func(c *net.TCPConn) {
			br := bufio.NewReader(c)
			for {
				r, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				h.runs.Add(1)
				s(c, r)
				if r.Close {
					return
				}
			}
		})
	}
	board := notice.New(testDrain, logr.Discard())
	balancer := pick.New(pick.Options{DataCentre: "dc", Region: "r", Regions: map[string]string{"dc": "r"}, RetryRatio: 0.2, RetryExtra: 100, RetryWindow: 10 * time.Second}, h, board)
	pool := dialer.New()
	t.Cleanup(pool.Close)
	h.handler = New(Options{DataCentre: "dc", Region: "r"}, h, stages, balancer, pool, &fakeBlame{}, board, logr.Discard())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h.server = drain.NewServer(&http.Server{Handler: h.handler, ConnContext: ConnContext, ReadHeaderTimeout: time.Minute, ErrorLog: log.New(io.Discard, "", 0)})
	go func() { _ = h.server.Serve(WrapListener(l)) }()
	t.Cleanup(func() { _ = h.server.Close() })
	h.url = "http://" + l.Addr().String()
	return h
}

// received is a response as the caller gets it.
type received struct {
	status   int
	header   http.Header
	body     string
	isClosed bool  // the connection closes after it
	err      error // from reading the body
}

func (h *testHost) send(t *testing.T, path string, change func(*http.Request)) received {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, h.url+path, strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "svc"
	req.Header.Set(wire.HeaderID, "id1")
	req.Header.Set("Authorization", "Token k")
	req.Header.Set(wire.HeaderTimeLeft, "900")
	if change != nil {
		change(req)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return received{resp.StatusCode, resp.Header, string(body), resp.Close, err}
}

// reply writes an answer with a receipt and a Content-Length.
func reply(w net.Conn, r *http.Request, status int, body string, headers ...string) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 %d X\r\n%s: %s\r\n%s: sig\r\nContent-Length: %d\r\n%s\r\n%s", status,
		wire.HeaderID, r.Header.Get(wire.HeaderID), wire.HeaderReceipt, len(body), strings.Join(headers, ""), body)
}

func ok(w net.Conn, r *http.Request) { reply(w, r, 200, "whole") }

// refuse reports that the target ran nothing.
func refuse(w net.Conn, r *http.Request) { reply(w, r, 503, "", wire.HeaderNotRun+": 1\r\n") }

func closeConnection(w net.Conn, _ *http.Request) { _ = w.Close() }

func garbage(w net.Conn, _ *http.Request) { _, _ = io.WriteString(w, "what?"); _ = w.Close() }

func halfAnswer(w net.Conn, r *http.Request) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 X\r\n%s: id1\r\n%s: s\r\nContent-Length: 100\r\n\r\nhalf", wire.HeaderID, wire.HeaderReceipt)
	_ = w.Close()
}

func noReceipt(w net.Conn, _ *http.Request) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 X\r\n%s: id1\r\nContent-Length: 2\r\n\r\nno", wire.HeaderID)
}

func encoded(w net.Conn, r *http.Request) { reply(w, r, 200, "zip", "Content-Encoding: gzip\r\n") }

func failure(w net.Conn, r *http.Request) { reply(w, r, 500, "broken") }

func staySilent(net.Conn, *http.Request) { time.Sleep(1200 * time.Millisecond) }

// The status must be right whatever a target does, and a request that may run only once
// is never sent again unless the target reports that it ran nothing.
func TestAnswers(t *testing.T) {
	tests := []struct {
		name    string
		path    string
		scripts []targetScript // one for each target
		status  int
		body    string
		runs    int32
	}{
		{"whole answer", "/once/x", []targetScript{ok, ok}, 200, "whole", 1},
		{"refused by all, once", "/once/x", []targetScript{refuse, refuse}, 503, "", 2},
		{"broken off, once", "/once/x", []targetScript{closeConnection, closeConnection}, 502, "", 1},
		{"broken off, repeatable", "/safe/x", []targetScript{closeConnection, closeConnection}, 502, "", 2},
		{"garbage, once", "/once/x", []targetScript{garbage, garbage}, 502, "", 1},
		{"half an answer, once", "/once/x", []targetScript{halfAnswer, halfAnswer}, 502, "", 1},
		{"no receipt, once", "/once/x", []targetScript{noReceipt, noReceipt}, 502, "", 1},
		{"encoded, once", "/once/x", []targetScript{encoded, encoded}, 502, "", 1},
		{"target's own failure, once", "/once/x", []targetScript{failure, failure}, 500, "broken", 1},
		{"target's own failure, repeatable", "/safe/x", []targetScript{failure, failure}, 500, "broken", 2},
		{"silent, once", "/once/x", []targetScript{staySilent, staySilent}, 502, "", 1},
		{"no target allowed", "/home/x", []targetScript{ok}, 503, "", 0},
		{"no target", "/safe/x", nil, 503, "", 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := startHost(t, fakeStages{}, test.scripts...)
			got := h.send(t, test.path, nil)
			if got.err != nil || got.status != test.status || test.body != "" && got.body != test.body {
				t.Errorf("got %+v, want %d %q", got, test.status, test.body)
			}
			if runs := h.runs.Load(); runs != test.runs {
				t.Errorf("targets got %d requests, want %d", runs, test.runs)
			}
			if hasTime := got.header.Get(wire.HeaderRetryAfter) != ""; hasTime != (test.status == http.StatusServiceUnavailable) {
				t.Errorf("response has a retry time: %v, with status %d", hasTime, got.status)
			}
			if has := got.header.Get(wire.HeaderReceipt) != ""; has != (test.body != "") {
				t.Errorf("response has a receipt: %v, want one exactly if the answer is the target's", has)
			}
		})
	}
}

func TestRepeatableRequestIsRetriedOnAnotherTarget(t *testing.T) {
	first := atomic.Bool{}
	once := func(w net.Conn, r *http.Request) {
		if first.CompareAndSwap(false, true) {
			closeConnection(w, r)
			return
		}
		ok(w, r)
	}
	h := startHost(t, fakeStages{}, once, once)
	if got := h.send(t, "/safe/x", nil); got.err != nil || got.status != http.StatusOK || got.body != "whole" {
		t.Errorf("got %+v, want 200", got)
	}
}

// Targets get the caller's request with the headers of the system. Headers of the system
// that a caller forges don't reach them.
func TestForwardedRequest(t *testing.T) {
	var header http.Header
	var uri string
	h := startHost(t, fakeStages{}, func(w net.Conn, r *http.Request) {
		header, uri = r.Header, r.RequestURI
		ok(w, r)
	})
	got := h.send(t, "/once/a%2Fb?q=1", func(r *http.Request) {
		for _, name := range []string{wire.HeaderAccount, wire.HeaderTarget, wire.HeaderInputs, wire.HeaderPriority, wire.HeaderHold, "Kv-From"} {
			r.Header.Set(name, "forged")
		}
	})
	if got.err != nil {
		t.Fatal(got.err)
	}
	if uri != "/once/a%2Fb?q=1" {
		t.Errorf("target got URI %s, want it unchanged", uri)
	}
	for name, want := range map[string]string{
		wire.HeaderAccount: "acme", wire.HeaderTarget: "t0", wire.HeaderInputs: "", wire.HeaderPriority: "2", wire.HeaderHold: "", "Kv-From": "", "Authorization": "",
	} {
		if header.Get(name) != want {
			t.Errorf("%s is %q, want %q", name, header.Get(name), want)
		}
	}
	var left int
	if _, err := fmt.Sscan(header.Get(wire.HeaderTimeLeft), &left); err != nil || left > 900 || left < 700 {
		t.Errorf("time left %q, want a little less than 900", header.Get(wire.HeaderTimeLeft))
	}
}

func TestRequestsRejectedByTheHost(t *testing.T) {
	tests := []struct {
		name   string
		path   string
		change func(*http.Request)
		status int
	}{
		{"unknown key", "/once/x", func(r *http.Request) { r.Header.Set("Authorization", "Token other") }, 401},
		{"no key", "/once/x", func(r *http.Request) { r.Header.Del("Authorization") }, 401},
		{"no key on an open route", "/open/x", func(r *http.Request) { r.Header.Del("Authorization") }, 200},
		{"no route", "/nowhere/x", nil, 404},
		{"other host name", "/once/x", func(r *http.Request) { r.Host = "other" }, 404},
		{"no id", "/once/x", func(r *http.Request) { r.Header.Del(wire.HeaderID) }, 400},
		{"unreadable time", "/once/x", func(r *http.Request) { r.Header.Set(wire.HeaderTimeLeft, "x") }, 400},
		{"body too large", "/once/x", func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 2000))), 2000
		}, 413},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := startHost(t, fakeStages{}, ok)
			if got := h.send(t, test.path, test.change); got.status != test.status {
				t.Errorf("status %d, want %d", got.status, test.status)
			}
		})
	}
}

func TestHostWithoutConfigurationRefuses(t *testing.T) {
	h := startHost(t, fakeStages{}, ok)
	h.view.Config = nil
	if got := h.send(t, "/once/x", func(r *http.Request) { r.Header.Del("Authorization") }); got.status != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503", got.status)
	}
}

func TestStageRefusalSetsRetryAfter(t *testing.T) {
	h := startHost(t, fakeStages{err: &graph.Error{Reason: batch.ReasonBusy, RetryAfter: 1250 * time.Millisecond}}, ok)
	got := h.send(t, "/staged/x", func(r *http.Request) { r.Header.Set(wire.HeaderPieces, "2") })
	if got.status != http.StatusServiceUnavailable || got.header.Get(wire.HeaderRetryAfter) != "1.250" {
		t.Errorf("got %+v, want 503 and 1.250", got)
	}
}

// chunk writes one chunk of a chunked body.
func chunk(w net.Conn, text string) { _, _ = fmt.Fprintf(w, "%x\r\n%s\r\n", len(text), text) }

func streamHead(w net.Conn, r *http.Request) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 X\r\n%s: %s\r\n%s: sig\r\nTransfer-Encoding: chunked\r\n\r\n",
		wire.HeaderID, r.Header.Get(wire.HeaderID), wire.HeaderReceipt)
}

// A stream that breaks within an event is resumed at another target, and the caller gets
// whole events in order.
func TestStreamIsResumed(t *testing.T) {
	var resumedAt atomic.Value
	serve := func(w net.Conn, r *http.Request) {
		streamHead(w, r)
		if last := r.Header.Get(wire.HeaderLastEvent); last != "" {
			resumedAt.Store(last)
			chunk(w, "id: 2\ndata: two\n\nid: 3\ndata: three\n\n") // the caller has event 2
			chunk(w, "")
			return
		}
		chunk(w, "id: 1\ndata: one\n\nid: 2\ndata: two\n\nid: 3\nda")
		_ = w.Close()
	}
	h := startHost(t, fakeStages{}, serve, serve)
	got := h.send(t, "/stream/x", nil)
	if want := "id: 1\ndata: one\n\nid: 2\ndata: two\n\nid: 3\ndata: three\n\n"; got.err != nil || got.status != http.StatusOK || got.body != want {
		t.Errorf("got %+v, want %q", got, want)
	}
	if resumedAt.Load() != "2" {
		t.Errorf("resumed after event %v, want 2", resumedAt.Load())
	}
}

// Guards against a success without the target's receipt when the caller has every event.
func TestResumedStreamWithoutFurtherEvents(t *testing.T) {
	h := startHost(t, fakeStages{}, func(w net.Conn, r *http.Request) {
		streamHead(w, r)
		chunk(w, "id: 3\ndata: three\n\n")
		chunk(w, "")
	})
	got := h.send(t, "/stream/x", func(r *http.Request) { r.Header.Set(wire.HeaderLastEvent, "3") })
	if got.err != nil || got.status != http.StatusOK || got.body != "" || got.header.Get(wire.HeaderReceipt) == "" {
		t.Errorf("got %+v, want 200 with a receipt and no event", got)
	}
}

// A stream that can't go on must not look complete.
func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	serve := func(w net.Conn, r *http.Request) {
		streamHead(w, r)
		if r.Header.Get(wire.HeaderLastEvent) == "" {
			chunk(w, "id: 1\ndata: one\n\n")
		}
		_ = w.Close()
	}
	for _, path := range []string{"/stream/x", "/staged/x"} {
		h := startHost(t, fakeStages{}, serve, serve)
		got := h.send(t, path, nil)
		if !errors.Is(got.err, io.ErrUnexpectedEOF) || got.body != "id: 1\ndata: one\n\n" {
			t.Errorf("%s: got %+v, want one event and %v", path, got, io.ErrUnexpectedEOF)
		}
	}
}

// The stage results are freed after the first event, so a stream that breaks later needs
// them again. The response of such a stream once ended as if it were complete.
func TestResumedStreamThatNeedsItsResultsAgain(t *testing.T) {
	serve := func(w net.Conn, r *http.Request) {
		if r.Header.Get(wire.HeaderLastEvent) != "" {
			reply(w, r, 409, "", wire.HeaderNotRun+": 1\r\n")
			return
		}
		streamHead(w, r)
		chunk(w, "id: 1\ndata: one\n\n")
		_ = w.Close()
	}
	h := startHost(t, fakeStages{}, serve, serve)
	h.view.Config.Routes[2].Stages = []fleet.Stage{{Service: "p"}}
	got := h.send(t, "/stream/x", func(r *http.Request) { r.Header.Set(wire.HeaderPieces, "1") })
	if !errors.Is(got.err, io.ErrUnexpectedEOF) {
		t.Errorf("the answer ends with %v, want %v", got.err, io.ErrUnexpectedEOF)
	}
}

// When a caller disconnects, the connection to the target is closed.
func TestCallerDisconnects(t *testing.T) {
	ended := make(chan struct{})
	h := startHost(t, fakeStages{}, func(w net.Conn, _ *http.Request) {
		_ = w.SetReadDeadline(time.Now().Add(3 * time.Second))
		var one [1]byte
		if _, err := w.Read(one[:]); errors.Is(err, io.EOF) || err != nil && !errors.Is(err, context.DeadlineExceeded) {
			close(ended)
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, h.url+"/once/x", strings.NewReader("b"))
	req.Host = "svc"
	req.Header.Set(wire.HeaderID, "id1")
	req.Header.Set("Authorization", "Token k")
	time.AfterFunc(50*time.Millisecond, cancel)
	if resp, err := http.DefaultTransport.RoundTrip(req); err == nil {
		resp.Body.Close()
		t.Fatal("the request was answered")
	}
	select {
	case <-ended:
	case <-time.After(500 * time.Millisecond):
		t.Error("the target's connection is open half a second after the caller disconnected")
	}
}

// sendRaw sends bytes to the host and returns what it receives within half a second or
// until the connection closes.
func (h *testHost) sendRaw(t *testing.T, text string) string {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, _ = io.WriteString(c, text)
	_ = c.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
	out, _ := io.ReadAll(c)
	return string(out)
}

const rawHead = "POST /once/x HTTP/1.1\r\nHost: svc\r\n" + wire.HeaderID + ": 1\r\nAuthorization: Token k\r\n"

// A request with two framings never runs, nor does one hidden in or behind a body.
func TestSmuggledRequests(t *testing.T) {
	hidden := "POST /once/y HTTP/1.1\r\nHost: svc\r\n" + wire.HeaderID + ": hidden\r\nAuthorization: Token k\r\nContent-Length: 0\r\n\r\n"
	tests := []struct {
		name, text string
		runs       int32
		status     string
	}{
		{"two framings", rawHead + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden, 0, "400"},
		{"behind a chunked body", rawHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden, 1, "200"},
		{"two lengths", rawHead + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody" + hidden, 0, "400"},
		{"within a body", rawHead + fmt.Sprintf("Content-Length: %d\r\nConnection: close\r\n\r\n", len(hidden)) + hidden, 1, "200"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := startHost(t, fakeStages{}, func(w net.Conn, r *http.Request) {
				if r.Header.Get(wire.HeaderID) == "hidden" {
					t.Error("the hidden request ran")
				}
				ok(w, r)
			})
			got := h.sendRaw(t, test.text)
			if !strings.HasPrefix(got, "HTTP/1.1 "+test.status) {
				t.Errorf("got %q, want status %s", got, test.status)
			}
			if n := h.runs.Load(); n != test.runs {
				t.Errorf("%d runs, want %d", n, test.runs)
			}
		})
	}
}

func TestLeavingHostClosesConnections(t *testing.T) {
	h := startHost(t, fakeStages{}, ok)
	h.handler.Leave(drain.NewPlan(time.Now(), 8*time.Second, DirectoryTTL))
	if got := h.send(t, "/once/x", nil); !got.isClosed || got.status != http.StatusOK {
		t.Errorf("got %+v, want 200 and close", got)
	}
}

func TestDirectoryListsNearestHosts(t *testing.T) {
	peer := func(dc, region string, load int) roster.Peer {
		return roster.Peer{Host: roster.Host{Address: dc, DataCentre: dc, Region: region}, Load: load}
	}
	location := wire.Location{Region: "r1", DataCentre: "a"}
	tests := []struct {
		name         string
		peers        []roster.Peer
		routeRegions []string
		want         []string
	}{
		{"own data centre", []roster.Peer{peer("a", "r1", 0), peer("a", "r1", 0), peer("b", "r1", 0)}, nil, []string{"a", "a"}},
		{"one host left there", []roster.Peer{peer("a", "r1", 0), peer("b", "r1", 0), peer("c", "r2", 0)}, nil, []string{"a", "b"}},
		{"none in the region", []roster.Peer{peer("c", "r2", 0), peer("d", "r3", 0)}, nil, []string{"c", "d"}},
		{"none in the region, bound to another", []roster.Peer{peer("c", "r2", 0), peer("d", "r3", 0)}, []string{"r3"}, []string{"d"}},
		{"one much busier", []roster.Peer{peer("a", "r1", 10), peer("a", "r1", 900), peer("a", "r1", 12)}, nil, []string{"a", "a"}},
		{"nobody", nil, nil, []string{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := nearestAddresses(test.peers, location, test.routeRegions)
			counts := func(l []string) map[string]int {
				m := map[string]int{}
				for _, x := range l {
					m[x]++
				}
				return m
			}
			if !reflect.DeepEqual(counts(got), counts(test.want)) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// Lines longer than the buffer are read in parts. A part that was empty or began like a field
// was once taken for a line of its own, which split the event and gave it a wrong ID.
func TestReadEventWithLongLines(t *testing.T) {
	const bufferSize = 16 // the least that bufio allows
	long := "data: 0123456789"
	for _, want := range []event{
		{raw: []byte(long + "\nid: 7\n\n"), id: "7"},
		{raw: []byte("id: 7\n" + long + "id: 8\n\n"), id: "7"},
		{raw: []byte(long + long + "\r\nid: 7\r\n\r\n"), id: "7"},
	} {
		got, err := readEvent(bufio.NewReaderSize(strings.NewReader(string(want.raw)+"id: 9\n\n"), bufferSize))
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("got event %q with ID %q, %v, want %q with %q", got.raw, got.id, err, want.raw, want.id)
		}
	}
}

// A stream that ends within an event has been broken off; what else may follow the last event
// leaves it complete.
func TestEndOfAStream(t *testing.T) {
	const bufferSize = 16 // the least that bufio allows
	for rest, want := range map[string]error{
		"": io.EOF, "\n": io.EOF, "\r\n\r\n": io.EOF, ": bye\n": io.EOF, "\n: bye\n": io.EOF,
		"i": io.ErrUnexpectedEOF, ": b": io.ErrUnexpectedEOF, "id: 2\n": io.ErrUnexpectedEOF, ": hi\nid: 2\n": io.ErrUnexpectedEOF,
		"data: 0123456789": io.ErrUnexpectedEOF, "data: 0123456789\n": io.ErrUnexpectedEOF,
	} {
		r := bufio.NewReaderSize(strings.NewReader("id: 1\n\n"+rest), bufferSize)
		if e, err := readEvent(r); err != nil || e.id != "1" {
			t.Errorf("got event %q, %v, want the first", e.raw, err)
		}
		if e, err := readEvent(r); !errors.Is(err, want) || string(e.raw) != rest {
			t.Errorf("rest %q: got %q, %v, want %v", rest, e.raw, err, want)
		}
	}
}

// readEvents reads a stream to its end. all is what was read, with what follows the last event.
func readEvents(r *bufio.Reader) (events []event, all string, err error) {
	for {
		e, err := readEvent(r)
		all += string(e.raw)
		if err != nil {
			return events, all, err
		}
		if !e.isComment {
			events = append(events, e)
		}
	}
}

// Comments that are buffered are read at once. Events must be the same however their bytes
// arrive.
func FuzzReadEvent(f *testing.F) {
	f.Add("id: 1\ndata: x\n\n")
	f.Add("\r\n\r\nid:2\r\n\r\n")
	f.Add(": a\n\n: b\n: c\r\n\r\n\n: d\nid: 1\n: e\n\n: f\n\n\r\r\n:\n \n\nid: 2\n\n: g\n")
	f.Fuzz(func(t *testing.T, text string) {
		wantEvents, _, wantErr := readEvents(bufio.NewReader(iotest.OneByteReader(strings.NewReader(text))))
		for _, size := range []int{16, 4 << 10} {
			events, all, err := readEvents(bufio.NewReaderSize(strings.NewReader(text), size))
			if all != text {
				t.Errorf("buffer of %d: read %q, want all of %q", size, all, text)
			}
			if !reflect.DeepEqual(events, wantEvents) || !errors.Is(err, wantErr) {
				t.Errorf("buffer of %d: got %+v, %v, byte by byte %+v, %v", size, events, err, wantEvents, wantErr)
			}
		}
	})
}

// boundStages gives results of the first start of a stage target, then of the second.
type boundStages struct{ runs atomic.Int64 }

func (s *boundStages) Run(context.Context, batch.Order, time.Time, time.Time) (*graph.Results, error) {
	return &graph.Results{Handles: []string{batch.BindHandle("maker/1", s.runs.Add(1))}}, nil
}

// A request once ran on the result of another, which a stage target made after a new start under
// the handle of the earlier one.
func TestResultsOfAnEarlierStartAreNotSent(t *testing.T) {
	stages := &boundStages{}
	inputs := make(chan string, 4)
	h := startHost(t, stages, func(w net.Conn, r *http.Request) {
		inputs <- r.Header.Get(wire.HeaderInputs)
		streamHead(w, r)
		chunk(w, "id: 1\ndata: one\n\n")
		chunk(w, "")
	})
	h.view.Targets["p"] = []*table.Target{{Target: fleet.Target{ID: "m", Service: "p", Address: "maker", StartMillis: 2}}}
	got := h.send(t, "/staged/a", func(r *http.Request) { r.Header.Set(wire.HeaderPieces, "1") })
	if got.status != 200 || stages.runs.Load() != 2 || len(inputs) != 1 || <-inputs != "maker/1" {
		t.Errorf("status %d after %d runs of the stages, want 200 after the second", got.status, stages.runs.Load())
	}
}
