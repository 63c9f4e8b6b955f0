package edge

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"chivepost/platform/wire"
)

// Headers by which a target announces that it leaves, or for how long it wants no requests.
const (
	leavingHeader = "Server-Leaving: 1\r\n"
	busyHeaders   = wire.HeaderNotRun + ": 1\r\nRetry-After: %s\r\n"
)

// announcing returns a script that counts the requests of a target and answers each with first
// and then with the other script.
func announcing(count *atomic.Int32, first, then targetScript) targetScript {
	return func(w net.Conn, r *http.Request) {
		if count.Add(1) == 1 {
			first(w, r)
			return
		}
		then(w, r)
	}
}

func leaving(status int, body string, headers ...string) targetScript {
	return func(w net.Conn, r *http.Request) { reply(w, r, status, body, append(headers, leavingHeader)...) }
}

func busy(retryAfter string) targetScript {
	return func(w net.Conn, r *http.Request) {
		reply(w, r, 503, "", fmt.Sprintf(busyHeaders, retryAfter))
	}
}

// leavingStream streams one event with the announcement in its head.
func leavingStream(w net.Conn, r *http.Request) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 X\r\n%s: %s\r\n%s: sig\r\n%sTransfer-Encoding: chunked\r\n\r\n",
		wire.HeaderID, r.Header.Get(wire.HeaderID), wire.HeaderReceipt, leavingHeader)
	chunk(w, "id: 1\ndata: x\n\n")
	_, _ = io.WriteString(w, "0\r\n\r\n")
}

// interimLeaving announces in an interim answer only, which HTTP libraries skip.
func interimLeaving(w net.Conn, r *http.Request) {
	_, _ = io.WriteString(w, "HTTP/1.1 103 Early Hints\r\n"+leavingHeader+"\r\n")
	ok(w, r)
}

// sendMany sends n requests that differ in their IDs, and returns how many were answered with
// each status.
func (h *testHost) sendMany(t *testing.T, path string, n int) map[int]int {
	t.Helper()
	out := map[int]int{}
	for i := range n {
		out[h.send(t, path, func(r *http.Request) { r.Header.Set(wire.HeaderID, "many"+strconv.Itoa(i)) }).status]++
	}
	return out
}

// A target that leaves says so in its answers. It once got requests until the store's entry
// said the same, so without end while the store was away.
func TestLeavingTargetGetsNoFurtherRequests(t *testing.T) {
	tests := []struct {
		name, path string
		first      targetScript
	}{
		{"whole answer", "/safe/x", leaving(200, "whole")},
		{"refusal", "/once/x", leaving(503, "", wire.HeaderNotRun+": 1\r\n")},
		{"failure", "/once/x", leaving(500, "broken")},
		{"stream", "/stream/x", leavingStream},
		{"interim answer", "/safe/x", interimLeaving},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var counts [2]atomic.Int32
			var others targetScript = ok
			if test.path == "/stream/x" {
				others = func(w net.Conn, r *http.Request) { reply(w, r, 200, "id: 1\ndata: x\n\n") }
			}
			h := startHost(t, fakeStages{}, announcing(&counts[0], test.first, test.first), announcing(&counts[1], others, others))
			for i := 0; counts[0].Load() == 0 && i < 20; i++ {
				h.send(t, test.path, nil)
			}
			if got := h.sendMany(t, test.path, 20); got[http.StatusOK] != 20 {
				t.Errorf("statuses %v, want 20 answered with 200", got)
			}
			if n := counts[0].Load(); n != 1 {
				t.Errorf("the leaving target got %d requests, want 1", n)
			}
		})
	}
}

// A busy target wants no requests for the time that it gives. It once got the next ones after
// a pause of 150 ms.
func TestBusyTargetGetsNoRequestsUntilItsTimeIsOver(t *testing.T) {
	var counts [2]atomic.Int32
	h := startHost(t, fakeStages{}, announcing(&counts[0], busy("0.9"), ok), announcing(&counts[1], ok, ok))
	for i := 0; counts[0].Load() == 0 && i < 20; i++ {
		h.send(t, "/once/x", nil)
	}
	begin := time.Now()
	for time.Since(begin) < 700*time.Millisecond {
		if got := h.sendMany(t, "/once/x", 4); got[http.StatusOK] != 4 {
			t.Fatalf("statuses %v, want 4 answered with 200", got)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if n := counts[0].Load(); n != 1 {
		t.Errorf("the busy target got %d requests within its time, want 1", n)
	}
	time.Sleep(300 * time.Millisecond)
	h.sendMany(t, "/once/x", 10)
	if n := counts[0].Load(); n < 2 {
		t.Error("the target got no request after its time, want some")
	}
}

// If all targets are busy, callers are told at once to return when the first one isn't.
func TestRequestIsRefusedAtOnceIfAllTargetsAreBusy(t *testing.T) {
	var counts [2]atomic.Int32
	h := startHost(t, fakeStages{}, announcing(&counts[0], busy("5"), busy("5")), announcing(&counts[1], busy("20"), busy("20")))
	h.send(t, "/once/x", nil)
	begin := time.Now()
	got := h.send(t, "/once/x", nil)
	after, err := strconv.ParseFloat(got.header.Get(wire.HeaderRetryAfter), 64)
	if got.status != http.StatusServiceUnavailable || err != nil || after < 4.5 || after > 8 {
		t.Errorf("got %d with Retry-After %v, %v, want 503 and a little more than 5 s", got.status, after, err)
	}
	if took := time.Since(begin); took > 300*time.Millisecond {
		t.Errorf("the refusal took %v, want it at once", took)
	}
	if a, b := counts[0].Load(), counts[1].Load(); a > 1 || b > 1 {
		t.Errorf("the targets got %d and %d requests, want at most 1 each", a, b)
	}
}

// What a target says of itself is for the system, not for callers.
func TestAnnouncementsAreNotPassedOn(t *testing.T) {
	h := startHost(t, fakeStages{}, leaving(200, "whole"))
	if got := h.send(t, "/once/x", nil); got.status != http.StatusOK || got.header.Get("Server-Leaving") != "" {
		t.Errorf("got %+v, want 200 without the announcement", got)
	}
}

// Only a target that says so has not run a request. Its own 503 without that was once passed
// on, and callers took it for the promise that nothing ran.
func TestFailureOfATargetPromisesNothing(t *testing.T) {
	for _, status := range []int{408, 429, 503} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			h := startHost(t, fakeStages{}, leaving(status, "tired"))
			got := h.send(t, "/once/x", nil)
			if got.status != http.StatusBadGateway || got.header.Get(wire.HeaderReceipt) != "" || strings.Contains(got.body, "tired") {
				t.Errorf("got %+v, want 502 without the target's receipt", got)
			}
		})
	}
}

// A target may write a refusal once more on a kept connection. If stage results are lost, the
// same attempt goes to the same target again, and the copy once counted as the answer to it:
// the caller was told that nothing ran while the request ran.
func TestCopyOfARefusalIsNotTheAnswerToTheSameAttempt(t *testing.T) {
	var n atomic.Int32
	var first net.Conn
	script := func(w net.Conn, r *http.Request) {
		refusal := func(status int) { reply(w, r, status, "", wire.HeaderNotRun+": 1\r\n") }
		switch n.Add(1) {
		case 1:
			first = w
			refusal(http.StatusConflict) // a stage result is gone
		case 2:
			if w == first {
				refusal(http.StatusConflict) // the copy
			}
			_, _ = fmt.Fprintf(w, "HTTP/1.1 200 X\r\n%s: %s\r\n%s: sig\r\nTransfer-Encoding: chunked\r\n\r\n", wire.HeaderID, r.Header.Get(wire.HeaderID), wire.HeaderReceipt)
			chunk(w, "id: 1\ndata: x\n\n")
			_, _ = io.WriteString(w, "0\r\n\r\n")
		default:
			refusal(http.StatusServiceUnavailable)
		}
	}
	h := startHost(t, fakeStages{}, script)
	got := h.send(t, "/staged/x", func(r *http.Request) { r.Header.Set(wire.HeaderPieces, "2") })
	if got.status != http.StatusOK {
		t.Errorf("got %+v, want the answer of the run", got)
	}
	if n := n.Load(); n != 2 {
		t.Errorf("the target got %d requests, want 2", n)
	}
}

// Guards against reports of load that arrive in responses and change nothing: a target that
// reports that its work takes sixteen times as long gets no further requests while another
// one is idle.
func TestReportedLoadDirectsTheNextRequests(t *testing.T) {
	for name, script := range map[string]targetScript{
		"whole answer": func(w net.Conn, r *http.Request) { reply(w, r, 200, "x", wire.HeaderLoad+": 1,0,8,1600\r\n") },
		"refusal": func(w net.Conn, r *http.Request) {
			reply(w, r, 503, "", wire.HeaderNotRun+": 1\r\n", wire.HeaderLoad+": 8,4,8,1600\r\n")
		},
	} {
		t.Run(name, func(t *testing.T) {
			var counts [2]atomic.Int32
			h := startHost(t, fakeStages{}, announcing(&counts[0], script, script), announcing(&counts[1], ok, ok))
			h.sendMany(t, "/once/x", 1)
			time.Sleep(200 * time.Millisecond) // longer than the pause after a refusal
			if got := h.sendMany(t, "/once/x", 10); got[http.StatusOK] != 10 {
				t.Errorf("statuses %v, want 10 answered with 200", got)
			}
			if n := counts[0].Load(); n != 1 {
				t.Errorf("the slow target got %d requests, want 1", n)
			}
		})
	}
}
