package soak

import (
	"fmt"
	"strings"
	"time"
)

// Bounds of the guarantee that a whole request gets an answer or a refusal.
const (
	// graceTime is the time between SIGTERM and SIGKILL.
	graceTime = 8 * time.Second
	// contactTime is how long a host must have run undisturbed for guarantees with a time bound.
	contactTime = 4 * time.Second
	// lossSlack is the time after the last byte of a request within which a host may close the
	// connection of a request that it has not read.
	lossSlack = 200 * time.Millisecond
	// unreadSlack is the longest time between two looks at requests that aren't read.
	unreadSlack = 400 * time.Millisecond
	// lossTail is how long after the grace period a lost request counts.
	lossTail = time.Second
	// earlyTime is how long after SIGTERM a request may be sent that the end of the grace period
	// may cut, if a target works on it in the last sixth.
	earlyTime = 3 * time.Second
	// maxCalmLosses is how many requests that reached a target may be cut in a run without a
	// cause.
	maxCalmLosses = 3
	// limitSlack is how long before its deadline a request counts as having reached it.
	limitSlack = 100 * time.Millisecond
)

// losses returns a line for each request that a host read and that ended without an answer
// or a refusal though no fault excuses it.
func (t *trace) losses() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out, calm []string
	for _, a := range t.attempts {
		if a.outcome != cut || !t.isLossCandidate(a) {
			continue
		}
		switch terminated := t.terminationBefore(a); {
		case !terminated.IsZero():
			if !t.isCutByGrace(a, terminated) {
				out = append(out, "LOST after SIGTERM: "+t.describe(a, terminated))
			}
		case t.hasReload(a):
			out = append(out, "LOST around SIGHUP: "+t.describe(a, a.began))
		case len(t.runs[a.id]) > 0:
			calm = append(calm, "LOST: "+t.describe(a, a.began))
		}
	}
	if len(calm) > maxCalmLosses {
		out = append(out, calm...)
	}
	return out
}

// isLossCandidate reports whether a host is to blame for the cut, apart from planned work.
func (t *trace) isLossCandidate(a attempt) bool {
	runs := t.runs[a.id]
	if len(runs) == 0 && t.wasUnread(a) {
		return false
	}
	if len(runs) == 0 && a.ended.Sub(a.sent) <= lossSlack || a.ended.Sub(a.began) >= a.limit-limitSlack {
		return false
	}
	for _, run := range runs {
		if t.hasOutage(run.began, a.ended, run.target) {
			return false // the target broke off
		}
	}
	names := []string{a.host}
	if a.kind != kindOnce && a.kind != kindSafe {
		names = append(names, storeOutage, storeLink(a.host))
	}
	return !t.hasOutage(a.began.Add(-contactTime), a.ended, names...)
}

// wasUnread reports whether the host had not read the request when its connection was last looked at
// before the cut.
func (t *trace) wasUnread(a attempt) bool {
	seen, ok := t.unread[a.local]
	return ok && !seen.Before(a.sent) && a.ended.Sub(seen) <= unreadSlack
}

// terminationBefore returns the last SIGTERM of the host for which the request counts, or zero.
func (t *trace) terminationBefore(a attempt) time.Time {
	var out time.Time
	for _, l := range t.lives[a.host] {
		if at := l.terminated; !at.IsZero() && !at.After(a.ended) && a.ended.Sub(at) <= graceTime+lossTail {
			out = at
		}
	}
	return out
}

// isCutByGrace reports whether the grace period ended before the target's work did.
func (t *trace) isCutByGrace(a attempt, terminated time.Time) bool {
	if a.sent.Sub(terminated) > earlyTime {
		return false
	}
	lastSixth := terminated.Add(graceTime * 5 / 6)
	for _, run := range t.runs[a.id] {
		if run.ended.IsZero() || !run.ended.Before(lastSixth) {
			return true
		}
	}
	return false
}

func (t *trace) hasReload(a attempt) bool {
	for _, at := range t.reloads[a.host] {
		if at.Before(a.ended) && a.sent.Sub(at) <= configApplyTime {
			return true
		}
	}
	return false
}

// describe returns the times of a request, counted from zero.
func (t *trace) describe(a attempt, zero time.Time) string {
	since := func(at time.Time) string { return fmt.Sprintf("%.3f s", at.Sub(zero).Seconds()) }
	var b strings.Builder
	fmt.Fprintf(&b, "request %s (%s, limit %s) at %s: sent at %s", a.id, a.kind, a.limit, a.host, since(a.sent))
	for _, run := range t.runs[a.id] {
		fmt.Fprintf(&b, ", reached %s at %s", run.target, since(run.began))
		if !run.ended.IsZero() {
			fmt.Fprintf(&b, " until %s", since(run.ended))
		}
	}
	fmt.Fprintf(&b, ", cut at %s (zero is %s)", since(a.ended), zero.Format(timeFormat))
	return b.String()
}

// timeFormat is the format of times in the output.
const timeFormat = "15:04:05.000"
