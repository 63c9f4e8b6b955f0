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

const randomNodes = 3

// run is one randomised run: callers repeat a few ids on three nodes while the log
// and the nodes fail.
type run struct {
	*world
	t       *rapid.T
	callers sync.WaitGroup
	ids     []string

	mu sync.Mutex
	// sends counts the calls made by id; notRun holds the ids that a node said were
	// released.
	sends  map[string]int
	notRun map[string]bool
	kinds  map[claims.Kind]int
}

func newRun(t *rapid.T) *run {
	r := &run{
		world: &world{log: memlog.New()}, t: t, sends: map[string]int{}, notRun: map[string]bool{},
		kinds: map[claims.Kind]int{},
	}
	for i := range randomNodes {
		r.start(r.options(i, 1))
	}
	return r
}

func (r *run) options(i int, incarnation uint64) claims.Options {
	return claims.Options{Host: fmt.Sprint("node", i), Incarnation: incarnation}
}

// call claims an id on a node and makes the call if it is granted. The hold stands
// for a process that is paused before the send.
func (r *run) call(n *claims.Controller, id string, timeout, hold time.Duration) {
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
	time.Sleep(hold)
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

func (r *run) step(i int) {
	t, node := r.t, rapid.IntRange(0, randomNodes-1).Draw(r.t, "node")
	switch rapid.SampledFrom([]string{
		"new", "call", "call", "call", "race", "race", "sleep", "outage", "cut", "pause", "fault", "restart", "trim",
	}).Draw(t, "step") {
	case "new":
		if position, ok := r.nodes[node].Position(); ok {
			r.ids = append(r.ids, fmt.Sprintf("%d-random%03d", position, i))
		}
	case "call":
		r.spawn(node)
	case "race":
		for n := range randomNodes {
			r.spawn(n)
		}
	case "sleep":
		time.Sleep(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
	case "outage":
		r.log.SetDown(rarely(t))
	case "cut":
		r.links[node].SetCut(rarely(t))
	case "pause":
		r.links[node].SetPaused(rarely(t))
	case "fault":
		r.log.Inject(rapid.SampledFrom([]memlog.Fault{memlog.LoseAnswer, memlog.LoseAppend, memlog.LandLate}).Draw(t, "fault"))
	case "restart":
		r.nodes[node].Close()
		r.nodes[node] = claims.New(r.options(node, uint64(i+2)), r.links[node], logr.Discard())
	case "trim":
		if kept := r.log.Records(stream); len(kept) > 0 {
			r.log.Trim(stream, kept[rapid.IntRange(0, len(kept)-1).Draw(t, "kept")].Offset)
		}
	}
}

// rarely lets most faults end soon, so that enough claims are decided by the log.
func rarely(t *rapid.T) bool { return rapid.IntRange(0, 3).Draw(t, "rare") == 3 }

func (r *run) spawn(node int) {
	if len(r.ids) == 0 {
		return
	}
	// Recent ids are more likely, so that calls of one id meet.
	id := r.ids[max(0, len(r.ids)-1-rapid.IntRange(0, 3).Draw(r.t, "age"))]
	timeout := time.Duration(rapid.IntRange(10, 5000).Draw(r.t, "timeout")) * time.Millisecond
	hold := time.Duration(rapid.SampledFrom([]int{0, 0, 5, 1000, 6000}).Draw(r.t, "hold")) * time.Millisecond
	n := r.nodes[node]
	r.callers.Go(func() { r.call(n, id, timeout, hold) })
}

// heal ends all faults and waits for the callers.
func (r *run) heal() {
	r.log.SetDown(false)
	for _, link := range r.links {
		link.SetCut(false)
		link.SetPaused(false)
	}
	r.callers.Wait()
}

func (r *run) check() {
	for id, n := range r.sends {
		if n > 1 || r.notRun[id] {
			r.t.Errorf("id %s: %d sends, released: %t", id, n, r.notRun[id])
		}
	}
}

// Guards against a call that runs twice, or runs although it was reported as not run,
// under any mix of outages, lost and late appends, pauses, cuts, expiry and restarts.
var _ = It("is acted on at most once over three nodes with faults", func() {
	total := map[claims.Kind]int{}
	rapid.Check(suite, func(t *rapid.T) {
		rapid.SyncTest(t, func(t *rapid.T) {
			r := newRun(t)
			defer r.close()
			for i := range 80 {
				r.step(i)
			}
			r.heal()
			r.check()
			for kind, n := range r.kinds {
				total[kind] += n
			}
		})
	})
	AddReportEntry("decisions", total, ReportEntryVisibilityAlways)
})
