// Package admit refuses requests early that could not be answered in time, or
// that exceed their account's fair share while others wait.
package admit

import (
	"math"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// windows times windowLength is the age at which an observation is forgotten:
	// long enough for a few hundred calls, short against a burst of callers.
	windows      = 5
	windowLength = time.Second
	// The histogram holds 100 us to 10 min with an error below 1%.
	lowest, highest, digits = 1, 6_000_000, 2
	unit                    = 100 * time.Microsecond
	// cacheFor bounds the cost of merging the windows.
	cacheFor = 50 * time.Millisecond
)

// Quantiles are moving quantiles of one pool. Count is the number of
// observations behind them.
type Quantiles struct {
	P50, P95 time.Duration
	Count    int64
}

// Estimator keeps moving quantiles of the time that a stage takes, in the queue
// and in service. An observation counts for 5 s. It is safe for concurrent use.
type Estimator struct {
	mu    sync.Mutex
	pools map[string]*series
}

type series struct{ total, service *moving }

// NewEstimator returns an estimator without observations.
func NewEstimator() *Estimator { return &Estimator{pools: map[string]*series{}} }

// Observe records one call of the pool: the time in the queue and in service.
func (e *Estimator) Observe(pool string, waited, took time.Duration) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.pools[pool]
	if s == nil {
		s = &series{total: newMoving(now), service: newMoving(now)}
		e.pools[pool] = s
	}
	s.total.add(now, waited+took)
	s.service.add(now, took)
}

// ExpectedTime returns the P95 of queue plus service over the pools, one stage each,
// and 0 without observations. The stages vary independently, so the excess of
// the P95 over the medians adds up by squares.
func (e *Estimator) ExpectedTime(pools []string) time.Duration {
	return e.sum(pools, func(s *series) *moving { return s.total })
}

// ExpectedServiceTime returns the P95 of service alone over the pools.
func (e *Estimator) ExpectedServiceTime(pools []string) time.Duration {
	return e.sum(pools, func(s *series) *moving { return s.service })
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

func (e *Estimator) sum(pools []string, of func(*series) *moving) time.Duration {
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
		q := of(s).quantiles(now)
		median += q.P50
		squares += math.Pow(float64(q.P95-q.P50), 2)
	}
	return median + time.Duration(math.Sqrt(squares))
}

// moving is a histogram of the last few seconds.
type moving struct {
	hist   *hdrhistogram.WindowedHistogram
	start  time.Time
	cached Quantiles
	until  time.Time
}

func newMoving(now time.Time) *moving {
	return &moving{hist: hdrhistogram.NewWindowed(windows, lowest, highest, digits), start: now}
}

func (m *moving) add(now time.Time, d time.Duration) {
	m.rotate(now)
	// The value is within the range, the only cause of an error.
	_ = m.hist.Current.RecordValue(min(max(int64(d/unit), lowest), highest))
}

func (m *moving) rotate(now time.Time) {
	behind := int(now.Sub(m.start) / windowLength)
	for range min(behind, windows) {
		m.hist.Rotate()
	}
	m.start = m.start.Add(time.Duration(behind) * windowLength)
}

func (m *moving) quantiles(now time.Time) Quantiles {
	if now.Before(m.until) {
		return m.cached
	}
	m.rotate(now)
	all := m.hist.Merge()
	m.cached = Quantiles{Count: all.TotalCount()}
	if m.cached.Count > 0 {
		m.cached.P50 = time.Duration(all.ValueAtQuantile(50)) * unit
		m.cached.P95 = time.Duration(all.ValueAtQuantile(95)) * unit
	}
	m.until = now.Add(cacheFor)
	return m.cached
}
