package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"chivepost/platform/feed"
	"chivepost/platform/wire"
)

const (
	// busySlack is the time after a refusal with Retry-After from which on requests count, and
	// maxBusyRequests how many of a host may reach the target in the rest of the time.
	busySlack       = 500 * time.Millisecond
	maxBusyRequests = 2
	// refusedOf is one in how many calls a target refuses that writes its answers twice.
	refusedOf = 3
)

// oddEntries are what another writer may leave among the entries of the targets.
var oddEntries = []string{
	"\xff\xfe{", "null", "[]", "{", `{"Service":["llm"],"Address":7,"born":"x"}`, strings.Repeat("[", 10_000), strings.Repeat(`{"Service":`, 10_000),
	`{"Service":"llm","Address":"127.0.0.1:0","Zone":"dc-a","Slots":8,"State":"ready","Sequence":1,"born":1}`,
	`{"Service":"llm","Address":"127.0.0.1:65536","Zone":"dc-a","Slots":8,"State":"ready","Sequence":1,"born":1}`,
	`{"Service":"reg","Address":"127.0.0.1:9","Zone":"dc-b","Slots":1e400,"State":"ready","Sequence":` + strings.Repeat("9", 400) + `,"born":1}`,
}

// announcedFaults are what targets say of themselves in their answers, answers that they write
// a second time, and odd entries of another writer under IDs of its own and of a target.
var announcedFaults = []fault{
	{"target leaves by its answers", true, func(r *runner, _ time.Duration) func() {
		t := r.detachTarget()
		r.startReplacement(t)
		t.saysLeaving.Store(true)
		return func() {
			time.Sleep(drainTime + time.Second)
			t.stop(false)
		}
	}},
	{"target busy", true, func(r *runner, _ time.Duration) func() {
		t := r.randomTarget([]string{servicePlain, serviceModel}[r.rand.IntN(2)])
		t.busySeconds.Store(1 + r.rand.Int64N(3))
		return func() { t.busySeconds.Store(0) }
	}},
	{"odd entries", true, func(r *runner, _ time.Duration) func() {
		own, taken := fmt.Sprintf("odd-%d", r.rand.IntN(3)), r.randomTarget("").id
		for _, id := range []string{own, taken} {
			r.store.put(feed.TopicTargets, id, []byte(oddEntries[r.rand.IntN(len(oddEntries))]))
		}
		return func() { r.store.put(feed.TopicTargets, own, nil) }
	}},
	{"target answers twice", false, func(r *runner, _ time.Duration) func() {
		t := r.randomTarget(servicePlain)
		end := r.trace.recordOutage(t.id)
		t.answersTwice.Store(true)
		return func() { t.answersTwice.Store(false); end() }
	}},
}

// contact is a request that reaches a target, whether it runs or not.
type contact struct {
	id, target string
	at         time.Time
	saysLeave  bool          // the answer says that the target leaves
	busy       time.Duration // the answer says for how long the target wants no requests; 0: it doesn't
}

func (t *trace) recordContact(c contact) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.contacts = append(t.contacts, c)
}

// hostTarget is a host with a target to which it sends requests.
type hostTarget struct{ host, target string }

// announceViolations returns a line for each request of a host that reaches a target against
// what the target announced to that host.
func (t *trace) announceViolations() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	byID := map[string][]attempt{}
	for _, a := range t.attempts {
		byID[a.id] = append(byID[a.id], a)
	}
	contacts := map[hostTarget][]contact{}
	for _, c := range t.contacts {
		if list := byID[c.id]; len(list) == 1 { // else the host isn't known
			pair := hostTarget{list[0].host, c.target}
			contacts[pair] = append(contacts[pair], c)
		}
	}
	var out []string
	for pair, list := range contacts {
		slices.SortFunc(list, func(a, b contact) int { return a.at.Compare(b.at) })
		var toldAt time.Time
		for _, c := range list {
			a := byID[c.id][0]
			if late := a.began.Sub(toldAt); !toldAt.IsZero() && late > drainTime && !t.isInterrupted(pair.host, toldAt, a.began) {
				out = append(out, fmt.Sprintf("DRAIN: request %s of %s, sent %s after an answer that said so, reaches %s, which leaves", c.id, pair.host, late, pair.target))
			}
			if c.saysLeave && a.outcome == answered && (toldAt.IsZero() || a.ended.Before(toldAt)) {
				toldAt = a.ended
			}
			if n := countBetween(list, c.at.Add(busySlack), c.at.Add(c.busy)); c.busy > 0 && n > maxBusyRequests &&
				!t.isInterrupted(pair.host, c.at, c.at.Add(c.busy)) && !t.hasOutage(c.at, c.at.Add(c.busy), pair.target) {
				out = append(out, fmt.Sprintf("BUDGET: %d requests of %s reach %s in the %s from %s on in which it wants none", n, pair.host, pair.target, c.busy, c.at.Format(timeFormat)))
			}
		}
	}
	slices.Sort(out)
	return out
}

// isInterrupted reports whether a host started or had a fault in the span. The caller holds the
// lock.
func (t *trace) isInterrupted(host string, from, to time.Time) bool {
	return t.hasOutage(from, to, host) || slices.ContainsFunc(t.lives[host], func(l *life) bool {
		return l.started.After(from) && !l.started.After(to)
	})
}

func countBetween(list []contact, from, to time.Time) int {
	n := 0
	for _, c := range list {
		if c.at.After(from) && c.at.Before(to) {
			n++
		}
	}
	return n
}

// connState is what a target keeps for a connection.
type connState struct{ last []byte } // the last answer, while the target writes answers twice

type connKey struct{}

func withConnState(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, &connState{})
}

// refuse answers a request that doesn't run. It reports false if the target refuses none now.
func (t *fakeTarget) refuse(w http.ResponseWriter, r *http.Request, id string) bool {
	busy := t.busySeconds.Load()
	if busy == 0 && (!t.answersTwice.Load() || t.sequence.Add(1)%refusedOf != 0) {
		return false
	}
	w.Header().Set(wire.HeaderID, id)
	w.Header().Set(wire.HeaderNotRun, "1")
	w.Header().Set("Content-Length", "0")
	if busy > 0 {
		w.Header().Set(wire.HeaderRetryAfter, strconv.FormatInt(busy, 10))
	}
	t.keepAnswer(r, http.StatusServiceUnavailable, w.Header(), "")
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// keepAnswer keeps an answer, to write it again on the next request of the connection.
func (t *fakeTarget) keepAnswer(r *http.Request, status int, header http.Header, body string) {
	if state, ok := r.Context().Value(connKey{}).(*connState); ok && t.answersTwice.Load() {
		state.last = formatAnswer(status, header, body)
	}
}

func formatAnswer(status int, header http.Header, body string) []byte {
	out := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for name, values := range header {
		out = fmt.Appendf(out, "%s: %s\r\n", name, values[0])
	}
	return append(out, "\r\n"+body...)
}

// answerAfterCopy writes the last answer of the connection once more, then the answer to the
// request that came since. It reports false if there is no such answer.
func (t *fakeTarget) answerAfterCopy(w http.ResponseWriter, r *http.Request, body string) bool {
	state, ok := r.Context().Value(connKey{}).(*connState)
	if !ok || state.last == nil || !t.answersTwice.Load() {
		return false
	}
	header := w.Header().Clone()
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }() // nothing is written any more
	t.run.checker.count("answers twice")
	_, _ = conn.Write(state.last) // the sender may have disconnected
	t.simulateWork(plainCallTime)
	_, _ = conn.Write(formatAnswer(http.StatusOK, header, body)) // the sender may have disconnected
	_, _ = io.CopyN(io.Discard, conn, 1)                         // until the sender closes the connection
	return true
}
