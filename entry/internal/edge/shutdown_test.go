package edge

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"

	"chivepost/entry/internal/drain"
	"chivepost/platform/wire"
)

// awaitIdle waits until no request is in progress.
func (h *testHost) awaitIdle(t *testing.T) {
	t.Helper()
	for start := time.Now(); h.handler.Active() > 0; time.Sleep(time.Millisecond) {
		if time.Since(start) > 500*time.Millisecond {
			t.Fatalf("%d requests are still in progress", h.handler.Active())
		}
	}
}

// Incident "lost in restarts": a process that ended with requests in progress closed their
// connections without an answer.
func TestRequestsInProgressAreEndedByTheirKind(t *testing.T) {
	tests := []struct {
		name, path string
		stages     StageRunner
		script     func(started func()) targetScript
		status     int
		err        error
		runs       int32
	}{
		{"in stages", "/staged/x", slowStages{time.Minute}, nil, http.StatusServiceUnavailable, nil, 0},
		{"at a target", "/once/x", fakeStages{}, func(started func()) targetScript {
			return func(net.Conn, *http.Request) { started(); time.Sleep(300 * time.Millisecond) }
		}, http.StatusBadGateway, nil, 1},
		{"at a target, may be repeated", "/safe/x", fakeStages{}, func(started func()) targetScript {
			return func(net.Conn, *http.Request) { started(); time.Sleep(300 * time.Millisecond) }
		}, http.StatusBadGateway, nil, 1},
		{"in a stream", "/stream/x", fakeStages{}, func(started func()) targetScript {
			return func(w net.Conn, r *http.Request) {
				streamHead(w, r)
				chunk(w, "id: 1\ndata: one\n\n")
				started()
				time.Sleep(300 * time.Millisecond)
			}
		}, http.StatusOK, io.ErrUnexpectedEOF, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var once sync.Once
			started := make(chan struct{})
			script := ok
			if test.script != nil {
				script = test.script(func() { once.Do(func() { close(started) }) })
			} else {
				close(started)
			}
			h := startHost(t, test.stages, script)
			var log logLines
			h.handler.logger = funcr.New(log.add, funcr.Options{})
			answered := make(chan received, 1)
			go func() {
				answered <- h.send(t, test.path, func(r *http.Request) { r.Header.Set(wire.HeaderPieces, "2") })
			}()
			<-started
			time.Sleep(50 * time.Millisecond)
			now := time.Now()
			h.handler.Leave(drain.Plan{Start: now, Unlisted: now, Closing: now, Abort: now, End: now.Add(time.Second)})
			h.handler.Abort(now.Add(500 * time.Millisecond))
			got := <-answered
			if got.status != test.status || !errors.Is(got.err, test.err) || h.runs.Load() != test.runs {
				t.Errorf("got %+v with %d runs, want %d, %v and %d", got, h.runs.Load(), test.status, test.err, test.runs)
			}
			if hasTime := got.header.Get(wire.HeaderRetryAfter) != ""; hasTime != (test.status == http.StatusServiceUnavailable) {
				t.Errorf("response has a retry time: %v, with status %d", hasTime, got.status)
			}
			h.awaitIdle(t)
			if lines := log.matching(`"msg"="request"`); len(lines) != 1 || !strings.Contains(lines[0], `"reason"="the host is leaving"`) {
				t.Errorf("got lines %q, want one with the reason", lines)
			}
		})
	}
}

// Guards against a stop that waits for the rest of a body.
func TestRequestWhoseBodyIsIncompleteIsRefusedAtTheEnd(t *testing.T) {
	h := startHost(t, fakeStages{}, ok)
	c, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, _ = io.WriteString(c, rawHead+"Content-Length: 4\r\n\r\nbo")
	for h.handler.Active() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond)
	h.handler.Leave(planIn(-1, -1, time.Minute))
	h.handler.Abort(time.Now().Add(time.Second))
	_ = c.SetReadDeadline(time.Now().Add(500 * time.Millisecond)) // the request's own deadline is later
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("got %d, want 503", resp.StatusCode)
	}
	h.awaitIdle(t)
}

// Guards against a stop that waits for a caller that doesn't read.
func TestCallerThatDoesNotReadDelaysNoEnd(t *testing.T) {
	h := startHost(t, fakeStages{}, func(w net.Conn, r *http.Request) {
		streamHead(w, r)
		for n := 1; n < 2000; n++ {
			chunk(w, fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.Repeat("x", 32<<10)))
		}
	})
	c, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, _ = io.WriteString(c, strings.Replace(rawHead, "/once/", "/stream/", 1)+"Content-Length: 0\r\n\r\n")
	time.Sleep(300 * time.Millisecond) // the buffers are full
	if h.handler.Active() != 1 {
		t.Fatalf("%d requests in progress, want 1 that waits for its caller", h.handler.Active())
	}
	h.handler.Leave(planIn(-1, -1, time.Minute))
	h.handler.Abort(time.Now().Add(50 * time.Millisecond))
	h.awaitIdle(t)
}

// caller sends requests to hosts, one after the other on a connection that it keeps until
// the host closes it.
type caller struct {
	name      string
	addresses []string
	transport *http.Transport
	random    *rand.Rand
	timeLeft  time.Duration // for which it waits; 0: it doesn't say
	pause     time.Duration // after a refusal
	sent      int
	answers   map[string]int  // status by request ID; complete answers only
	broken    map[string]bool // requests without a complete answer
	sentAt    map[string]time.Time
	streams   map[string]bool // requests for streams
}

func newCaller(name string, addresses []string, random *rand.Rand) *caller {
	return &caller{
		name: name, addresses: addresses, transport: &http.Transport{MaxConnsPerHost: 1}, random: random,
		answers: map[string]int{}, broken: map[string]bool{}, sentAt: map[string]time.Time{}, streams: map[string]bool{},
	}
}

func (c *caller) run(until time.Time) {
	paths := []string{"/once/x", "/safe/x", "/stream/x", "/staged/x"}
	for i := 0; time.Now().Before(until); i++ {
		c.sent++
		id := fmt.Sprintf("%s-%d", c.name, c.sent)
		address := c.addresses[c.random.IntN(len(c.addresses))]
		path := paths[c.random.IntN(len(paths))]
		c.sentAt[id], c.streams[id] = time.Now(), strings.HasPrefix(path, "/st")
		req, _ := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader("body"))
		req.Host = "svc"
		req.Header.Set(wire.HeaderID, id)
		req.Header.Set("Authorization", "Token k")
		req.Header.Set(wire.HeaderPieces, "2")
		if c.timeLeft > 0 {
			req.Header.Set(wire.HeaderTimeLeft, strconv.FormatInt(c.timeLeft.Milliseconds(), 10))
		}
		req.GetBody = nil // the transport sends nothing again by itself
		resp, err := c.transport.RoundTrip(req)
		if err != nil {
			c.broken[id] = true
			time.Sleep(5 * time.Millisecond)
			continue
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			c.broken[id] = true
			continue
		}
		if c.answers[id] = resp.StatusCode; resp.StatusCode == http.StatusServiceUnavailable {
			time.Sleep(c.pause)
		}
	}
}

// Incident "lost in restarts": when hosts stopped one after the other while callers kept
// their connections, requests that had been taken got no answer. A busy machine answers fewer
// in the time of a play, so there are as many plays as it takes.
func TestHostsThatStopInSeriesLoseNoRequest(t *testing.T) {
	const enough, maxPlays = 100, 5
	answered := 0
	for play := uint64(1); answered < enough && play <= maxPlays; play++ {
		answered += playStopsInSeries(t, play)
	}
	if answered < enough {
		t.Errorf("%d requests were answered, want at least %d", answered, enough)
	}
}

// playStopsInSeries stops three hosts one after the other and returns the number of requests
// that were answered meanwhile.
func playStopsInSeries(t *testing.T, seed uint64) (answered int) {
	t.Helper()
	const ttl = 300 * time.Millisecond
	planFrom := func(start time.Time) drain.Plan {
		return drain.Plan{Start: start, Unlisted: start.Add(ttl), Closing: start.Add(600 * time.Millisecond), Abort: start.Add(time.Second), End: start.Add(2 * time.Second)}
	}
	random := rand.New(rand.NewPCG(seed, 1))
	var delay sync.Mutex
	wait := func(most time.Duration) {
		delay.Lock()
		d := time.Duration(random.Int64N(int64(most)))
		if random.IntN(20) == 0 {
			d = 5 * time.Second // longer than a shutdown
		}
		delay.Unlock()
		time.Sleep(d)
	}
	serve := func(w net.Conn, r *http.Request) {
		wait(200 * time.Millisecond)
		if !strings.HasPrefix(r.URL.Path, "/st") {
			ok(w, r)
			return
		}
		streamHead(w, r)
		for n := range 4 {
			wait(400 * time.Millisecond)
			chunk(w, fmt.Sprintf("id: %d\ndata: x\n\n", n+1))
		}
		chunk(w, "")
	}
	var log logLines
	var hosts []*testHost
	var addresses []string
	for range 3 {
		h := startHost(t, slowStages{150 * time.Millisecond}, serve, serve)
		h.handler.logger = funcr.New(log.add, funcr.Options{})
		for i := range h.view.Config.Routes {
			h.view.Config.Routes[i].Timeout = 10 * time.Second
		}
		hosts, addresses = append(hosts, h), append(addresses, strings.TrimPrefix(h.url, "http://"))
	}
	start := time.Now()
	var callers []*caller
	var running sync.WaitGroup
	for i := range 24 {
		c := newCaller(fmt.Sprintf("c%d", i), addresses, rand.New(rand.NewPCG(seed+1, uint64(i))))
		callers = append(callers, c)
		running.Go(func() { c.run(start.Add(3 * time.Second)) })
	}
	for i, h := range hosts {
		running.Go(func() {
			time.Sleep(time.Duration(500+300*i) * time.Millisecond)
			if err := h.handler.Shutdown(planFrom(time.Now()), h.server); err != nil {
				t.Errorf("host %d: shutdown: %v", i, err)
			}
			if n := h.handler.Active(); n != 0 {
				t.Errorf("host %d: %d requests in progress after the shutdown, want 0", i, n)
			}
		})
	}
	running.Wait()
	cut := 0
	for _, c := range callers {
		answered += len(c.answers)
		for id := range c.broken {
			lines := log.matching(fmt.Sprintf(`"msg"="request" "id"=%q`, id))
			if len(lines) == 0 {
				continue // no host took it
			}
			cut++
			// Only a stream that was taken while the host was still listed may break off, at the
			// end of the shutdown.
			if !strings.Contains(lines[0], `"kind"="stream"`) || !strings.Contains(lines[0], leavingReason) || leavingForOf(t, lines[0]) > ttl {
				t.Errorf("request without an answer: %s", lines[0])
			}
		}
	}
	if abandoned := log.matching("request abandoned"); len(abandoned) > 0 {
		t.Errorf("abandoned requests: %q", abandoned)
	}
	t.Logf("%d answered, %d streams broken off at the end, %d refused", answered, cut, len(log.matching(`"reason"="the host is leaving"`)))
	return answered
}

func leavingForOf(t *testing.T, line string) time.Duration {
	t.Helper()
	_, rest, _ := strings.Cut(line, `"leaving_for"="`)
	text, _, _ := strings.Cut(rest, `"`)
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatalf("line without a valid leaving_for: %s", line)
	}
	return d
}

// lastRead calls a function when the body has been read, before the handler knows it.
type lastRead struct {
	io.ReadCloser
	left int
	call func()
}

func (b *lastRead) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.left -= n; b.left == 0 && b.call != nil {
		b.call()
		b.call = nil
	}
	return n, err
}

// Guards against an end of a request that net/http takes for a caller that is gone: the
// request then got an empty success.
func TestRequestThatEndsWhenItsBodyIsReadIsRefused(t *testing.T) {
	h := startHost(t, fakeStages{}, ok)
	inner := h.server.Handler
	h.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = &lastRead{r.Body, int(r.ContentLength), func() {
			h.handler.Leave(planIn(-1, -1, -1))
			h.handler.Abort(time.Now().Add(500 * time.Millisecond))
			time.Sleep(50 * time.Millisecond) // the server reads from the connection
		}}
		inner.ServeHTTP(w, r)
	})
	got := h.send(t, "/once/x", nil)
	if got.status != http.StatusServiceUnavailable || h.runs.Load() != 0 {
		t.Errorf("got %+v with %d runs, want 503 and none", got, h.runs.Load())
	}
	h.awaitIdle(t)
}

// Guards against an empty success for a caller that has closed its side for writing.
func TestCallerThatClosesItsSideGetsNoEmptySuccess(t *testing.T) {
	h := startHost(t, slowStages{200 * time.Millisecond}, ok)
	conn, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, strings.Replace(rawHead, "/once/", "/staged/", 1)+wire.HeaderPieces+": 2\r\nContent-Length: 0\r\n\r\n")
	_ = conn.(*net.TCPConn).CloseWrite()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return // closed without an answer
	}
	defer resp.Body.Close()
	if resp.StatusCode < http.StatusMultipleChoices {
		t.Errorf("got %d without an answer of a target", resp.StatusCode)
	}
}
