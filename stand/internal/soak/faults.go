package soak

import (
	"context"
	"fmt"
	"slices"
	"syscall"
	"time"

	"chivepost/platform/feed"
)

const (
	// faultInterval is the mean time between two faults; they may overlap.
	faultInterval = 1200 * time.Millisecond
	// maxFaultTime bounds the duration of a fault, apart from a base of 300 ms.
	maxFaultTime = 5 * time.Second
)

// fault is a kind of fault. begin starts it and returns the function that ends it, or nil.
type fault struct {
	name    string
	planned bool // a regular operation, during which all guarantees hold
	begin   func(r *runner, d time.Duration) (end func())
}

// faultKinds are the faults that a run injects. Faults of hosts apply to any host, also to
// one that another fault affects already.
var faultKinds = []fault{
	{"kill", false, func(r *runner, _ time.Duration) func() { r.kill(r.randomHost()); return nil }},
	{"term", true, func(r *runner, _ time.Duration) func() { r.randomHost().terminate(); return nil }},
	{"hup", true, func(r *runner, _ time.Duration) func() { r.randomHost().signal(syscall.SIGHUP); return nil }},
	{"pause", false, func(r *runner, _ time.Duration) func() {
		h := r.randomHost()
		end := r.trace.recordOutage(h.name)
		h.signal(syscall.SIGSTOP)
		return func() { h.signal(syscall.SIGCONT); end() }
	}},
	{"kill many", false, func(r *runner, _ time.Duration) func() {
		for _, h := range r.hosts {
			if r.rand.IntN(2) == 0 {
				r.kill(h)
			}
		}
		return nil
	}},
	{"store link", false, func(r *runner, _ time.Duration) func() {
		h, f := r.randomHost(), r.randomLinkFault()
		end := r.trace.recordOutage(storeLink(h.name))
		h.storeProxy.setFault(f)
		return func() { h.storeProxy.setFault(linkHealthy); end() }
	}},
	{"store down", false, func(r *runner, _ time.Duration) func() {
		f := r.randomLinkFault()
		end := r.trace.recordOutage(storeOutage)
		for _, h := range r.hosts {
			h.storeProxy.setFault(f)
		}
		return func() {
			for _, h := range r.hosts {
				h.storeProxy.setFault(linkHealthy)
			}
			end()
		}
	}},
	{"target link", false, func(r *runner, _ time.Duration) func() {
		t, f := r.randomTarget(""), r.randomLinkFault()
		end := r.trace.recordOutage(t.id)
		t.proxy.setFault(f)
		return func() { t.proxy.setFault(linkHealthy); end() }
	}},
	{"target slow", false, func(r *runner, _ time.Duration) func() {
		t := r.randomTarget("")
		t.slow.Store(true)
		return func() { t.slow.Store(false) }
	}},
	{"target crash", false, func(r *runner, _ time.Duration) func() {
		t := r.detachTarget()
		t.stop(true)
		return func() {
			r.store.put(feed.TopicTargets, t.id, nil)
			r.startReplacement(t)
		}
	}},
	{"target leaves", true, func(r *runner, _ time.Duration) func() {
		t := r.detachTarget()
		r.startReplacement(t)
		t.announceLeave()
		return func() {
			time.Sleep(drainTime + time.Second)
			t.stop(false)
		}
	}},
	{"data centre out", true, func(r *runner, _ time.Duration) func() {
		dc := dataCentres[r.rand.IntN(len(dataCentres))]
		r.store.put(feed.TopicOperator, feed.EvacuatePrefix+dc, []byte("{}"))
		return func() { r.store.put(feed.TopicOperator, feed.EvacuatePrefix+dc, nil) }
	}},
	{"configuration", true, func(r *runner, _ time.Duration) func() { r.publish(); return nil }},
	{"key revoked", true, func(r *runner, _ time.Duration) func() { r.revoke(1); return func() { r.revoke(-1) } }},
	{"history dropped", false, func(r *runner, _ time.Duration) func() {
		r.trace.recordOutage(storeOutage)()
		r.store.dropHistory(feed.TopicOperator)
		r.store.dropHistory(feed.TopicTargets)
		return nil
	}},
}

// restoreFaults are restores of the store from copies beside kills of hosts and operators' orders.
var restoreFaults = slices.Concat([]fault{
	{"store restored", false, func(r *runner, d time.Duration) func() {
		age, delay := upTo(r.rand, maxCopyAge), upTo(r.rand, maxRewriteDelay)
		end := r.trace.recordOutage(storeOutage)
		for _, h := range r.hosts {
			h.storeProxy.setFault(linkReset)
		}
		return func() {
			r.store.restore(d + age)
			for _, h := range r.hosts {
				h.storeProxy.setFault(linkHealthy)
			}
			time.Sleep(delay)
			r.store.rewrite()
			end()
		}
	}},
}, slices.DeleteFunc(slices.Clone(faultKinds), func(f fault) bool {
	return !slices.Contains([]string{"kill", "kill many", "data centre out", "configuration", "key revoked"}, f.name)
}))

// crowdFaults are faults of hosts and links beside a crowd.
var crowdFaults = slices.DeleteFunc(slices.Clone(faultKinds), func(f fault) bool {
	return !slices.Contains([]string{"kill", "term", "hup", "pause", "store link", "target link", "target slow", "configuration"}, f.name)
})

const (
	// maxCopyAge is the age of the oldest copy that the store is restored from.
	maxCopyAge = 4 * time.Second
	// maxRewriteDelay is the longest time until operators and targets write lost records again.
	maxRewriteDelay = 3 * time.Second
)

func (r *runner) randomHost() *host { return r.hosts[r.rand.IntN(len(r.hosts))] }

func (r *runner) randomLinkFault() linkFault { return linkDelayed + linkFault(r.rand.IntN(4)) }

// randomTarget returns a random running target of the service, or of any service if it is
// empty. It goes through the IDs in order, so that the order of the map has no influence.
func (r *runner) randomTarget(service string) *fakeTarget {
	r.mu.Lock()
	defer r.mu.Unlock()
	var candidates []*fakeTarget
	for i := 1; i <= r.seq; i++ {
		for _, s := range services {
			if t := r.targets[fmt.Sprintf("%s-%d", s, i)]; t != nil && (service == "" || service == s) {
				candidates = append(candidates, t)
			}
		}
	}
	return candidates[r.rand.IntN(len(candidates))]
}

// detachTarget returns a random target and removes it from r.targets, so that no other fault
// applies to it.
func (r *runner) detachTarget() *fakeTarget {
	t := r.randomTarget("")
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.targets, t.id)
	return t
}

// startReplacement starts a new target of the same service and data centre.
func (r *runner) startReplacement(t *fakeTarget) {
	if err := r.addTarget(t.service, t.dataCentre); err != nil {
		r.checker.report("can't start a replacement target: %v", err)
	}
}

// kill kills the process of a host.
func (r *runner) kill(h *host) {
	r.trace.recordOutage(h.name)()
	h.signal(syscall.SIGKILL)
}

// inject starts random faults of these kinds for the duration of the run and returns their number by kind.
func (r *runner) inject(ctx context.Context, kinds []fault) map[string]int {
	counts := map[string]int{}
	end := time.Now().Add(r.opts.Duration)
	for time.Now().Before(end) && ctx.Err() == nil {
		time.Sleep(time.Duration(r.rand.ExpFloat64() * float64(faultInterval)))
		f := kinds[r.rand.IntN(len(kinds))]
		d := 300*time.Millisecond + time.Duration(r.rand.Int64N(int64(maxFaultTime)))
		counts[f.name]++
		r.print("%s for %s", f.name, d.Round(time.Millisecond))
		if !f.planned {
			r.checker.recordFault(true)
		}
		stop := f.begin(r, d)
		r.faults.Go(func() {
			if stop != nil {
				time.Sleep(d)
				stop()
			}
			if !f.planned {
				r.checker.recordFault(false)
			}
		})
	}
	return counts
}
