package soak

import (
	"fmt"
	"sync"
	"time"
)

// checker records the requests that callers send and targets run, and collects violations
// of the guarantees.
type checker struct {
	mu              sync.Mutex
	requests        map[string]*requestState
	violations      []string
	counts          map[string]int
	unplannedFaults int                  // faults in force that operators didn't plan
	lastFault       time.Time            // when the last unplanned fault began or ended
	revokedAt       map[string]time.Time // by API key
}

// requestState is the recorded history of one request of a caller.
type requestState struct {
	atMostOnce bool   // the request may run at most once
	account    string // client account that the key belongs to
	key        string
	limit      time.Duration
	sentAt     time.Time
	runs       int
	refused    bool // the caller got an answer that says that the request has not run
}

// stabiliseTime is how long no unplanned fault may have been in force before guarantees
// with a time bound are checked.
const stabiliseTime = 6 * time.Second

func newChecker() *checker {
	return &checker{requests: map[string]*requestState{}, counts: map[string]int{}, revokedAt: map[string]time.Time{}, lastFault: time.Now()}
}

// addViolation records a violation. The caller holds the lock.
func (c *checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

func (c *checker) count(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[what]++
}

// recordFault records that an unplanned fault begins or ends.
func (c *checker) recordFault(begins bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unplannedFaults--; begins {
		c.unplannedFaults += 2
	}
	c.lastFault = time.Now()
}

// isStable reports whether guarantees with a time bound apply. The caller holds the lock.
func (c *checker) isStable(now time.Time) bool {
	return c.unplannedFaults == 0 && now.Sub(c.lastFault) > stabiliseTime
}

func (c *checker) recordSent(id string, atMostOnce bool, key, account string, limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[id] = &requestState{atMostOnce: atMostOnce, account: account, key: key, limit: limit, sentAt: time.Now()}
}

// recordRun checks a request that a target begins to run. leaving is when the target
// announced that it leaves, or zero.
func (c *checker) recordRun(id, target, account, authorization string, leaving time.Time) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	if r == nil {
		c.addViolation("target %s runs request %s, which no caller sent", target, id)
		return
	}
	r.runs++
	c.counts["runs"]++
	if r.atMostOnce && r.runs > 1 {
		c.addViolation("request %s must run at most once but runs %d times, last on target %s", id, r.runs, target)
	}
	if r.atMostOnce && r.refused {
		c.addViolation("request %s runs on target %s after it was refused", id, target)
	}
	if account != r.account {
		c.addViolation("request %s of account %q runs for account %q", id, r.account, account)
	}
	if authorization != "" {
		c.addViolation("request %s reaches target %s with its caller's API key", id, target)
	}
	if at, ok := c.revokedAt[r.key]; ok && c.isStable(now) && r.sentAt.Sub(at) > configApplyTime {
		c.addViolation("request %s runs although it was sent %s after its key was revoked", id, r.sentAt.Sub(at))
	}
	if !leaving.IsZero() && c.isStable(now) && now.Sub(leaving) > drainTime {
		c.addViolation("request %s reaches target %s %s after the target began to leave", id, target, now.Sub(leaving))
	}
}

// configApplyTime and drainTime are the bounds in the hosts' settings.
const (
	configApplyTime = 2500 * time.Millisecond
	drainTime       = 2500 * time.Millisecond
)

func (c *checker) recordRefused(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	r.refused = true
	c.counts["refused"]++
	if r.atMostOnce && r.runs > 0 {
		c.addViolation("request %s is refused although it has run", id)
	}
}

// recordAnswered checks how long the final answer to a request took.
func (c *checker) recordAnswered(id string) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	if took := now.Sub(r.sentAt); c.isStable(now) && took > r.limit+responseSlack {
		c.addViolation("request %s is answered only after %s", id, took)
	}
}

// responseSlack is how long after its deadline an answer may arrive.
const responseSlack = 500 * time.Millisecond

// setRevoked records that a key is revoked, unless it was before, or valid again.
func (c *checker) setRevoked(key string, isRevoked bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, wasRevoked := c.revokedAt[key]; isRevoked && !wasRevoked {
		c.revokedAt[key] = time.Now()
	} else if !isRevoked {
		delete(c.revokedAt, key)
	}
}

// report records a violation. The caller doesn't hold the lock.
func (c *checker) report(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(format, args...)
}
