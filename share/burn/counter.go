// Package burn counts how fast pipelines use up their error budgets: the share of
// requests that may miss their deadline without missing the pipeline's objective.
package burn

import (
	"slices"
	"strings"
	"sync"
	"time"

	"chivepost/share/units"
)

// rings lists the rings of buckets of each series. A window is read from the finest
// ring that is long enough, so its length is off by at most one bucket.
var rings = []struct {
	width   time.Duration
	buckets int
}{
	{10 * time.Second, 30},
	{time.Minute, 60},
	{5 * time.Minute, 72},
}

// Windows are the lengths of time that are counted, in ascending order.
var Windows = []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour}

const (
	// maxSeries bounds the memory of a Counter: the buckets of a series take 1.3 kB.
	maxSeries = 4096
	// Other is the account that counts for all accounts beyond the bound.
	Other = "other"
)

type seriesKey struct{ pipeline, account string }

type bucket struct{ good, bad uint32 }

// ring holds the newest buckets; head is the number of widths since the start.
type ring struct {
	head    int64
	buckets []bucket
}

// advance makes the bucket at the given number the newest, empties the ones between
// and returns it.
func (r *ring) advance(to int64) *bucket {
	n := int64(len(r.buckets))
	for i := max(r.head+1, to-n+1); i <= to; i++ {
		r.buckets[i%n] = bucket{}
	}
	r.head = max(r.head, to)
	return &r.buckets[r.head%n]
}

type series struct {
	last  time.Duration
	rings []ring
}

// Counter counts requests by pipeline and account. It is safe for concurrent use.
type Counter struct {
	now    func() time.Time
	start  time.Time
	mu     sync.Mutex
	series map[seriesKey]*series
}

// New returns an empty Counter. The differences between the readings of now must be
// monotonic, as those of time.Now are.
func New(now func() time.Time) *Counter {
	return &Counter{now: now, start: now(), series: map[seriesKey]*series{}}
}

// Add counts one request. It is bad if it was accepted and not completely answered
// within its deadline, or refused for overload.
func (c *Counter) Add(pipeline, account string, good bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := c.now().Sub(c.start)
	s := c.find(seriesKey{pipeline, account}, at)
	s.last = at
	for i := range s.rings {
		b := s.rings[i].advance(int64(at / rings[i].width))
		if good {
			b.good++
		} else {
			b.bad++
		}
	}
}

// find returns the series for key, or that of the account Other when there are too many.
func (c *Counter) find(key seriesKey, at time.Duration) *series {
	if s, ok := c.series[key]; ok {
		return s
	}
	if len(c.series) >= maxSeries && key.account != Other {
		c.drop(at)
		if len(c.series) >= maxSeries {
			return c.find(seriesKey{key.pipeline, Other}, at)
		}
	}
	s := &series{}
	for _, r := range rings {
		s.rings = append(s.rings, ring{buckets: make([]bucket, r.buckets)})
	}
	c.series[key] = s
	return s
}

// drop removes the series without a request in the longest window.
func (c *Counter) drop(at time.Duration) {
	longest := Windows[len(Windows)-1]
	for key, s := range c.series {
		if at-s.last > longest {
			delete(c.series, key)
		}
	}
}

// Snapshot returns the counts of all windows, sorted by pipeline and account.
func (c *Counter) Snapshot() Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := c.now().Sub(c.start)
	c.drop(at)
	snap := Snapshot{Series: []Series{}, History: []History{}}
	history := map[string][]bucket{}
	for key, s := range c.series {
		for i := range s.rings {
			s.rings[i].advance(int64(at / rings[i].width))
		}
		snap.Series = append(snap.Series, Series{Pipeline: key.pipeline, Account: key.account, Windows: s.windows()})
		last := len(rings) - 1
		sums := history[key.pipeline]
		if sums == nil {
			sums = make([]bucket, rings[last].buckets)
		}
		for age, b := range s.rings[last].newest(rings[last].buckets) {
			sums[age].good += b.good
			sums[age].bad += b.bad
		}
		history[key.pipeline] = sums
	}
	for pipeline, sums := range history {
		snap.History = append(snap.History, newHistory(pipeline, sums))
	}
	snap.sort()
	return snap
}

// newest returns the n newest buckets, newest first.
func (r *ring) newest(n int) []bucket {
	out := make([]bucket, 0, n)
	size := int64(len(r.buckets))
	for i := r.head; i > r.head-int64(n) && i >= 0; i-- {
		out = append(out, r.buckets[i%size])
	}
	return out
}

func (s *series) windows() []Count {
	counts := make([]Count, len(Windows))
	for i, window := range Windows {
		counts[i].Window = units.Duration(window)
		for j, r := range rings {
			if r.width*time.Duration(r.buckets) < window {
				continue
			}
			for _, b := range s.rings[j].newest(int(window / r.width)) {
				counts[i].Good += int64(b.good)
				counts[i].Bad += int64(b.bad)
			}
			break
		}
	}
	return counts
}

func newHistory(pipeline string, sums []bucket) History {
	h := History{Pipeline: pipeline, Buckets: []Bucket{}}
	width := rings[len(rings)-1].width
	for i, b := range sums {
		if b != (bucket{}) {
			h.Buckets = append(h.Buckets, Bucket{Age: units.Duration(width * time.Duration(i)), Good: int64(b.good), Bad: int64(b.bad)})
		}
	}
	return h
}

func (s *Snapshot) sort() {
	slices.SortFunc(s.Series, func(a, b Series) int {
		if c := strings.Compare(a.Pipeline, b.Pipeline); c != 0 {
			return c
		}
		return strings.Compare(a.Account, b.Account)
	})
	slices.SortFunc(s.History, func(a, b History) int { return strings.Compare(a.Pipeline, b.Pipeline) })
}
