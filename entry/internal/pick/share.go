package pick

import (
	"time"
)

const (
	// shareMargin is the part of a limit over all hosts that is used, because hosts may
	// briefly disagree on their number.
	shareMargin = 0.75
	// windowBuckets is the number of buckets of a sliding window.
	windowBuckets = 10
)

// window counts events over a sliding window of time.
type window struct {
	bucketLength time.Duration
	counts       [windowBuckets]float64
	newest       int64 // number of the newest bucket since epoch
}

// epoch is the origin of the bucket numbers. It has a monotonic clock reading, so changes
// of the wall clock don't move them.
var epoch = time.Now()

func newWindow(length time.Duration) *window { return &window{bucketLength: length / windowBuckets} }

// advance clears the buckets that have begun since the last call.
func (w *window) advance(now time.Time) {
	bucket := int64(now.Sub(epoch) / w.bucketLength)
	for n := min(bucket-w.newest, windowBuckets); n > 0; n-- {
		w.counts[bucketIndex(bucket-n+1)] = 0
	}
	w.newest = max(w.newest, bucket)
}

func bucketIndex(bucket int64) int64 { return (bucket%windowBuckets + windowBuckets) % windowBuckets }

func (w *window) add(now time.Time, n float64) {
	w.advance(now)
	w.counts[bucketIndex(w.newest)] += n
}

func (w *window) sum(now time.Time) float64 {
	w.advance(now)
	total := 0.0
	for _, c := range w.counts {
		total += c
	}
	return total
}

// RetryBudget bounds the retries of one service to a part of its requests plus this host's
// share of an allowance, so that the bound over all hosts holds without coordination.
type RetryBudget struct {
	ratio, allowance float64
	requests         *window
	retries          *window
}

// NewRetryBudget returns a budget over a sliding window. allowance is that of all hosts
// together.
func NewRetryBudget(ratio, allowance float64, length time.Duration) *RetryBudget {
	return &RetryBudget{ratio: ratio, allowance: allowance, requests: newWindow(length), retries: newWindow(length)}
}

// RecordRequest records the first send of a request.
func (b *RetryBudget) RecordRequest(now time.Time) { b.requests.add(now, 1) }

// TakeRetry reports whether a retry may be sent, and counts it if so.
func (b *RetryBudget) TakeRetry(hosts int, now time.Time) bool {
	allowed := shareMargin * (b.ratio*b.requests.sum(now) + b.allowance/float64(max(hosts, 1)))
	if b.retries.sum(now)+1 > allowed {
		return false
	}
	b.retries.add(now, 1)
	return true
}

// coldSendInterval returns the time that this host leaves between two requests to a cold
// target that takes perSecond requests from all hosts together, and whether it may send
// any. rank is this host's rank among the hosts for the target.
func coldSendInterval(perSecond float64, hosts, rank int) (time.Duration, bool) {
	allowed := shareMargin * perSecond
	if allowed <= 0 {
		return 0, false
	}
	perHost := allowed / float64(max(hosts, 1))
	if perHost >= 1 {
		return time.Duration(float64(time.Second) / perHost), true
	}
	// With more hosts than requests per second, only the first hosts may send, one each.
	return time.Second, float64(rank) < allowed
}

// ConnectionShare returns how many connections to one target this host may have, at least
// one.
func ConnectionShare(limit, hosts int) int {
	return max(int(shareMargin*float64(limit)/float64(max(hosts, 1))), 1)
}
