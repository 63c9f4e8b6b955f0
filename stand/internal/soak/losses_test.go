package soak

import (
	"fmt"
	"testing"
	"time"
)

// zero is when the host of the tests gets SIGTERM. It has run for a minute.
var zero = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func after(seconds float64) time.Time {
	return zero.Add(time.Duration(seconds * float64(time.Second)))
}

// terminatedTrace returns a trace in which host h gets SIGTERM at zero.
func terminatedTrace() *trace {
	t := newTrace()
	t.lives["h"] = []*life{{started: after(-60), terminated: zero, ended: after(8)}, {started: after(8.3)}}
	return t
}

// cutAttempt returns a request that was cut.
func cutAttempt(kind string, sent, ended float64) attempt {
	return attempt{id: "x", host: "h", kind: kind, limit: 20 * time.Second, began: after(sent), sent: after(sent), ended: after(ended), outcome: cut}
}

// traceTest is a case of a check: what is set in a trace, and how many lines the check returns.
type traceTest struct {
	name string
	set  func(t *trace)
	want int
}

func runTraceTests(t *testing.T, tests []traceTest, begin func() *trace, check func(*trace) []string) {
	t.Helper()
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			tr := begin()
			test.set(tr)
			if got := check(tr); len(got) != test.want {
				t.Errorf("got %q, want %d lines", got, test.want)
			}
		})
	}
}

// Guards against a check of lost requests that misses some, and one that finds what is excused.
func TestLosses(t *testing.T) {
	tests := []traceTest{
		{"reached a target late in the grace period", func(t *trace) {
			t.attempts = []attempt{cutAttempt(kindLong, 4, 7.5)}
			t.runs["x"] = []*targetRun{{target: "llm", began: after(6), ended: after(7.6)}}
		}, 1},
		{"reached no target, later than the slack", func(t *trace) { t.attempts = []attempt{cutAttempt(kindLong, 3, 7.5)} }, 1},
		{"reached no target, sent before SIGTERM", func(t *trace) { t.attempts = []attempt{cutAttempt(kindLong, -1, 7.5)} }, 1},
		{"not read when its connection was cut", func(t *trace) {
			a := cutAttempt(kindOnce, -1, 0.01)
			a.local = "c"
			t.attempts = []attempt{a}
			t.recordUnread("c", after(-0.03))
		}, 0},
		{"read long before its connection was cut", func(t *trace) {
			a := cutAttempt(kindOnce, -1, 0.01)
			a.local = "c"
			t.attempts = []attempt{a}
			t.recordUnread("c", after(-0.5))
		}, 1},
		{"not read when an earlier request was sent", func(t *trace) {
			a := cutAttempt(kindOnce, -1, -0.7)
			a.local, a.ended = "c", after(0.01)
			t.attempts = []attempt{a}
			t.recordUnread("c", after(-1.1))
		}, 1},
		{"reached a target and cut at once", func(t *trace) {
			t.attempts = []attempt{cutAttempt(kindOnce, 4.4, 4.45)}
			t.runs["x"] = []*targetRun{{target: "reg", began: after(4.41), ended: after(4.42)}}
		}, 1},
		{"target done before the last sixth", func(t *trace) {
			t.attempts = []attempt{cutAttempt(kindLong, 1, 7.5)}
			t.runs["x"] = []*targetRun{{target: "llm", began: after(2), ended: after(6.6)}}
		}, 1},
		{"cut by SIGKILL at the end", func(t *trace) {
			t.attempts = []attempt{cutAttempt(kindLong, 3.1, 8.01)}
			t.runs["x"] = []*targetRun{{target: "llm", began: after(5)}}
		}, 1},
		{"store fault doesn't excuse a safe request", func(t *trace) {
			t.attempts = []attempt{cutAttempt(kindSafe, 4, 5)}
			t.outages = []*outage{{name: storeOutage, from: after(3)}}
		}, 1},
		{"fault of another host", func(t *trace) {
			t.attempts = []attempt{cutAttempt(kindLong, 4, 7)}
			t.outages = []*outage{{name: "other", from: after(3)}}
		}, 1},
		{"fault of the host is over", func(t *trace) {
			t.attempts = []attempt{cutAttempt(kindLong, 4, 7)}
			t.outages = []*outage{{name: "h", from: after(-3), to: after(-0.1)}}
		}, 1},
		{"around a reload", func(t *trace) {
			t.lives, t.reloads["h"] = map[string][]*life{}, []time.Time{zero}
			t.attempts = []attempt{cutAttempt(kindLong, 2.4, 3)}
		}, 1},
		{"more than three without a cause", func(t *trace) {
			t.lives = map[string][]*life{}
			for i := range 4 {
				a := cutAttempt(kindOnce, 1, 2)
				a.id = fmt.Sprint(i)
				t.attempts = append(t.attempts, a)
				t.runs[a.id] = []*targetRun{{target: "reg", began: after(1.5)}}
			}
		}, 4},

		{"three without a cause", func(t *trace) {
			t.lives = map[string][]*life{}
			for i := range 3 {
				a := cutAttempt(kindOnce, 1, 2)
				a.id = fmt.Sprint(i)
				t.attempts = append(t.attempts, a)
				t.runs[a.id] = []*targetRun{{target: "reg", began: after(1.5)}}
			}
		}, 0},
		{"answered", func(t *trace) { t.attempts = []attempt{{id: "x", host: "h", sent: after(4), ended: after(7)}} }, 0},
		{"crosses the close", func(t *trace) { t.attempts = []attempt{cutAttempt(kindOnce, 4, 4.2)} }, 0},
		{"at work in the last sixth, sent early", func(t *trace) {
			t.attempts = []attempt{cutAttempt(kindLong, 3, 8)}
			t.runs["x"] = []*targetRun{{target: "llm", began: after(6), ended: after(6.7)}}
		}, 0},
		{"deadline", func(t *trace) {
			a := cutAttempt(kindStream, 4, 7)
			a.limit = 3 * time.Second
			t.attempts = []attempt{a}
		}, 0},
		{"target broke off", func(t *trace) {
			t.attempts = []attempt{cutAttempt(kindLong, 4, 6)}
			t.runs["x"] = []*targetRun{{target: "llm", began: after(5)}}
			t.outages = []*outage{{name: "llm", from: after(5.9)}}
		}, 0},
		{"host was killed", func(t *trace) {
			t.attempts = []attempt{cutAttempt(kindLong, 4, 6)}
			t.outages = []*outage{{name: "h", from: after(6), to: after(6)}}
		}, 0},
		{"store fault and a stream", func(t *trace) {
			t.attempts = []attempt{cutAttempt(kindLong, 4, 6)}
			t.outages = []*outage{{name: storeLink("h"), from: after(1), to: after(2)}}
		}, 0},
		{"after the grace period, no target reached", func(t *trace) { t.attempts = []attempt{cutAttempt(kindOnce, 9, 9.5)} }, 0},
	}
	runTraceTests(t, tests, terminatedTrace, (*trace).losses)
}
