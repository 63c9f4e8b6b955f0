package canary

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// bucketGrowth is the ratio of the bounds of two buckets of a histogram.
	bucketGrowth = 1.25
	maxBucket    = 60 // 1.25^60 ms are eleven minutes
	// slowBuckets is how far above a quantile of the old version a time may be without being
	// slow. Times above are 2 to 3 times as long, depending on where in their buckets they are.
	slowBuckets = 3
	// minCompared is the number of times of the old version on a route below which its
	// quantiles aren't used.
	minCompared = 10
	// minFailureRate and minSlowRate are the rates that the old version is taken to have at
	// least, since a sample may have none by chance.
	minFailureRate = 0.005
	minSlowRate    = 0.02
	// minBadCount is the least number of bad responses that show anything.
	minBadCount = 3
	// lookLevel is the probability by chance below which a version is bad at one of the many
	// looks, finalLevel that at the end of the trial.
	lookLevel  = 1e-4
	finalLevel = 1e-3
)

// quantiles of the old version's times above which the slow ones are counted.
var quantiles = []float64{0.5, 0.9}

// Hist counts times by bucket.
type Hist map[uint8]uint32

func bucketOf(d time.Duration) uint8 {
	ms := float64(d) / float64(time.Millisecond)
	if ms <= 1 {
		return 0
	}
	return uint8(min(math.Log(ms)/math.Log(bucketGrowth), maxBucket))
}

func (h Hist) count() (n uint32) {
	for _, c := range h {
		n += c
	}
	return n
}

func (h Hist) above(bucket int) (n uint32) {
	for b, c := range h {
		if int(b) > bucket {
			n += c
		}
	}
	return n
}

// quantile returns the bucket of the quantile q.
func (h Hist) quantile(q float64) int {
	left := q * float64(h.count())
	for _, b := range slices.Sorted(maps.Keys(h)) {
		if left -= float64(h[b]); left <= 0 {
			return int(b)
		}
	}
	return maxBucket
}

func (h *Hist) add(d time.Duration) {
	if *h == nil {
		*h = Hist{}
	}
	(*h)[bucketOf(d)]++
}

func (h *Hist) merge(o Hist) {
	if *h == nil {
		*h = Hist{}
	}
	for b, c := range o {
		(*h)[b] += c
	}
}

// Tally is what a version showed on a route.
type Tally struct {
	Done   uint32 `cbor:"d,omitempty"` // responses, with the failed ones
	Failed uint32 `cbor:"f,omitempty"`
	First  Hist   `cbor:"t,omitempty"` // time to the first byte
	Gap    Hist   `cbor:"g,omitempty"` // time per event
}

func (t *Tally) merge(o Tally) {
	t.Done += o.Done
	t.Failed += o.Failed
	t.First.merge(o.First)
	t.Gap.merge(o.Gap)
}

// RouteEvidence compares the versions on a route, at the same time.
type RouteEvidence struct {
	Old Tally `cbor:"o"`
	New Tally `cbor:"n"`
}

// Evidence is what the versions of a service showed, by route.
type Evidence map[string]*RouteEvidence

func (e Evidence) route(name string) *RouteEvidence {
	r := e[name]
	if r == nil {
		r = &RouteEvidence{}
		e[name] = r
	}
	return r
}

func (e Evidence) merge(o Evidence) {
	for name, r := range o {
		if r != nil {
			to := e.route(name)
			to.Old.merge(r.Old)
			to.New.merge(r.New)
		}
	}
}

// newDone returns the responses of the new version.
func (e Evidence) newDone() (n uint32) {
	for _, r := range e {
		n += r.New.Done
	}
	return n
}

// comparison is one kind of bad responses of the new version, on one route: bad of n, of
// which the old version has the rate usual.
type comparison struct {
	bad, n uint32
	usual  float64
}

// compare returns the comparisons of a route, by kind.
func (r *RouteEvidence) compare() map[string]comparison {
	out := map[string]comparison{
		"failures": {r.New.Failed, r.New.Done, max(minFailureRate, (float64(r.Old.Failed)+math.Sqrt(float64(r.Old.Failed))+0.5)/(float64(r.Old.Done)+20))},
	}
	for kind, pair := range map[string][2]Hist{"first byte": {r.Old.First, r.New.First}, "time per event": {r.Old.Gap, r.New.Gap}} {
		n := pair[0].count()
		if n < minCompared || pair[1].count() == 0 {
			continue
		}
		for _, q := range quantiles {
			limit := pair[0].quantile(q) + slowBuckets
			out[fmt.Sprintf("%s above the usual %g", kind, q)] = comparison{
				pair[1].above(limit), pair[1].count(), max(minSlowRate, upperRate(pair[0].above(limit), n)),
			}
		}
	}
	return out
}

// upperRate returns a rate that k of n events suggest, raised by its standard error since the
// sample may be small.
func upperRate(k, n uint32) float64 {
	mean := float64(k) + 1
	return min((mean+math.Sqrt(mean))/(float64(n)+2), 1)
}

// isBad reports whether the new version is bad, at a level of probability, and why.
func (e Evidence) isBad(level float64) (reason string, ok bool) {
	total := map[string]comparison{}
	for _, name := range slices.Sorted(maps.Keys(e)) {
		for kind, c := range e[name].compare() {
			if c.isBad(level) {
				return fmt.Sprintf("%s: %d of %d on route %s, usual %.3f", kind, c.bad, c.n, name, c.usual), true
			}
			t := total[kind]
			if n := t.n + c.n; n > 0 {
				t.usual = (t.usual*float64(t.n) + c.usual*float64(c.n)) / float64(n)
			}
			t.bad, t.n = t.bad+c.bad, t.n+c.n
			total[kind] = t
		}
	}
	for _, kind := range slices.Sorted(maps.Keys(total)) {
		if c := total[kind]; c.isBad(level) {
			return fmt.Sprintf("%s: %d of %d on all routes, usual %.3f", kind, c.bad, c.n, c.usual), true
		}
	}
	return "", false
}

// isBad reports whether so many bad responses have a probability below level if the new
// version is as good as the old one.
func (c comparison) isBad(level float64) bool {
	return c.bad >= minBadCount && float64(c.bad) > c.usual*float64(c.n) && binomialTail(c.bad, c.n, c.usual) < level
}

// binomialTail returns the probability of at least k of n events of probability p.
func binomialTail(k, n uint32, p float64) float64 {
	if p >= 1 || k == 0 {
		return 1
	}
	lg := func(x uint32) float64 { v, _ := math.Lgamma(float64(x) + 1); return v }
	sum := 0.0
	for i := k; i <= n; i++ {
		term := math.Exp(lg(n) - lg(i) - lg(n-i) + float64(i)*math.Log(p) + float64(n-i)*math.Log1p(-p))
		if sum += term; float64(i) > float64(n)*p && term < 1e-9*sum {
			break // the terms only fall from here on
		}
	}
	return sum
}
