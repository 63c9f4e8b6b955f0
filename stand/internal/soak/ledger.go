package soak

import (
	"fmt"
	"sync"
	"time"
)

// ledger records what callers and targets see, and checks the promises.
type ledger struct {
	mu        sync.Mutex
	requests  map[string]*seen
	breaches  []string
	counts    map[string]int
	unplanned int       // faults at work that operators didn't plan
	calm      time.Time // when the last one ended
	revoked   map[string]time.Time
}

// seen is what is known of one request of a caller.
type seen struct {
	once    bool   // it may run at most once
	account string // that its key belongs to
	key     string
	at      time.Time // when it was sent
	runs    int
	refused bool // its caller was told that it has not run
}

// settle is what calm must have lasted for rules with a time bound to count.
const settle = 6 * time.Second

func newLedger() *ledger {
	return &ledger{requests: map[string]*seen{}, counts: map[string]int{}, revoked: map[string]time.Time{}, calm: time.Now()}
}

func (l *ledger) breach(format string, args ...any) {
	l.breaches = append(l.breaches, fmt.Sprintf(format, args...))
}

func (l *ledger) count(what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[what]++
}

// fault notes that an unplanned fault begins or ends.
func (l *ledger) fault(begins bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unplanned--; begins {
		l.unplanned += 2
	}
	l.calm = time.Now()
}

func (l *ledger) isCalm(now time.Time) bool { return l.unplanned == 0 && now.Sub(l.calm) > settle }

func (l *ledger) sent(id string, once bool, key, account string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[id] = &seen{once: once, account: account, key: key, at: time.Now()}
	l.counts["sent"]++
}

// ran notes that a target begins to work on a request.
func (l *ledger) ran(id, target, account, authorization string, leaving time.Time) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[id]
	if r == nil {
		l.breach("target %s runs request %s, which no caller sent", target, id)
		return
	}
	r.runs++
	l.counts["runs"]++
	if r.once && r.runs > 1 {
		l.breach("request %s may run once and runs for the %d. time, at %s", id, r.runs, target)
	}
	if r.once && r.refused {
		l.breach("request %s runs at %s after its caller was told that it never will", id, target)
	}
	if account != r.account {
		l.breach("request %s of account %q runs for account %q", id, r.account, account)
	}
	if authorization != "" {
		l.breach("request %s reaches %s with its caller's key", id, target)
	}
	if at, ok := l.revoked[r.key]; ok && l.isCalm(now) && r.at.Sub(at) > applyTime {
		l.breach("request %s runs, sent %s after its key was taken away", id, r.at.Sub(at))
	}
	if !leaving.IsZero() && l.isCalm(now) && now.Sub(leaving) > drainTime {
		l.breach("request %s reaches %s %s after that target began to leave", id, target, now.Sub(leaving))
	}
}

// applyTime and drainTime are the bounds that the hosts' settings give.
const (
	applyTime = 2500 * time.Millisecond
	drainTime = 2500 * time.Millisecond
)

func (l *ledger) refused(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[id]
	r.refused = true
	l.counts["refused"]++
	if r.once && r.runs > 0 {
		l.breach("request %s has run and its caller is told that it has not", id)
	}
}

// answered notes that a request has its final answer.
func (l *ledger) answered(id string) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if took := now.Sub(l.requests[id].at); l.isCalm(now) && took > callTimeout+answerSlack {
		l.breach("request %s has its answer after %s", id, took)
	}
}

// answerSlack is what an answer may come after its deadline.
const answerSlack = 500 * time.Millisecond

func (l *ledger) wrong(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breach(format, args...)
}
