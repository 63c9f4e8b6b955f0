package edge

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"chivepost/platform/wire"
)

// breaksOffAfterOne streams one event and breaks off. It leaves requests that resume the stream
// to another script.
func breaksOffAfterOne(resumed targetScript) targetScript {
	return func(w net.Conn, r *http.Request) {
		if r.Header.Get(wire.HeaderLastEvent) != "" {
			resumed(w, r)
			return
		}
		streamHead(w, r)
		chunk(w, one)
		_ = w.Close()
	}
}

func replyWith(status int, body string, headers ...string) targetScript {
	return func(w net.Conn, r *http.Request) { reply(w, r, status, body, headers...) }
}

// chunkedReply writes an answer with a chunked body.
func chunkedReply(status int, body string) targetScript {
	return func(w net.Conn, r *http.Request) {
		_, _ = io.WriteString(w, strings.ReplaceAll(answerHead(status), "ID", r.Header.Get(wire.HeaderID))+"Transfer-Encoding: chunked\r\n\r\n")
		if body != "" {
			chunk(w, body)
		}
		chunk(w, "")
	}
}

// unframedReply writes an answer whose body ends with its connection.
func unframedReply(status int, body string) targetScript {
	return func(w net.Conn, r *http.Request) {
		_, _ = io.WriteString(w, strings.ReplaceAll(answerHead(status), "ID", r.Header.Get(wire.HeaderID))+"\r\n"+body)
		_ = w.Close()
	}
}

// failedResumes are answers that don't go on with a stream.
var failedResumes = []struct {
	name   string
	script targetScript
}{
	{"429 without a body", replyWith(429, "")},
	{"429", replyWith(429, "too many requests\n\n")},
	{"429, chunked", chunkedReply(429, "too many requests\n\n")},
	{"429, unframed", unframedReply(429, "too many requests\n\n")},
	{"long 429", replyWith(429, strings.Repeat("x", maxHeldAnswer+1))},
	{"408", replyWith(408, "timeout")},
	{"400", replyWith(400, "bad request")},
	{"404", replyWith(404, "id: 2\ndata: not found\n\n")},
	{"302", replyWith(302, "elsewhere", "Location: /stream/y\r\n")},
	{"201", replyWith(201, "id: 2\ndata: created\n\n")},
	{"204", func(w net.Conn, r *http.Request) {
		_, _ = io.WriteString(w, strings.ReplaceAll(answerHead(204), "ID", r.Header.Get(wire.HeaderID))+"\r\n")
	}},
	{"503", replyWith(503, "busy")},
	{"500", replyWith(500, "broken")},
	{"500, long", replyWith(500, strings.Repeat("x", maxHeldAnswer+1))},
	{"503, not run", refuse},
	{"success of another type", replyWith(200, "{\"error\":\"broken\"}\n\n", "Content-Type: application/json\r\n")},
	{"event without an ID", chunkedReply(200, "data: broken\n\n")},
	{"text without an event", replyWith(200, "broken")},
	{"unframed success without an event", unframedReply(200, "")},
	{"a head within the body", chunkedReply(200, "HTTP/1.1 500 X\r\nContent-Length: 6\r\n\r\nbroken")},
}

// Guards against an answer of the next target that ends up in a stream which has begun, or that
// ends it as if it were complete: the host once relayed answers with a status under 500.
func TestFailedResumeCutsTheStream(t *testing.T) {
	for _, test := range failedResumes {
		t.Run(test.name, func(t *testing.T) {
			h := startHost(t, fakeStages{}, breaksOffAfterOne(test.script), breaksOffAfterOne(test.script))
			if got := h.send(t, "/stream/x", nil); !errors.Is(got.err, io.ErrUnexpectedEOF) || got.body != one {
				t.Errorf("got %.300q, %v, want %q and %v", got.body, got.err, one, io.ErrUnexpectedEOF)
			}
			if n := h.runs.Load(); n != 2 {
				t.Errorf("targets got %d requests, want 2", n)
			}
		})
	}
}

// Guards against a stream that is given up though a further target could go on with it.
func TestFailedResumeIsTriedAtAnotherTarget(t *testing.T) {
	for _, test := range failedResumes {
		t.Run(test.name, func(t *testing.T) {
			resumes := 0
			script := breaksOffAfterOne(func(w net.Conn, r *http.Request) {
				if resumes++; resumes == 1 {
					test.script(w, r)
					return
				}
				slowStream(0, two, three)(w, r)
			})
			h := startHost(t, fakeStages{}, script, script, script)
			h.view.Config.Routes[2].MaxAttempts = 3
			if got := h.send(t, "/stream/x", nil); got.err != nil || got.status != http.StatusOK || got.body != one+two+three {
				t.Errorf("got %d %.300q, %v, want all events", got.status, got.body, got.err)
			}
		})
	}
}

// A target that finds nothing more to send ends the stream, if it says so by the framing.
func TestResumeWithoutFurtherEventsCompletesTheStream(t *testing.T) {
	for name, script := range map[string]targetScript{
		"chunked": chunkedReply(200, ""), "Content-Length": replyWith(200, "", "Content-Type: text/event-stream; charset=utf-8\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			h := startHost(t, fakeStages{}, breaksOffAfterOne(script), breaksOffAfterOne(script))
			if got := h.send(t, "/stream/x", nil); got.err != nil || got.body != one {
				t.Errorf("got %q, %v, want %q", got.body, got.err, one)
			}
		})
	}
}

// Guards against a stream that starts again, or goes on at another place, because the caller's
// last event has no ID: an error text that a failing target sends looks like that.
func TestStreamIsNotResumedAfterAnEventWithoutAnID(t *testing.T) {
	const text = "error: overloaded\n\n"
	for _, sent := range []string{text, one + text} {
		script := func(w net.Conn, r *http.Request) {
			streamHead(w, r)
			chunk(w, sent)
			_ = w.Close()
		}
		h := startHost(t, fakeStages{}, script, slowStream(0, one+two, three))
		h.view.Targets["s"][1].DataCentre = "elsewhere" // the other one is nearer
		if got := h.send(t, "/stream/x", nil); !errors.Is(got.err, io.ErrUnexpectedEOF) || got.body != sent {
			t.Errorf("got %q, %v, want %q and %v", got.body, got.err, sent, io.ErrUnexpectedEOF)
		}
	}
}

// Guards against the regular end of a stream that the host gives up because its caller has shut
// down one half of the connection: what the caller still reads must not look complete.
func TestHalfClosedStreamDoesNotLookComplete(t *testing.T) {
	h := startHost(t, fakeStages{}, func(w net.Conn, r *http.Request) {
		streamHead(w, r)
		chunk(w, one)
		_, _ = io.Copy(io.Discard, w) // until the host closes the connection
	})
	c, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, _ = fmt.Fprintf(c, "POST /stream/x HTTP/1.1\r\nHost: svc\r\n%s: id1\r\nAuthorization: Token k\r\nContent-Length: 0\r\n\r\n", wire.HeaderID)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	first := make([]byte, len(one))
	if _, err := io.ReadFull(resp.Body, first); err != nil || string(first) != one {
		t.Fatalf("got %q, %v, want %q", first, err, one)
	}
	_ = c.(*net.TCPConn).CloseWrite()
	if rest, err := io.ReadAll(resp.Body); err == nil || len(rest) > 0 {
		t.Errorf("the stream ends with %q, %v, want it cut off", rest, err)
	}
}
