// Package admit refuses requests that could not be answered in time, or that exceed
// their account's fair share while calls of others wait, before any stage runs.
package admit

import (
	"math"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Observations are dropped at an age of windowCount times windowLength: long enough
	// for a few hundred calls, short compared with a burst of requests.
	windowCount  = 5
	windowLength = time.Second
	// The histogram covers 100 us to 10 min with an error below 1%.
	minValue, maxValue, significantDigits = 1, 6_000_000, 2
	unit                                  = 100 * time.Microsecond
	// cacheTime is how long quantiles are reused, to limit the cost of merging the windows.
	cacheTime = 50 * time.Millisecond
)

// Quantiles holds quantiles of the recent observations of a pool. Count is the number of
// these observations.
type Quantiles struct {
	P50, P95 time.Duration
	Count    int64
}

// Estimator keeps moving quantiles, by pool, of the time that calls take in the queue and
// in service. An observation counts for 5 s. Estimator is safe for concurrent use.
type Estimator struct {
	mu    sync.Mutex
	pools map[string]*poolHistograms
}

type poolHistograms struct{ total, service *movingHistogram }

// NewEstimator returns an estimator without observations.
func NewEstimator() *Estimator { return &Estimator{pools: map[string]*poolHistograms{}} }

// Observe records the time that a call of the pool spent in the queue and in service.
func (e *Estimator) Observe(pool string, waited, took time.Duration) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.pools[pool]
	if s == nil {
		s = &poolHistograms{total: newMovingHistogram(now), service: newMovingHistogram(now)}
		e.pools[pool] = s
	}
	s.total.add(now, waited+took)
	s.service.add(now, took)
}

// ExpectedTime returns the P95 of the total time in queues and service of a request with
// one stage in each of the pools, and 0 without observations. The stages are assumed to
// vary independently, so the medians are added and the distances of the P95 from the
// medians are added by squares.
func (e *Estimator) ExpectedTime(pools []string) time.Duration {
	return e.estimate(pools, func(s *poolHistograms) *movingHistogram { return s.total })
}

// ExpectedServiceTime is like ExpectedTime, without the time in queues.
func (e *Estimator) ExpectedServiceTime(pools []string) time.Duration {
	return e.estimate(pools, func(s *poolHistograms) *movingHistogram { return s.service })
}

// ServiceTime returns the quantiles of the service time of the pool.
func (e *Estimator) ServiceTime(pool string) Quantiles {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.pools[pool]; s != nil {
		return s.service.quantiles(time.Now())
	}
	return Quantiles{}
}

func (e *Estimator) estimate(pools []string, histogram func(*poolHistograms) *movingHistogram) time.Duration {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	var median time.Duration
	var squares float64
	for _, p := range pools {
		s := e.pools[p]
		if s == nil {
			continue
		}
		q := histogram(s).quantiles(now)
		median += q.P50
		squares += math.Pow(float64(q.P95-q.P50), 2)
	}
	return median + time.Duration(math.Sqrt(squares))
}

// movingHistogram is a histogram of the last few seconds that caches its quantiles.
type movingHistogram struct {
	hist        *hdrhistogram.WindowedHistogram
	start       time.Time
	cached      Quantiles
	cachedUntil time.Time
}

func newMovingHistogram(now time.Time) *movingHistogram {
	return &movingHistogram{hist: hdrhistogram.NewWindowed(windowCount, minValue, maxValue, significantDigits), start: now}
}

func (m *movingHistogram) add(now time.Time, d time.Duration) {
	m.rotate(now)
	// RecordValue fails only for values out of range.
	_ = m.hist.Current.RecordValue(min(max(int64(d/unit), minValue), maxValue))
}

func (m *movingHistogram) rotate(now time.Time) {
	behind := int(now.Sub(m.start) / windowLength)
	for range min(behind, windowCount) {
		m.hist.Rotate()
	}
	m.start = m.start.Add(time.Duration(behind) * windowLength)
}

func (m *movingHistogram) quantiles(now time.Time) Quantiles {
	if now.Before(m.cachedUntil) {
		return m.cached
	}
	m.rotate(now)
	all := m.hist.Merge()
	m.cached = Quantiles{Count: all.TotalCount()}
	if m.cached.Count > 0 {
		m.cached.P50 = time.Duration(all.ValueAtQuantile(50)) * unit
		m.cached.P95 = time.Duration(all.ValueAtQuantile(95)) * unit
	}
	m.cachedUntil = now.Add(cacheTime)
	return m.cached
}
