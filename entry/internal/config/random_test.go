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

// randomRun is a randomised run in which operators publish on three hosts while the
// log, the peers and the hosts fail and records expire.
type randomRun struct {
	*testEnv
	t         *rapid.T
	operators sync.WaitGroup

	mu sync.Mutex
	// data is the content of each version, result the outcome of each publish ID, and
	// acceptedFor the version accepted for each base.
	data        map[int64][]byte
	result      map[string]PublishResult
	acceptedFor map[int64]int64
	// last is the version last seen at each host since its start.
	last [3]int64
}

// observe checks the version in force at each host.
func (r *randomRun) observe() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, h := range r.hosts {
		b, version := h.Current()
		if version < r.last[i] {
			r.t.Errorf("host %d went from version %d to %d", i, r.last[i], version)
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

func (r *randomRun) step(i int) {
	t := r.t
	host := rapid.IntRange(0, 2).Draw(t, "node")
	h := r.hosts[host]
	switch rapid.SampledFrom([]string{
		"publish", "publish", "publish", "sleep", "sleep", "outage", "cut", "pause", "deaf", "no pull", "fault", "restart",
	}).Draw(t, "step") {
	case "publish":
		base := max(0, h.version()-int64(rapid.IntRange(0, 1).Draw(t, "behind")))
		c, name := h.Controller, fmt.Sprint("p", i)
		r.operators.Go(func() {
			result := publish(c, base, name)
			r.mu.Lock()
			r.result[name] = result
			if other, ok := r.acceptedFor[base]; result.Kind == Accepted && ok && other != result.Version {
				t.Errorf("versions %d and %d were both accepted for base %d", other, result.Version, base)
			} else if result.Kind == Accepted {
				r.acceptedFor[base] = result.Version
			}
			r.mu.Unlock()
		})
	case "sleep":
		time.Sleep(time.Duration(rapid.SampledFrom([]int{5, 200, 1000, 4000, 12000}).Draw(t, "ms")) * time.Millisecond)
	case "outage":
		r.log.SetDown(rarely(t))
	case "cut":
		h.client.SetDisconnected(rarely(t))
	case "pause":
		h.client.SetPaused(rarely(t))
	case "deaf":
		h.disconnectedFromPeers.Store(rarely(t))
	case "no pull":
		h.failPulls.Store(rarely(t))
	case "fault":
		r.log.Inject(rapid.SampledFrom([]memlog.Fault{memlog.LoseResponse, memlog.LoseAppend, memlog.DelayAppend}).Draw(t, "fault"))
	case "restart":
		h.restart(host)
		r.last[host] = 0
	}
	r.log.Expire(stream, r.opts.Retention)
	r.observe()
}

// endFaults ends all faults, waits for the operators and lets the hosts catch up.
func (r *randomRun) endFaults() {
	r.log.SetDown(false)
	for _, h := range r.hosts {
		h.client.SetDisconnected(false)
		h.client.SetPaused(false)
		h.disconnectedFromPeers.Store(false)
		h.failPulls.Store(false)
	}
	r.operators.Wait()
	time.Sleep(10 * time.Second)
	r.observe()
}

// check compares the versions of the hosts with the outcomes reported to the operators.
// It returns the number of hosts that can't decide changes, for example because all
// hosts restarted during an outage in which the records expired.
func (r *randomRun) check() (undecided int) {
	for _, h := range r.hosts {
		if !h.Status().Detail.(Detail).Settled {
			undecided++
		}
		if h.version() != r.hosts[0].version() {
			r.t.Errorf("versions %d and %d at the end", h.version(), r.hosts[0].version())
		}
	}
	if undecided != 0 && undecided != len(r.hosts) {
		r.t.Errorf("%d hosts can't decide changes, the others can", undecided)
	}
	for id, result := range r.result {
		for version, data := range r.data {
			matches := bytes.Equal(data, encodedBundle(id))
			if matches && result.Kind != Accepted && result.Kind != Unknown || matches != (result.Version == version) && result.Kind == Accepted {
				r.t.Errorf("version %d is %s, but the result of %s was %+v", version, data, id, result)
			}
		}
	}
	return undecided
}

// rarely returns true in one of four draws. It ends most faults soon, so that enough
// changes are decided.
func rarely(t *rapid.T) bool { return rapid.IntRange(0, 3).Draw(t, "rare") == 3 }

// Guards against versions that revert or differ, and against wrong outcomes of
// publishes, under any mix of outages, lost and late appends, pauses, lost connections,
// expired records and restarts.
var _ = It("agrees on versions that never revert over three hosts with faults", func() {
	total, accepted, runsUndecided, gapsBefore := map[PublishKind]int{}, 0, 0, gaps.Value()
	rapid.Check(suite, func(t *rapid.T) {
		rapid.SyncTest(t, func(t *rapid.T) {
			r := &randomRun{
				testEnv: newTestEnv(3, Options{Retention: 10 * time.Second}), t: t,
				data: map[int64][]byte{}, result: map[string]PublishResult{}, acceptedFor: map[int64]int64{},
			}
			defer r.close()
			for i := range 60 {
				r.step(i)
			}
			r.endFaults()
			if r.check() > 0 {
				runsUndecided++
			}
			for _, result := range r.result {
				total[result.Kind]++
			}
			accepted += len(r.data)
		})
	})
	AddReportEntry("publishes", total, ReportEntryVisibilityAlways)
	AddReportEntry("versions seen, runs in which no host could decide changes at the end, gaps",
		[]int64{int64(accepted), int64(runsUndecided), gaps.Value() - gapsBefore}, ReportEntryVisibilityAlways)
})
