package edge

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"

	"chivepost/entry/internal/batch"
	"chivepost/entry/internal/drain"
	"chivepost/entry/internal/graph"
	"chivepost/platform/wire"
)

// slowStages takes a while for the stages of each request.
type slowStages struct{ took time.Duration }

func (s slowStages) Run(ctx context.Context, order batch.Order, due, until time.Time) (*graph.Results, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(s.took):
		return fakeStages{}.Run(ctx, order, due, until)
	}
}

// planIn returns the plan of a shutdown that began a second ago, with moments from now.
func planIn(unlisted, closing, abort time.Duration) drain.Plan {
	now := time.Now()
	return drain.Plan{
		Start: now.Add(-time.Second), Unlisted: now.Add(unlisted), Closing: now.Add(closing), Abort: now.Add(abort), End: now.Add(2 * abort),
	}
}

// Incident "lost in restarts": a leaving host took requests whose deadline lay after its
// end and gave them up.
func TestLeavingHostTakesOnlyWhatItCanFinish(t *testing.T) {
	tests := []struct {
		name                     string
		unlisted, closing, abort time.Duration // from now
		usual                    time.Duration // of the route; 0: not measured
		isTaken                  bool
	}{
		{"deadline before the end", -1, time.Minute, time.Minute, 0, true},
		{"deadline after the end, not measured", time.Minute, time.Minute, 500 * time.Millisecond, 0, false},
		{"usually done before the end", time.Minute, time.Minute, 500 * time.Millisecond, 20 * time.Millisecond, true},
		{"usually done after the end", time.Minute, time.Minute, 500 * time.Millisecond, 400 * time.Millisecond, false},
		{"usually done before the end, no longer listed", -1, time.Minute, 500 * time.Millisecond, 20 * time.Millisecond, false},
		{"closing", -1, -1, time.Minute, 20 * time.Millisecond, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := startHost(t, fakeStages{}, ok)
			if test.usual > 0 {
				h.handler.totals.record("once", test.usual)
				h.handler.afterSend.record("once", test.usual)
			}
			h.handler.Leave(planIn(test.unlisted, test.closing, test.abort))
			got := h.send(t, "/once/x", nil)
			want, runs := http.StatusServiceUnavailable, int32(0)
			if test.isTaken {
				want, runs = http.StatusOK, 1
			}
			if got.status != want || !got.isClosed || h.runs.Load() != runs {
				t.Errorf("got %+v with %d runs, want %d with %d and a closed connection", got, h.runs.Load(), want, runs)
			}
		})
	}
}

// Incident "lost in restarts": requests whose stages took long were sent to a target just
// before the process ended.
func TestLeavingHostSendsOnlyWhatItCanFinish(t *testing.T) {
	for name, usual := range map[string]time.Duration{"fits": 50 * time.Millisecond, "does not fit": time.Second} {
		t.Run(name, func(t *testing.T) {
			h := startHost(t, slowStages{300 * time.Millisecond}, func(w net.Conn, r *http.Request) {
				streamHead(w, r)
				chunk(w, "id: 1\ndata: one\n\n")
				chunk(w, "")
			})
			h.handler.totals.record("staged", 50*time.Millisecond)
			h.handler.afterSend.record("staged", usual)
			h.handler.Leave(planIn(time.Minute, time.Minute, 700*time.Millisecond))
			got := h.send(t, "/staged/x", func(r *http.Request) { r.Header.Set(wire.HeaderPieces, "2") })
			want, runs := http.StatusOK, int32(1)
			if usual == time.Second {
				want, runs = http.StatusServiceUnavailable, 0
			}
			if got.err != nil || got.status != want || h.runs.Load() != runs {
				t.Errorf("got %+v with %d runs, want %d with %d", got, h.runs.Load(), want, runs)
			}
		})
	}
}

// Another host can take a refused request at once, if there is one.
func TestRetryAfterOfALeavingHost(t *testing.T) {
	for hasPeers, most := range map[bool]time.Duration{true: minLeavingRetryAfter + leavingRetryAfterSpread, false: minRetryAfter + retryAfterSpread} {
		h := startHost(t, fakeStages{}, ok)
		var log logLines
		h.handler.logger = funcr.New(log.add, funcr.Options{})
		h.handler.opts.HasPeers = func() bool { return hasPeers }
		h.handler.Leave(planIn(-1, -1, time.Minute))
		got := h.send(t, "/once/x", nil)
		seconds, err := strconv.ParseFloat(got.header.Get(wire.HeaderRetryAfter), 64)
		if after := time.Duration(seconds * float64(time.Second)); err != nil || after > most || !hasPeers && after < minRetryAfter {
			t.Errorf("with peers %v: Retry-After %q, want at most %v", hasPeers, got.header.Get(wire.HeaderRetryAfter), most)
		}
		if lines := log.matching(`"msg"="request"`); len(lines) != 1 || !strings.Contains(lines[0], `"reason"="the host is leaving"`) {
			t.Errorf("got lines %q, want one with the reason", lines)
		}
	}
}

// Only complete answers tell how long requests take.
func TestTimesOfRoutes(t *testing.T) {
	tests := []struct {
		name, path string
		script     targetScript
		isMeasured bool
	}{
		{"answer", "/once/x", ok, true},
		{"failure", "/once/x", failure, false},
		{"refusal", "/once/x", refuse, false},
		{"half an answer", "/once/x", halfAnswer, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := startHost(t, fakeStages{}, test.script)
			h.send(t, test.path, nil)
			for n := 0; n < 100 && h.handler.Active() > 0; n++ {
				time.Sleep(time.Millisecond)
			}
			_, isTotal := h.handler.totals.atDeviations("once", 0)
			_, isAfterSend := h.handler.afterSend.atDeviations("once", 0)
			if isTotal != test.isMeasured || isAfterSend != test.isMeasured {
				t.Errorf("measured %v and %v, want %v", isTotal, isAfterSend, test.isMeasured)
			}
		})
	}
}
