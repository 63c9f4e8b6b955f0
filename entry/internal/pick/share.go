package pick

import (
	"time"
)

const (
	// shareMargin is the part of a limit over all hosts that is used: hosts may not
	// agree on their number for a moment.
	shareMargin = 0.75
	// windowSteps is the number of steps in which a sliding window is counted.
	windowSteps = 10
)

// window counts events over a sliding time.
type window struct {
	step   time.Duration
	counts [windowSteps]float64
	at     int64 // step of the newest count
}

// epoch makes steps of the monotonic clock, which the time of day doesn't move.
var epoch = time.Now()

func newWindow(length time.Duration) *window { return &window{step: length / windowSteps} }

func (w *window) move(now time.Time) {
	at := int64(now.Sub(epoch) / w.step)
	for n := min(at-w.at, windowSteps); n > 0; n-- {
		w.counts[slot(at-n+1)] = 0
	}
	w.at = max(w.at, at)
}

func slot(at int64) int64 { return (at%windowSteps + windowSteps) % windowSteps }

func (w *window) add(now time.Time, n float64) {
	w.move(now)
	w.counts[slot(w.at)] += n
}

func (w *window) sum(now time.Time) float64 {
	w.move(now)
	total := 0.0
	for _, c := range w.counts {
		total += c
	}
	return total
}

// RetryBudget bounds the repeats of one service to a part of its requests and this
// host's share of an allowance, so that the bound over all hosts holds without
// talking.
type RetryBudget struct {
	ratio, extra float64
	firsts       *window
	repeats      *window
}

// NewRetryBudget returns a budget; extra is the allowance of all hosts together.
func NewRetryBudget(ratio, extra float64, length time.Duration) *RetryBudget {
	return &RetryBudget{ratio: ratio, extra: extra, firsts: newWindow(length), repeats: newWindow(length)}
}

// RecordRequest notes a request's first send.
func (b *RetryBudget) RecordRequest(now time.Time) { b.firsts.add(now, 1) }

// TakeRetry reports whether a repeat may be sent, and notes it.
func (b *RetryBudget) TakeRetry(hosts int, now time.Time) bool {
	allowed := shareMargin * (b.ratio*b.firsts.sum(now) + b.extra/float64(max(hosts, 1)))
	if b.repeats.sum(now)+1 > allowed {
		return false
	}
	b.repeats.add(now, 1)
	return true
}

// coldGap returns the pause that this host keeps between two requests to a cold
// target that bears perSecond of all hosts, and whether it may send at all.
func coldGap(perSecond float64, hosts, rank int) (time.Duration, bool) {
	bears := shareMargin * perSecond
	if bears <= 0 {
		return 0, false
	}
	each := bears / float64(max(hosts, 1))
	if each >= 1 {
		return time.Duration(float64(time.Second) / each), true
	}
	// There are more hosts than requests a second: the first ones have one each.
	return time.Second, float64(rank) < bears
}

// ConnectionShare returns how many connections to one target this host may hold.
func ConnectionShare(limit, hosts int) int {
	return max(int(shareMargin*float64(limit)/float64(max(hosts, 1))), 1)
}
