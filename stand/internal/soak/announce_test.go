package soak

import (
	"testing"
	"time"
)

// Guards against a check of what targets announce that misses something, and one that finds what
// is allowed.
func TestAnnounceViolations(t *testing.T) {
	const busy = 2 * time.Second
	// request adds a request of host h that reaches the target.
	request := func(tr *trace, id string, at float64, c contact, o outcome) {
		c.id, c.target, c.at = id, "reg", after(at)
		tr.contacts = append(tr.contacts, c)
		tr.attempts = append(tr.attempts, attempt{id: id, host: "h", began: after(at - 0.01), ended: after(at + 0.01), outcome: o})
	}
	leaves := func(tr *trace) { request(tr, "told", 0, contact{saysLeave: true}, answered) }
	refuses := func(tr *trace, at ...float64) {
		request(tr, "told", 0, contact{busy: busy}, refused)
		for i, s := range at {
			request(tr, string(rune('a'+i)), s, contact{}, answered)
		}
	}
	tests := []traceTest{
		{"long after an answer that says that the target leaves", func(tr *trace) { leaves(tr); request(tr, "x", 2.6, contact{}, answered) }, 1},
		{"soon after it", func(tr *trace) { leaves(tr); request(tr, "x", 2.4, contact{}, answered) }, 0},
		{"sent soon after it and long on the way", func(tr *trace) {
			leaves(tr)
			tr.contacts = append(tr.contacts, contact{id: "x", target: "reg", at: after(9)})
			tr.attempts = append(tr.attempts, attempt{id: "x", host: "h", began: after(2), ended: after(9.1)})
		}, 0},
		{"by another host", func(tr *trace) {
			leaves(tr)
			tr.contacts = append(tr.contacts, contact{id: "x", target: "reg", at: after(9)})
			tr.attempts = append(tr.attempts, attempt{id: "x", host: "other", began: after(9), ended: after(9.1)})
		}, 0},
		{"after an answer that wasn't passed on", func(tr *trace) {
			request(tr, "told", 0, contact{saysLeave: true}, cut)
			request(tr, "x", 9, contact{}, answered)
		}, 0},
		{"after a start of the host", func(tr *trace) {
			leaves(tr)
			tr.lives["h"] = []*life{{started: after(1)}}
			request(tr, "x", 9, contact{}, answered)
		}, 0},
		{"after a freeze of the host", func(tr *trace) {
			leaves(tr)
			tr.outages = []*outage{{name: "h", from: after(1), to: after(2)}}
			request(tr, "x", 9, contact{}, answered)
		}, 0},
		{"after a fault of the store", func(tr *trace) {
			leaves(tr)
			tr.outages = []*outage{{name: storeOutage, from: after(1)}}
			request(tr, "x", 9, contact{}, answered)
		}, 1},
		{"three requests while the target wants none", func(tr *trace) { refuses(tr, 0.6, 1, 1.9) }, 1},
		{"two then", func(tr *trace) { refuses(tr, 0.6, 1.9) }, 0},
		{"some at once and some later", func(tr *trace) { refuses(tr, 0.1, 0.3, 0.6, 1.9, 2.1, 2.2) }, 0},
		{"three then, the target cut off", func(tr *trace) {
			refuses(tr, 0.6, 1, 1.9)
			tr.outages = []*outage{{name: "reg", from: after(1), to: after(1.2)}}
		}, 0},
	}
	runTraceTests(t, tests, newTrace, (*trace).announceViolations)
}
