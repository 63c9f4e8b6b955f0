package soak

import (
	"sync"
	"time"
)

// outcome says how a request ended for its caller.
type outcome int

const (
	answered outcome = iota // a whole answer
	refused                 // an answer that says that the request has not run
	failed                  // another answer that isn't a success
	cut                     // the connection ended without a whole answer
	timedOut                // no whole answer within the deadline
	unsent                  // the connection ended before the last byte was written
	left                    // the load was stopped
)

func (o outcome) String() string {
	return [...]string{"answered", "refused", "failed", "cut", "timed out", "unsent", "left"}[o]
}

// attempt is a request as its caller saw it.
type attempt struct {
	id, host, kind string
	local          string // address of its connection
	isTainted      bool
	limit          time.Duration // counted from began
	began          time.Time
	sent           time.Time // when its last byte was written
	ended          time.Time
	outcome        outcome
	hasBegun       bool // the first byte of a success arrived
}

// targetRun is a request that reached a target.
type targetRun struct {
	target    string
	isTainted bool
	began     time.Time
	ended     time.Time // zero while the target works on it
}

// outage is an unplanned fault of a host, a target, the store or a link.
type outage struct {
	name     string
	from, to time.Time // to is zero while it lasts
}

// life is the time for which one process of a host runs.
type life struct {
	started, terminated, ended time.Time // zero: not yet
	isKilled                   bool
}

// storeOutage is the name of an outage of the store itself.
const storeOutage = "store"

// storeLink is the name of the link between a host and the store.
func storeLink(host string) string { return storeOutage + " link of " + host }

// trace records what callers and targets observe and what was done to hosts and targets.
type trace struct {
	mu       sync.Mutex
	attempts []attempt
	runs     map[string][]*targetRun // by request
	outages  []*outage
	lives    map[string][]*life // by host
	contacts []contact
	reloads  map[string][]time.Time // SIGHUP, by host
	// unread is when a connection was last seen with bytes that its host had not read, by the address
	// of the caller.
	unread  map[string]time.Time
	crashes []time.Time                  // of targets that began to answer a tainted request
	tainted struct{ from, to time.Time } // when tainted requests are sent
}

func newTrace() *trace {
	return &trace{runs: map[string][]*targetRun{}, lives: map[string][]*life{}, reloads: map[string][]time.Time{}, unread: map[string]time.Time{}}
}

func (t *trace) recordUnread(caller string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unread[caller] = at
}

func (t *trace) recordAttempt(a attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attempts = append(t.attempts, a)
}

// recordRun records that a request reaches a target and returns what records the end.
func (t *trace) recordRun(id, target string, isTainted bool) (end func()) {
	run := &targetRun{target: target, isTainted: isTainted, began: time.Now()}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs[id] = append(t.runs[id], run)
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		run.ended = time.Now()
	}
}

// recordOutage records that an unplanned fault begins and returns what records its end.
func (t *trace) recordOutage(names ...string) (end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	begun := make([]*outage, len(names))
	for i, name := range names {
		begun[i] = &outage{name: name, from: time.Now()}
	}
	t.outages = append(t.outages, begun...)
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		for _, o := range begun {
			o.to = time.Now()
		}
	}
}

func (t *trace) recordCrash() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.crashes = append(t.crashes, time.Now())
}

// setTainted records that tainted requests begin or end.
func (t *trace) setTainted(begin bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if begin {
		t.tainted.from = time.Now()
	} else {
		t.tainted.to = time.Now()
	}
}

func (t *trace) recordReload(host string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reloads[host] = append(t.reloads[host], time.Now())
}

// recordStart records that a process of the host starts.
func (t *trace) recordStart(host string) *life {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := &life{started: time.Now()}
	t.lives[host] = append(t.lives[host], l)
	return l
}

// update changes a life under the lock.
func (t *trace) update(l *life, change func(l *life)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(l)
}

// hasOutage reports whether an unplanned fault with one of the names was in force at any time
// of the span. The caller holds the lock.
func (t *trace) hasOutage(from, to time.Time, names ...string) bool {
	for _, o := range t.outages {
		for _, name := range names {
			if o.name == name && !o.from.After(to) && (o.to.IsZero() || !o.to.Before(from)) {
				return true
			}
		}
	}
	return false
}

// isInTouch reports whether the host had run undisturbed for contactTime. The caller holds
// the lock.
func (t *trace) isInTouch(host string, at time.Time) bool {
	since := at.Add(-contactTime)
	if t.hasOutage(since, at, host, storeOutage, storeLink(host)) {
		return false
	}
	for _, l := range t.lives[host] {
		if l.started.After(at) || !l.ended.IsZero() && l.ended.Before(since) {
			continue
		}
		if l.started.After(since) || !l.ended.IsZero() && !l.ended.After(at) || !l.terminated.IsZero() && !l.terminated.After(at) {
			return false
		}
	}
	return true
}
