package config

import (
	"bytes"
	"fmt"
	"sync"
	"time"

	"pgregory.net/rapid"

	"chivepost/entry/internal/memlog"

	. "github.com/onsi/ginkgo/v2"
)

// run is one randomised run: operators publish on three nodes while the log, the
// peers and the nodes fail and records expire.
type run struct {
	*world
	t         *rapid.T
	operators sync.WaitGroup

	mu sync.Mutex
	// data is the content of each version, result the outcome of each publish id, and
	// won the versions accepted for each base.
	data   map[int64][]byte
	result map[string]PublishResult
	won    map[int64]int64
	// last is the version last seen at each node since its start.
	last [3]int64
}

// observe checks the version in force at each node.
func (r *run) observe() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, n := range r.nodes {
		b, version := n.Current()
		if version < r.last[i] {
			r.t.Errorf("node %d went from version %d to %d", i, r.last[i], version)
		}
		r.last[i] = version
		if b == nil {
			continue
		}
		data, _ := b.Encode()
		if known, ok := r.data[version]; ok && !bytes.Equal(known, data) {
			r.t.Errorf("version %d is %s and %s", version, known, data)
		}
		r.data[version] = data
	}
}

func (r *run) step(i int) {
	t := r.t
	node := rapid.IntRange(0, 2).Draw(t, "node")
	n := r.nodes[node]
	switch rapid.SampledFrom([]string{
		"publish", "publish", "publish", "sleep", "sleep", "outage", "cut", "pause", "deaf", "no pull", "fault", "restart",
	}).Draw(t, "step") {
	case "publish":
		base := max(0, n.version()-int64(rapid.IntRange(0, 1).Draw(t, "behind")))
		c, name := n.Controller, fmt.Sprint("p", i)
		r.operators.Go(func() {
			result := publish(c, base, name)
			r.mu.Lock()
			r.result[name] = result
			if other, ok := r.won[base]; result.Kind == Accepted && ok && other != result.Version {
				t.Errorf("versions %d and %d were both accepted for base %d", other, result.Version, base)
			} else if result.Kind == Accepted {
				r.won[base] = result.Version
			}
			r.mu.Unlock()
		})
	case "sleep":
		time.Sleep(time.Duration(rapid.SampledFrom([]int{5, 200, 1000, 4000, 12000}).Draw(t, "ms")) * time.Millisecond)
	case "outage":
		r.log.SetDown(rarely(t))
	case "cut":
		n.link.SetCut(rarely(t))
	case "pause":
		n.link.SetPaused(rarely(t))
	case "deaf":
		n.deaf.Store(rarely(t))
	case "no pull":
		n.noPull.Store(rarely(t))
	case "fault":
		r.log.Inject(rapid.SampledFrom([]memlog.Fault{memlog.LoseAnswer, memlog.LoseAppend, memlog.LandLate}).Draw(t, "fault"))
	case "restart":
		n.restart(node)
		r.last[node] = 0
	}
	r.log.Expire(stream, r.opts.Retention)
	r.observe()
}

// heal ends all faults, waits for the operators and lets the nodes catch up.
func (r *run) heal() {
	r.log.SetDown(false)
	for _, n := range r.nodes {
		n.link.SetCut(false)
		n.link.SetPaused(false)
		n.deaf.Store(false)
		n.noPull.Store(false)
	}
	r.operators.Wait()
	time.Sleep(10 * time.Second)
	r.observe()
}

// check compares the nodes and what the operators were told. It returns the number of
// nodes that could not be settled, as when all nodes restart in an outage that
// outlasts the records.
func (r *run) check() (unsettled int) {
	for _, n := range r.nodes {
		if !n.Status().Detail.(Detail).Settled {
			unsettled++
		}
		if n.version() != r.nodes[0].version() {
			r.t.Errorf("versions %d and %d at the end", n.version(), r.nodes[0].version())
		}
	}
	if unsettled != 0 && unsettled != len(r.nodes) {
		r.t.Errorf("%d nodes are not settled, the others are", unsettled)
	}
	for id, result := range r.result {
		for version, data := range r.data {
			mine := bytes.Equal(data, encoded(id))
			if mine && result.Kind != Accepted && result.Kind != Unknown || mine != (result.Version == version) && result.Kind == Accepted {
				r.t.Errorf("version %d is %s, but %s was told %+v", version, data, id, result)
			}
		}
	}
	return unsettled
}

// rarely lets most faults end soon, so that enough changes are judged.
func rarely(t *rapid.T) bool { return rapid.IntRange(0, 3).Draw(t, "rare") == 3 }

// Guards against versions that revert or differ, and against an operator who is told
// the wrong outcome, under any mix of outages, lost and late appends, pauses, cuts,
// expiry and restarts.
var _ = It("agrees on versions that never revert over three nodes with faults", func() {
	total, accepted, stuck, gapsBefore := map[PublishKind]int{}, 0, 0, gaps.Value()
	rapid.Check(suite, func(t *rapid.T) {
		rapid.SyncTest(t, func(t *rapid.T) {
			r := &run{
				world: newWorld(3, Options{Retention: 10 * time.Second}), t: t,
				data: map[int64][]byte{}, result: map[string]PublishResult{}, won: map[int64]int64{},
			}
			defer r.close()
			for i := range 60 {
				r.step(i)
			}
			r.heal()
			if r.check() > 0 {
				stuck++
			}
			for _, result := range r.result {
				total[result.Kind]++
			}
			accepted += len(r.data)
		})
	})
	AddReportEntry("publishes", total, ReportEntryVisibilityAlways)
	AddReportEntry("versions seen, runs not settled at the end, gaps",
		[]int64{int64(accepted), int64(stuck), gaps.Value() - gapsBefore}, ReportEntryVisibilityAlways)
})
