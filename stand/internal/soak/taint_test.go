package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

// taintedTrace returns a trace with six crashes from zero on, the fifth at 4 s, and as many
// tainted runs at host h from 9 s on. Of the sound requests, before and after are served.
func taintedTrace(lateRuns int, before, after2 served) *trace {
	t := newTrace()
	t.lives["h"] = []*life{{started: after(-60)}}
	t.tainted.from, t.tainted.to = zero, after(60)
	for i := range 6 {
		t.crashes = append(t.crashes, after(float64(i)))
	}
	add := func(n, begun int, at float64, isTainted bool) {
		for i := range n {
			id := fmt.Sprintf("%v-%d-%v", at, i, isTainted)
			t.attempts = append(t.attempts, attempt{id: id, host: "h", kind: kindStream, isTainted: isTainted, began: after(at), sent: after(at), hasBegun: i < begun})
			if isTainted {
				t.runs[id] = []*targetRun{{target: "llm", isTainted: true, began: after(at)}}
			}
		}
	}
	add(5, 0, 1, true)
	add(lateRuns, 0, 9, true)
	add(before.sent, before.begun, -5, false)
	add(after2.sent, after2.begun, 13, false)
	return t
}

// Guards against a check of tainted prompts that misses a violation or finds what is allowed.
func TestTaintViolations(t *testing.T) {
	all := served{20, 20}
	tests := []struct {
		name  string
		trace *trace
		set   func(t *trace)
		want  string
	}{
		{"four runs after the limit", taintedTrace(4, all, all), nil, "BUDGET: 4 tainted"},
		{"three runs after the limit", taintedTrace(3, all, all), nil, ""},
		{"two runs of one request count twice", taintedTrace(3, all, all), func(t *trace) {
			t.runs["9-0-true"] = append(t.runs["9-0-true"], &targetRun{isTainted: true, began: after(10)})
		}, "BUDGET: 4 tainted"},
		{"runs within the contact time", taintedTrace(9, all, all), func(t *trace) { t.crashes[4] = after(5.5) }, ""},
		{"four crashes", taintedTrace(9, all, all), func(t *trace) { t.crashes = t.crashes[:4] }, ""},
		{"host has just started", taintedTrace(9, all, all), func(t *trace) { t.lives["h"][0].started = after(5.5) }, ""},
		{"host is leaving", taintedTrace(9, all, all), func(t *trace) { t.lives["h"][0].terminated = after(8) }, ""},
		{"store was down", taintedTrace(9, all, all), func(t *trace) { t.outages = []*outage{{name: storeOutage, from: after(2), to: after(5.5)}} }, ""},
		{"sound requests aren't served", taintedTrace(0, all, served{21, 10}), nil, "LOST: sound requests begin in 10 of 21"},
		{"half of the sound requests are served", taintedTrace(0, all, served{20, 10}), nil, ""},
		{"too few sound requests", taintedTrace(0, all, served{19, 0}), nil, ""},
		{"few crashes and no sound requests served", taintedTrace(0, all, served{20, 0}), func(t *trace) { t.crashes = t.crashes[:1] }, "LOST: sound"},
		{"sound requests while the hosts learn", taintedTrace(0, all, served{20, 0}), func(t *trace) { t.crashes[4] = after(5.5) }, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if test.set != nil {
				test.set(test.trace)
			}
			got, summary := test.trace.taintViolations()
			if isFound := len(got) == 1 && test.want != "" && strings.Contains(got[0], test.want); isFound != (test.want != "") || len(got) > 1 {
				t.Errorf("violations %q, want one with %q, if that isn't empty (%s)", got, test.want, summary)
			}
		})
	}
}

func TestPromptsHoldTheTaintedPart(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 1))
		part := newTaint(r)
		for range 50 {
			if p := part.prompt(r, true); !part.isIn(p) || strings.Count(p, ",") != len(sharedParts) {
				t.Errorf("seed %d: tainted prompt %q doesn't hold %s before its last part", seed, p, part.part)
			}
			if p := part.prompt(r, false); part.isIn(p) {
				t.Errorf("seed %d: sound prompt %q holds %s", seed, p, part.part)
			}
		}
	}
	if part := (taint{part: "ff"}); part.isIn("1:2,ff:3") || part.isIn("") {
		t.Error("the last part of a prompt crashes targets")
	}
}
