package edge

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"chivepost/platform/wire"
)

// unframed returns a script that writes an answer with neither a length nor chunks, and
// then closes or resets its connection.
func unframed(body string, resets bool) targetScript {
	return func(w net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 X\r\n%s: %s\r\n%s: sig\r\n\r\n%s", wire.HeaderID, r.Header.Get(wire.HeaderID), wire.HeaderReceipt, body)
		if resets {
			_ = w.(*net.TCPConn).SetLinger(0)
		}
		_ = w.Close()
	}
}

// An answer with neither a length nor chunks ends with its connection. A stream that ends
// within an event has been broken off, and an answer whose connection is reset isn't
// complete.
func TestUnframedAnswers(t *testing.T) {
	const events = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n"
	tests := []struct {
		name   string
		path   string
		script targetScript
		status int
		body   string // "": not the target's
		isCut  bool   // the response must not look complete
	}{
		{"answer", "/once/x", unframed("whole", false), 200, "whole", false},
		{"empty answer", "/once/x", unframed("", false), 200, "", false},
		{"answer, reset", "/once/x", unframed("whole", true), 502, "", false},
		{"stream", "/staged/x", unframed(events, false), 200, events, false},
		{"stream that ends within an event", "/staged/x", unframed(events+"id: 3\nda", false), 200, events, true},
		{"stream that ends between the lines of an event", "/staged/x", unframed(events+"id: 3\ndata: three\n", false), 200, events, true},
		{"stream without a whole event", "/staged/x", unframed("id: 1\nda", false), 502, "", false},
		{"stream, reset", "/staged/x", unframed(events, true), 0, "", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := startHost(t, fakeStages{}, test.script)
			got := h.send(t, test.path, nil)
			// A reset may overtake the events, so that none of them has arrived.
			if test.status != 0 && got.status != test.status || test.status == 0 && got.status != 200 && got.status != 502 {
				t.Errorf("status %d, want %d", got.status, test.status)
			}
			if test.body != "" && got.body != test.body {
				t.Errorf("body %q, want %q", got.body, test.body)
			}
			isCut := errors.Is(got.err, io.ErrUnexpectedEOF)
			if got.err != nil && !isCut || got.status == 200 && isCut != test.isCut {
				t.Errorf("the response ends with %v, want it cut off: %v", got.err, test.isCut)
			}
		})
	}
}

// The connection of an answer that ended with it carries no further request.
func TestUnframedAnswerEndsItsConnection(t *testing.T) {
	var requests atomic.Int32
	h := startHost(t, fakeStages{}, func(w net.Conn, r *http.Request) {
		requests.Add(1)
		unframed("whole", false)(w, r)
	})
	for i := range 3 {
		if got := h.send(t, "/once/x", nil); got.err != nil || got.status != http.StatusOK || got.body != "whole" {
			t.Errorf("request %d: got %+v, want 200 and the whole body", i, got)
		}
	}
	if n := requests.Load(); n != 3 {
		t.Errorf("the target got %d requests, want 3", n)
	}
}

// A stream that ended within an event without a frame goes on at another target, as one
// with chunks does.
func TestUnframedStreamIsResumed(t *testing.T) {
	serve := func(w net.Conn, r *http.Request) {
		if r.Header.Get(wire.HeaderLastEvent) == "1" {
			unframed("id: 2\ndata: two\n\n", false)(w, r)
			return
		}
		unframed("id: 1\ndata: one\n\nid: 2\nda", false)(w, r)
	}
	h := startHost(t, fakeStages{}, serve, serve)
	got := h.send(t, "/stream/x", nil)
	if want := "id: 1\ndata: one\n\nid: 2\ndata: two\n\n"; got.err != nil || got.status != http.StatusOK || got.body != want {
		t.Errorf("got %+v, want %q", got, want)
	}
}
