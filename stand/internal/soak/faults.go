package soak

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"chivepost/platform/feed"
)

const (
	// faultEvery is the mean time between two faults; several overlap.
	faultEvery = 1200 * time.Millisecond
	// maxFault bounds how long a fault lasts.
	maxFault = 5 * time.Second
)

// fault is a kind of trouble. begin returns what ends it, which may be nil.
type fault struct {
	name    string
	planned bool // operators do it, so that all promises hold meanwhile
	begin   func(r *runner, d time.Duration) (end func())
}

// kinds are all kinds of trouble of a run. Those of hosts hit any host, also one
// that another fault has hit already.
var kinds = []fault{
	{"kill", false, func(r *runner, _ time.Duration) func() { r.anyHost().signal(syscall.SIGKILL); return nil }},
	{"term", true, func(r *runner, _ time.Duration) func() { r.anyHost().signal(syscall.SIGTERM); return nil }},
	{"hup", true, func(r *runner, _ time.Duration) func() { r.anyHost().signal(syscall.SIGHUP); return nil }},
	{"pause", false, func(r *runner, _ time.Duration) func() {
		h := r.anyHost()
		h.signal(syscall.SIGSTOP)
		return func() { h.signal(syscall.SIGCONT) }
	}},
	{"kill many", false, func(r *runner, _ time.Duration) func() {
		for _, h := range r.hosts {
			if r.rand.IntN(2) == 0 {
				h.signal(syscall.SIGKILL)
			}
		}
		return nil
	}},
	{"store link", false, func(r *runner, _ time.Duration) func() {
		h, f := r.anyHost(), r.anyLinkFault()
		h.link.set(f)
		return func() { h.link.set(linkFine) }
	}},
	{"store down", false, func(r *runner, _ time.Duration) func() {
		f := r.anyLinkFault()
		for _, h := range r.hosts {
			h.link.set(f)
		}
		return func() {
			for _, h := range r.hosts {
				h.link.set(linkFine)
			}
		}
	}},
	{"target link", false, func(r *runner, _ time.Duration) func() {
		e, f := r.anyEngine(""), r.anyLinkFault()
		e.link.set(f)
		return func() { e.link.set(linkFine) }
	}},
	{"target slow", false, func(r *runner, _ time.Duration) func() {
		e := r.anyEngine("")
		e.slow.Store(true)
		return func() { e.slow.Store(false) }
	}},
	{"target crash", false, func(r *runner, _ time.Duration) func() {
		e := r.takeEngine()
		e.end(true)
		return func() {
			r.store.put(feed.TopicTargets, e.id, nil)
			r.replace(e)
		}
	}},
	{"target leaves", true, func(r *runner, _ time.Duration) func() {
		e := r.takeEngine()
		r.replace(e)
		e.leave()
		return func() {
			time.Sleep(drainTime + time.Second)
			e.end(false)
		}
	}},
	{"data centre out", true, func(r *runner, _ time.Duration) func() {
		dc := placeNames[r.rand.IntN(len(placeNames))]
		r.store.put(feed.TopicOperator, feed.EvacuatePrefix+dc, []byte("{}"))
		return func() { r.store.put(feed.TopicOperator, feed.EvacuatePrefix+dc, nil) }
	}},
	{"configuration", true, func(r *runner, _ time.Duration) func() { r.publish(keys...); return nil }},
	{"key taken away", true, func(r *runner, _ time.Duration) func() {
		r.publish(keys[0])
		now := time.Now()
		r.ledger.mu.Lock()
		r.ledger.revoked[revocable] = now
		r.ledger.mu.Unlock()
		return func() {
			r.ledger.mu.Lock()
			delete(r.ledger.revoked, revocable)
			r.ledger.mu.Unlock()
			r.mu.Lock()
			defer r.mu.Unlock()
			r.publish(keys...)
		}
	}},
	{"history dropped", false, func(r *runner, _ time.Duration) func() {
		r.store.forget(feed.TopicOperator)
		r.store.forget(feed.TopicTargets)
		return nil
	}},
}

func (r *runner) anyHost() *host { return r.hosts[r.rand.IntN(len(r.hosts))] }

func (r *runner) anyLinkFault() linkFault { return linkDelayed + linkFault(r.rand.IntN(4)) }

// anyEngine returns one of the engines there are, of a service or of all.
func (r *runner) anyEngine(service string) *engine {
	r.mu.Lock()
	defer r.mu.Unlock()
	var fit []*engine
	for i := 1; i <= r.seq; i++ {
		for _, s := range []string{"reg", "llm", "pre"} {
			if e := r.engines[fmt.Sprintf("%s-%d", s, i)]; e != nil && (service == "" || service == s) {
				fit = append(fit, e)
			}
		}
	}
	return fit[r.rand.IntN(len(fit))]
}

// takeEngine takes an engine out of those that other faults may hit.
func (r *runner) takeEngine() *engine {
	e := r.anyEngine("")
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.engines, e.id)
	return e
}

// replace starts a new engine in the place of another.
func (r *runner) replace(e *engine) {
	if err := r.addEngine(e.service, e.place); err != nil {
		r.ledger.wrong("no new engine: %v", err)
	}
}

// inject draws faults until the time is over and returns how many of each kind.
func (r *runner) inject(ctx context.Context) map[string]int {
	counts := map[string]int{}
	end := time.Now().Add(r.opts.Duration)
	for time.Now().Before(end) && ctx.Err() == nil {
		time.Sleep(time.Duration(r.rand.ExpFloat64() * float64(faultEvery)))
		f := kinds[r.rand.IntN(len(kinds))]
		d := 300*time.Millisecond + time.Duration(r.rand.Int64N(int64(maxFault)))
		counts[f.name]++
		_, _ = fmt.Fprintf(r.opts.Out, "%s %s for %s\n", time.Now().Format("15:04:05.000"), f.name, d.Round(time.Millisecond))
		if !f.planned {
			r.ledger.fault(true)
		}
		stop := f.begin(r, d)
		r.wait.Go(func() {
			if stop != nil {
				time.Sleep(d)
				stop()
			}
			if !f.planned {
				r.ledger.fault(false)
			}
		})
	}
	return counts
}
