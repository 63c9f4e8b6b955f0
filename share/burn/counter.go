// Package burn measures how fast pipelines use up their error budgets. The error budget
// of a pipeline is the share of requests that may miss their deadline while the pipeline
// still meets its objective.
package burn

import (
	"slices"
	"strings"
	"sync"
	"time"

	"chivepost/share/units"
)

// resolutions lists the bucket width and the number of buckets of each ring of a series,
// finest first. A window is read from the finest ring that is long enough, so its length
// is off by at most one bucket.
var resolutions = []struct {
	width   time.Duration
	buckets int
}{
	{10 * time.Second, 30},
	{time.Minute, 60},
	{5 * time.Minute, 72},
}

// Windows lists the lengths of the time windows for which requests are counted, in
// ascending order.
var Windows = []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour}

const (
	// maxSeries bounds the memory of a Counter: the buckets of a series take 1.3 kB.
	maxSeries = 4096
	// Other is the account under which requests of further accounts are counted once there
	// are maxSeries series.
	Other = "other"
)

type seriesKey struct{ pipeline, account string }

type bucket struct{ good, bad uint32 }

// ring holds the newest buckets. head is the number of the newest one, counted in bucket
// widths since the start of the Counter.
type ring struct {
	head    int64
	buckets []bucket
}

// advance makes the bucket with the given number the newest, empties the buckets skipped
// in between, and returns the newest.
func (r *ring) advance(to int64) *bucket {
	n := int64(len(r.buckets))
	for i := max(r.head+1, to-n+1); i <= to; i++ {
		r.buckets[i%n] = bucket{}
	}
	r.head = max(r.head, to)
	return &r.buckets[r.head%n]
}

type series struct {
	lastRequest time.Duration
	rings       []ring
}

// Counter counts requests by pipeline and client account. It is safe for concurrent use.
type Counter struct {
	now    func() time.Time
	start  time.Time
	mu     sync.Mutex
	series map[seriesKey]*series
}

// New returns an empty Counter. The times returned by now must not go backwards relative
// to each other; those of time.Now don't, as they have a monotonic reading.
func New(now func() time.Time) *Counter {
	return &Counter{now: now, start: now(), series: map[seriesKey]*series{}}
}

// Add counts one request. A request is bad if it was accepted but not completely answered
// within its deadline, or if it was refused because of overload.
func (c *Counter) Add(pipeline, account string, good bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := c.now().Sub(c.start)
	s := c.seriesFor(seriesKey{pipeline, account}, at)
	s.lastRequest = at
	for i := range s.rings {
		b := s.rings[i].advance(int64(at / resolutions[i].width))
		if good {
			b.good++
		} else {
			b.bad++
		}
	}
}

// seriesFor returns the series for key. It creates the series, or returns that of the
// account Other if there are maxSeries already.
func (c *Counter) seriesFor(key seriesKey, at time.Duration) *series {
	if s, ok := c.series[key]; ok {
		return s
	}
	if len(c.series) >= maxSeries && key.account != Other {
		c.removeIdle(at)
		if len(c.series) >= maxSeries {
			return c.seriesFor(seriesKey{key.pipeline, Other}, at)
		}
	}
	s := &series{}
	for _, r := range resolutions {
		s.rings = append(s.rings, ring{buckets: make([]bucket, r.buckets)})
	}
	c.series[key] = s
	return s
}

// removeIdle removes the series without a request within the longest window.
func (c *Counter) removeIdle(at time.Duration) {
	longest := Windows[len(Windows)-1]
	for key, s := range c.series {
		if at-s.lastRequest > longest {
			delete(c.series, key)
		}
	}
}

// Snapshot returns the counts of all windows and the history, sorted by pipeline and
// account.
func (c *Counter) Snapshot() Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := c.now().Sub(c.start)
	c.removeIdle(at)
	snap := Snapshot{Series: []Series{}, History: []History{}}
	history := map[string][]bucket{}
	for key, s := range c.series {
		for i := range s.rings {
			s.rings[i].advance(int64(at / resolutions[i].width))
		}
		snap.Series = append(snap.Series, Series{Pipeline: key.pipeline, Account: key.account, Windows: s.windows()})
		last := len(resolutions) - 1
		sums := history[key.pipeline]
		if sums == nil {
			sums = make([]bucket, resolutions[last].buckets)
		}
		for age, b := range s.rings[last].newest(resolutions[last].buckets) {
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

// windows returns the counts of each window of Windows.
func (s *series) windows() []Count {
	counts := make([]Count, len(Windows))
	for i, window := range Windows {
		counts[i].Window = units.Duration(window)
		for j, r := range resolutions {
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
	width := resolutions[len(resolutions)-1].width
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
