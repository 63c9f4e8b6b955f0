package claims_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"pgregory.net/rapid"

	"chivepost/entry/internal/claims"
	"chivepost/entry/internal/memlog"

	. "github.com/onsi/ginkgo/v2"
)

const randomHosts = 3

// randomRun is a randomised run in which callers repeat a few IDs on three hosts while
// the log and the hosts fail.
type randomRun struct {
	*testEnv
	t       *rapid.T
	callers sync.WaitGroup
	ids     []string

	mu sync.Mutex
	// sends counts the calls made by ID; notRun holds the IDs that a host reported as
	// released.
	sends  map[string]int
	notRun map[string]bool
	kinds  map[claims.Kind]int
}

func newRun(t *rapid.T) *randomRun {
	r := &randomRun{
		testEnv: &testEnv{log: memlog.New()}, t: t, sends: map[string]int{}, notRun: map[string]bool{},
		kinds: map[claims.Kind]int{},
	}
	for i := range randomHosts {
		r.start(r.options(i, 1))
	}
	return r
}

func (r *randomRun) options(i int, incarnation uint64) claims.Options {
	return claims.Options{Host: fmt.Sprint("node", i), Incarnation: incarnation}
}

// call acquires the claim of an ID and makes the call if the claim is granted. The
// pause before the call simulates a paused process.
func (r *randomRun) call(n *claims.Controller, id string, timeout, pause time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	d := n.Acquire(ctx, request(id))
	r.mu.Lock()
	r.kinds[d.Kind]++
	r.notRun[id] = r.notRun[id] || d.Kind == claims.Released
	r.mu.Unlock()
	if d.Kind == claims.Done && d.Result != id {
		r.t.Errorf("id %s got the result %q", id, d.Result)
	}
	if d.Kind != claims.Granted {
		return
	}
	time.Sleep(pause)
	if d.Ticket.Confirm() != nil {
		if d.Ticket.Release(ctx) == nil {
			r.mu.Lock()
			r.notRun[id] = true
			r.mu.Unlock()
		}
		return
	}
	r.mu.Lock()
	r.sends[id]++
	r.mu.Unlock()
	_ = d.Ticket.Finish(ctx, id)
}

func (r *randomRun) step(i int) {
	t, host := r.t, rapid.IntRange(0, randomHosts-1).Draw(r.t, "node")
	switch rapid.SampledFrom([]string{
		"new", "call", "call", "call", "race", "race", "sleep", "outage", "cut", "pause", "fault", "restart", "trim",
	}).Draw(t, "step") {
	case "new":
		if position, ok := r.controllers[host].Position(); ok {
			r.ids = append(r.ids, fmt.Sprintf("%d-random%03d", position, i))
		}
	case "call":
		r.startCall(host)
	case "race":
		for n := range randomHosts {
			r.startCall(n)
		}
	case "sleep":
		time.Sleep(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
	case "outage":
		r.log.SetDown(rarely(t))
	case "cut":
		r.clients[host].SetDisconnected(rarely(t))
	case "pause":
		r.clients[host].SetPaused(rarely(t))
	case "fault":
		r.log.Inject(rapid.SampledFrom([]memlog.Fault{memlog.LoseResponse, memlog.LoseAppend, memlog.DelayAppend}).Draw(t, "fault"))
	case "restart":
		r.controllers[host].Close()
		r.controllers[host] = claims.New(r.options(host, uint64(i+2)), r.clients[host], logr.Discard())
	case "trim":
		if kept := r.log.Records(stream); len(kept) > 0 {
			r.log.Trim(stream, kept[rapid.IntRange(0, len(kept)-1).Draw(t, "kept")].Offset)
		}
	}
}

// rarely returns true in one of four draws. It ends most faults soon, so that enough
// claims are decided by the log.
func rarely(t *rapid.T) bool { return rapid.IntRange(0, 3).Draw(t, "rare") == 3 }

func (r *randomRun) startCall(host int) {
	if len(r.ids) == 0 {
		return
	}
	// Only the latest IDs are drawn, so that several calls use the same ID.
	id := r.ids[max(0, len(r.ids)-1-rapid.IntRange(0, 3).Draw(r.t, "age"))]
	timeout := time.Duration(rapid.IntRange(10, 5000).Draw(r.t, "timeout")) * time.Millisecond
	pause := time.Duration(rapid.SampledFrom([]int{0, 0, 5, 1000, 6000}).Draw(r.t, "hold")) * time.Millisecond
	n := r.controllers[host]
	r.callers.Go(func() { r.call(n, id, timeout, pause) })
}

// endFaults ends all faults and waits for the callers.
func (r *randomRun) endFaults() {
	r.log.SetDown(false)
	for _, client := range r.clients {
		client.SetDisconnected(false)
		client.SetPaused(false)
	}
	r.callers.Wait()
}

func (r *randomRun) check() {
	for id, n := range r.sends {
		if n > 1 || r.notRun[id] {
			r.t.Errorf("id %s: %d sends, released: %t", id, n, r.notRun[id])
		}
	}
}

// Guards against a call that runs twice, or runs although it was reported as not run,
// under any mix of outages, lost and late appends, pauses, lost connections, expired
// records and restarts.
var _ = It("is called at most once over three hosts with faults", func() {
	total := map[claims.Kind]int{}
	rapid.Check(suite, func(t *rapid.T) {
		rapid.SyncTest(t, func(t *rapid.T) {
			r := newRun(t)
			defer r.close()
			for i := range 80 {
				r.step(i)
			}
			r.endFaults()
			r.check()
			for kind, n := range r.kinds {
				total[kind] += n
			}
		})
	})
	AddReportEntry("decisions", total, ReportEntryVisibilityAlways)
})
