package edge

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"chivepost/platform/wire"
)

// slowStream streams one event, pauses, and streams another one.
func slowStream(pause time.Duration, first, second string) targetScript {
	return func(w net.Conn, r *http.Request) {
		streamHead(w, r)
		chunk(w, first)
		time.Sleep(pause)
		chunk(w, second)
		chunk(w, "")
	}
}

func withTime(ms string) func(*http.Request) {
	return func(r *http.Request) { r.Header.Set(wire.HeaderTimeLeft, ms) }
}

const one, two, three = "id: 1\ndata: one\n\n", "id: 2\ndata: two\n\n", "id: 3\ndata: three\n\n"

// A slow stream that nothing else can go on with is the caller's only one. It was once cut
// after two seconds of silence, also when no further target could be tried.
func TestSlowStreamIsNotCutWithoutAnother(t *testing.T) {
	const pause = minStreamSilence + 400*time.Millisecond
	breaksOff := func(w net.Conn, r *http.Request) {
		if r.Header.Get(wire.HeaderLastEvent) != "" {
			slowStream(pause, two, three)(w, r)
			return
		}
		streamHead(w, r)
		chunk(w, one)
		_ = w.Close()
	}
	tests := []struct {
		name    string
		scripts []targetScript
	}{
		{"last attempt", []targetScript{breaksOff, breaksOff, breaksOff}},
		{"only target", []targetScript{slowStream(pause, one+two, three)}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := startHost(t, fakeStages{}, test.scripts...)
			h.view.Config.Routes[2].Timeout = 6 * time.Second
			if got := h.send(t, "/stream/x", withTime("6000")); got.err != nil || got.body != one+two+three {
				t.Errorf("got %+v, want all events", got)
			}
		})
	}
}

// A stalled stream that sends a byte now and then is resumed at another target, and ends at
// the deadline if there is none.
func TestStalledStreamThatDripsEnds(t *testing.T) {
	drip := func(text string) targetScript {
		return func(w net.Conn, r *http.Request) {
			if r.Header.Get(wire.HeaderLastEvent) != "" {
				slowStream(0, two, three)(w, r)
				return
			}
			streamHead(w, r)
			chunk(w, one)
			for n := 0; ; n++ {
				if _, err := io.WriteString(w, "1\r\n"+text[n%len(text):n%len(text)+1]+"\r\n"); err != nil {
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
	for name, text := range map[string]string{"comments": ": wait\n\n", "blank lines": "\n", "an event without end": "x"} {
		t.Run(name, func(t *testing.T) {
			h := startHost(t, fakeStages{}, drip(text), drip(text))
			h.view.Config.Routes[2].Timeout = 6 * time.Second
			begin := time.Now()
			got := h.send(t, "/stream/x", withTime("6000"))
			body := strings.NewReplacer(": wait\n\n", "", "\n\n\n", "\n\n").Replace(got.body)
			for _, event := range []string{one, two, three} {
				if got.err != nil || strings.Count(body, strings.TrimSpace(event)) != 1 {
					t.Fatalf("got %+v, want each event once", got)
				}
			}
			if took := time.Since(begin); took > minStreamSilence+time.Second {
				t.Errorf("resumed after %v, want about %v", took, minStreamSilence)
			}

			alone := startHost(t, fakeStages{}, drip(text))
			begin = time.Now()
			if got := alone.send(t, "/stream/x", withTime("1000")); !errors.Is(got.err, io.ErrUnexpectedEOF) {
				t.Errorf("without another target: got %+v, want an answer that doesn't look complete", got)
			}
			if took := time.Since(begin); took > 1500*time.Millisecond {
				t.Errorf("without another target: ended after %v, want the 1 s that the caller waits", took)
			}
		})
	}
}

// A request once went on at another target after a silence, while the first one still worked on it:
// it only noticed that its connection was closed when it wrote its next event.
func TestSilentStreamGoesOnElsewhereOnlyOnceItsTargetHasStopped(t *testing.T) {
	const pause = minStreamSilence + 600*time.Millisecond
	stops := func(head bool) targetScript { // as most targets do when their connection is closed
		return func(w net.Conn, r *http.Request) {
			if head {
				streamHead(w, r)
				chunk(w, one)
			}
			_, _ = w.Read(make([]byte, 1))
			_ = w.Close()
		}
	}
	late := func(w net.Conn, r *http.Request) {
		time.Sleep(800 * time.Millisecond) // more than the share of the route's objective
		slowStream(0, one, two+three)(w, r)
	}
	for _, test := range []struct {
		name   string
		script targetScript
		runs   int32
	}{
		{"slow between events", slowStream(pause, one, two+three), 1},
		{"slow before the first event", late, 1},
		{"stops between events", stops(true), 2},
		{"stops before the first event", stops(false), 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			var requests atomic.Int32
			first := func(w net.Conn, r *http.Request) {
				switch {
				case requests.Add(1) == 1:
					test.script(w, r)
				case r.Header.Get(wire.HeaderLastEvent) != "":
					slowStream(0, two, three)(w, r)
				default:
					slowStream(0, one, two+three)(w, r)
				}
			}
			h := startHost(t, fakeStages{}, first, first)
			h.view.Config.Routes[2].Timeout = 6 * time.Second
			got := h.send(t, "/stream/x", func(r *http.Request) { withTime("6000")(r); prompt("5a:1,1:1")(r) })
			if got.err != nil || got.body != one+two+three || h.runs.Load() != test.runs {
				t.Errorf("got %+v from %d targets, want all events from %d", got, h.runs.Load(), test.runs)
			}
			if n := len(h.handler.blame.(*fakeBlame).broken); n > 0 {
				t.Errorf("%d crashes recorded of a target that was asked to stop, want none", n)
			}
		})
	}
}
