package edge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"chivepost/platform/wire"
	"chivepost/share/heap"
)

// socketSlack is room for what the kernel buffers between a target and the host.
const socketSlack = 1 << 20

// endless returns a script that answers with start and then repeats unit until the
// connection closes, and a count of the bytes of these. ID in start is the request's.
func endless(start, unit string) (targetScript, *atomic.Int64) {
	written := &atomic.Int64{}
	block := []byte(strings.Repeat(unit, 1+(4<<10)/len(unit)))
	return func(w net.Conn, r *http.Request) {
		_ = w.(*net.TCPConn).SetWriteBuffer(32 << 10)
		_, err := io.WriteString(w, strings.ReplaceAll(start, "ID", r.Header.Get(wire.HeaderID)))
		for err == nil {
			var n int
			n, err = w.Write(block)
			written.Add(int64(n))
		}
	}, written
}

// answerHead is the start of an answer, up to the headers of its body.
func answerHead(status int) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%s: ID\r\n%s: sig\r\n", status, wire.HeaderID, wire.HeaderReceipt)
}

// A target in trouble may send bytes without end. Its connection is closed early, it is
// ejected, and a repeatable request is answered by another target.
func TestEndlessAnswers(t *testing.T) {
	tests := []struct {
		name, path, start, unit string
		status                  int // without another target
		limit                   int64
	}{
		{"head, repeatable", "/safe/x", "", "x", 502, 64 << 10},
		{"head, once", "/once/x", "", "x", 502, 64 << 10},
		{"head, stream", "/stream/x", answerHead(200), "A: b\r\n", 502, 64 << 10},
		{"failure, repeatable", "/safe/x", answerHead(500) + "\r\n", "x", 502, maxHeldAnswer},
		{"failure, once", "/once/x", answerHead(500) + "\r\n", "x", 502, maxHeldAnswer},
		{"failure, stream", "/stream/x", answerHead(503) + "\r\n", "x", 502, maxHeldAnswer},
	}
	events := answerHead(200) + "\r\n"
	for _, unit := range []struct{ name, unit string }{
		{"event", "x"},
		{"line", "data: x\n"},
		{"blank lines", "\n"},
		{"blank lines with CR", "\r\n"},
		{"comments", ": x\n\n"},
		{"comment", ": x\n"},
	} {
		test := tests[0]
		test.name, test.path, test.start, test.unit, test.limit = "stream of endless "+unit.name, "/stream/x", events, unit.unit, maxEvent
		tests = append(tests, test)
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			script, written := endless(test.start, test.unit)
			// The route allows two attempts, and the second one fails as well.
			h := startHost(t, fakeStages{}, script, script)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			start := time.Now()
			got := h.send(t, test.path, nil)
			took := time.Since(start)
			runtime.ReadMemStats(&after)
			if got.err != nil || got.status != test.status {
				t.Errorf("got status %d and %d bytes, %v, want status %d", got.status, len(got.body), got.err, test.status)
			}
			if limit := 700 * time.Millisecond; took > limit {
				t.Errorf("answered after %v, want at most %v of the 900ms that the caller waits", took, limit)
			}
			runs := int64(h.runs.Load())
			if limit := runs * (test.limit + socketSlack); written.Load() > limit {
				t.Errorf("the targets could send %d bytes, want at most %d", written.Load(), limit)
			}
			if limit := uint64(runs*8*test.limit + 2<<20); after.TotalAlloc-before.TotalAlloc > limit {
				t.Errorf("allocated %d bytes, want at most %d", after.TotalAlloc-before.TotalAlloc, limit)
			}
		})
	}
}

// A target that sends bytes without end is ejected after failing twice, and repeatable
// requests are answered by the other target in time.
func TestEndlessTargetIsEjected(t *testing.T) {
	bad, _ := endless("", "x")
	var badRuns atomic.Int32
	h := startHost(t, fakeStages{}, func(w net.Conn, r *http.Request) {
		badRuns.Add(1)
		bad(w, r)
	}, ok)
	for range 30 {
		start := time.Now()
		got := h.send(t, "/safe/x", nil)
		if got.err != nil || got.status != http.StatusOK || got.body != "whole" {
			t.Errorf("got %+v, want 200", got)
		}
		if took := time.Since(start); took > 200*time.Millisecond {
			t.Errorf("answered after %v, want the route's objective of 200ms", took)
		}
	}
	if n := badRuns.Load(); n == 0 || n > 2 {
		t.Errorf("%d requests reached the target in trouble, want 1 or 2", n)
	}
}

// A refusal may come with a body without end, as fast as the link carries it or drop by drop.
// The host once read 1 MiB of it or until the deadline, though the head says all.
func TestRefusalWithAnEndlessBody(t *testing.T) {
	head := answerHead(http.StatusServiceUnavailable) + wire.HeaderNotRun + ": 1\r\n"
	fast, _ := endless(head+"\r\n", "x")
	slow := func(w net.Conn, r *http.Request) {
		_, err := io.WriteString(w, strings.ReplaceAll(head+"Content-Length: 100\r\n\r\n", "ID", r.Header.Get(wire.HeaderID)))
		for err == nil {
			time.Sleep(20 * time.Millisecond)
			_, err = io.WriteString(w, "x")
		}
	}
	for name, script := range map[string]targetScript{"fast": fast, "slow": slow} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{}, 2)
			h := startHost(t, fakeStages{}, func(w net.Conn, r *http.Request) {
				script(w, r)
				closed <- struct{}{}
			}, func(w net.Conn, r *http.Request) {
				script(w, r)
				closed <- struct{}{}
			})
			start := time.Now()
			got := h.send(t, "/once/x", nil)
			if took := time.Since(start); took > 400*time.Millisecond {
				t.Errorf("answered after %v, want early enough for the caller to retry", took)
			}
			if got.err != nil || got.status != http.StatusServiceUnavailable || got.header.Get(wire.HeaderRetryAfter) == "" {
				t.Errorf("got %+v, want 503 with a retry time", got)
			}
			if n := h.runs.Load(); n != 2 {
				t.Errorf("targets got %d requests, want 2", n)
			}
			for range 2 {
				select {
				case <-closed:
				case <-time.After(time.Second):
					t.Fatal("a target's connection is still open")
				}
			}
		})
	}
}

// Comments without end are no events: a stream with nothing else is resumed at another
// target.
func TestEndlessCommentsAreNoEvents(t *testing.T) {
	const first, second, comment = "id: 1\ndata: one\n\n", "id: 2\ndata: two\n\n", ": wait\n\n"
	bad, written := endless(answerHead(200)+"\r\n"+first, comment)
	serve := func(w net.Conn, r *http.Request) {
		if r.Header.Get(wire.HeaderLastEvent) == "" {
			bad(w, r)
			return
		}
		streamHead(w, r)
		chunk(w, second)
		chunk(w, "")
	}
	h := startHost(t, fakeStages{}, serve, serve)
	got := h.send(t, "/stream/x", nil)
	if got.err != nil || got.status != http.StatusOK || h.runs.Load() != 2 {
		t.Errorf("got status %d, %v from %d targets, want 200 from 2", got.status, got.err, h.runs.Load())
	}
	if events := strings.ReplaceAll(got.body, comment, ""); events != first+second {
		t.Errorf("got events %.200q, want %q", events, first+second)
	}
	if limit := int64(maxEvent + socketSlack); written.Load() > limit {
		t.Errorf("the target could send %d bytes, want at most %d", written.Load(), limit)
	}
}

// Comments and blank lines are relayed as they are, also behind the last event, where they
// once made the stream look broken. A stream without an event isn't complete.
func TestCommentsOfAStream(t *testing.T) {
	tests := []struct {
		name, body string
		status     int
	}{
		{"around events", ": hello\n\n: wait\n\nid: 1\ndata: one\n\n: wait\n\nid: 2\n: within\ndata: two\n\n: bye\n\n", 200},
		{"line behind the last event", "id: 1\ndata: one\n\n: bye\n", 200},
		{"blank line behind the last event", "id: 1\ndata: one\n\n\r\n", 200},
		{"alone", ": hello\n\n", 502},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := startHost(t, fakeStages{}, func(w net.Conn, r *http.Request) {
				streamHead(w, r)
				chunk(w, test.body)
				chunk(w, "")
			})
			got := h.send(t, "/staged/x", nil)
			if got.err != nil || got.status != test.status || test.status == http.StatusOK && got.body != test.body {
				t.Errorf("got %+v, want %d %q", got, test.status, test.body)
			}
		})
	}
}

// A long answer of a target that is sound is relayed for as long as the caller waits. The
// timer for the first byte once broke it off.
func TestLongAnswerOutlastsTheFirstByteTimeout(t *testing.T) {
	const length = maxHeldAnswer + 30<<10
	serve := func(w net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(w, strings.ReplaceAll(answerHead(200), "ID", r.Header.Get(wire.HeaderID))+"Content-Length: %d\r\n\r\n", length)
		_, _ = io.WriteString(w, strings.Repeat("x", maxHeldAnswer+10<<10))
		for range 20 {
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(w, strings.Repeat("y", 1<<10))
		}
	}
	h := startHost(t, fakeStages{}, serve, serve)
	got := h.send(t, "/safe/x", nil)
	if got.err != nil || got.status != http.StatusOK || len(got.body) != length {
		t.Errorf("got status %d and %d bytes, %v, want 200 and %d", got.status, len(got.body), got.err, length)
	}
}

// A long answer that goes on at the deadline of its caller must not look complete.
func TestEndlessAnswerDoesNotLookComplete(t *testing.T) {
	for name, headers := range map[string]string{
		"ends with its connection": "\r\n",
		"chunked":                  "Transfer-Encoding: chunked\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			unit := "x"
			if name == "chunked" {
				unit = "400\r\n" + strings.Repeat("x", 1<<10) + "\r\n"
			}
			script, _ := endless(answerHead(200)+headers, unit)
			h := startHost(t, fakeStages{}, script)
			req, err := http.NewRequest(http.MethodPost, h.url+"/once/x", strings.NewReader("body"))
			if err != nil {
				t.Fatal(err)
			}
			req.Host = "svc"
			req.Header.Set(wire.HeaderID, "id1")
			req.Header.Set("Authorization", "Token k")
			req.Header.Set(wire.HeaderTimeLeft, "500")
			start := time.Now()
			resp, err := http.DefaultTransport.RoundTrip(req)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			n, err := io.Copy(io.Discard, resp.Body)
			runtime.ReadMemStats(&after)
			if !errors.Is(err, io.ErrUnexpectedEOF) || n <= maxHeldAnswer {
				t.Errorf("got %d bytes and %v, want more than %d and %v", n, err, maxHeldAnswer, io.ErrUnexpectedEOF)
			}
			if took := time.Since(start); took > 700*time.Millisecond {
				t.Errorf("cut off after %v, want 500ms", took)
			}
			if got := after.TotalAlloc - before.TotalAlloc; got > 8*maxHeldAnswer {
				t.Errorf("allocated %d bytes for an answer of %d, want at most %d", got, n, 8*maxHeldAnswer)
			}
		})
	}
}

// A caller that disconnects within a long answer says nothing about the target, which was
// once ejected for it.
func TestCallerDisconnectsWithinALongAnswer(t *testing.T) {
	long, _ := endless(answerHead(200)+"\r\n", "x")
	var others atomic.Int32
	h := startHost(t, fakeStages{}, long, func(w net.Conn, r *http.Request) {
		others.Add(1) // the first of two idle targets is chosen unless it is ejected
		long(w, r)
	})
	for range 3 {
		ctx, cancel := context.WithCancel(context.Background())
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.url+"/once/x", strings.NewReader("body"))
		if err != nil {
			t.Fatal(err)
		}
		req.Host = "svc"
		req.Header.Set(wire.HeaderID, "id1")
		req.Header.Set("Authorization", "Token k")
		resp, err := http.DefaultTransport.RoundTrip(req)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.CopyN(io.Discard, resp.Body, 2*maxHeldAnswer); err != nil {
			t.Fatal(err)
		}
		cancel()
		resp.Body.Close()
		for h.handler.Active() > 0 {
			time.Sleep(time.Millisecond)
		}
	}
	if n := others.Load(); n != 0 {
		t.Errorf("%d requests went to the other target, want 0", n)
	}
}

// The smallest host has 184 MB. Requests at targets in trouble must leave it half of that.
func TestEndlessAnswersFitIntoTheMemory(t *testing.T) {
	const callers, limit = 64, 92 << 20
	tests := []struct{ name, path, start, unit string }{
		{"heads", "/safe/x", "", "x"},
		{"headers", "/safe/x", answerHead(200), "A: b\r\n"},
		{"failures", "/safe/x", answerHead(500) + "\r\n", "x"},
		{"long answers", "/once/x", answerHead(200) + "\r\n", "x"},
		{"events", "/stream/x", answerHead(200) + "\r\n", "x"},
		{"comments", "/stream/x", answerHead(200) + "\r\n", ": x\n\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			script, _ := endless(test.start, test.unit)
			h := startHost(t, fakeStages{}, script, script, script)
			got := heap.Peak(func() {
				var wait sync.WaitGroup
				for range callers {
					wait.Go(func() {
						ctx, cancel := context.WithTimeout(context.Background(), time.Second)
						defer cancel()
						req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.url+test.path, strings.NewReader("body"))
						if err != nil {
							t.Error(err)
							return
						}
						req.Host = "svc"
						req.Header.Set(wire.HeaderID, "id1")
						req.Header.Set("Authorization", "Token k")
						if resp, err := http.DefaultTransport.RoundTrip(req); err == nil {
							_, _ = io.Copy(io.Discard, resp.Body)
							resp.Body.Close()
						}
					})
				}
				wait.Wait()
			})
			if got > limit {
				t.Errorf("the heap took %d bytes, want at most %d", got, limit)
			}
		})
	}
}

// A caller that doesn't read what a target sends without end once kept its request, and so
// the shutdown of the host, for as long as its connection was open.
func TestCallerThatDoesNotRead(t *testing.T) {
	for _, test := range []struct{ name, path, unit string }{
		{"answer", "/once/x", "x"},
		{"stream", "/stream/x", "data: " + strings.Repeat("x", 16<<10) + "\n\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			script, _ := endless(answerHead(200)+"\r\n", test.unit)
			h := startHost(t, fakeStages{}, script)
			c, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: svc\r\n%s: 1\r\nAuthorization: Token k\r\n%s: 300\r\nContent-Length: 0\r\n\r\n", test.path, wire.HeaderID, wire.HeaderTimeLeft)
			for h.handler.Active() == 0 {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(300*time.Millisecond + writeSlack + 500*time.Millisecond)
			if n := h.handler.Active(); n != 0 {
				t.Errorf("%d requests in progress after the deadline and %v, want 0", n, writeSlack)
			}
		})
	}
}
