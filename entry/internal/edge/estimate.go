package edge

import (
	"sync"
	"time"
)

const (
	// estimateWeight is the weight of a new measurement in the moving averages.
	estimateWeight = 0.1
	// estimateDeviations is the number of mean deviations added to the mean, so that about
	// nine in ten requests need less than the estimate.
	estimateDeviations = 1.5
	// maxEstimatedRoutes bounds the routes with an estimate of their own.
	maxEstimatedRoutes = 4096
)

// meanDeviation holds moving averages of a duration and of its deviation from the mean.
type meanDeviation struct {
	mean, deviation time.Duration
}

// afterStages estimates, for each route, the time from the end of the stages to the first
// byte of the answer.
type afterStages struct {
	mu      sync.Mutex
	byRoute map[string]*meanDeviation
}

// estimate returns the time that a request of the route needs after its stages.
func (a *afterStages) estimate(route string) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	m := a.byRoute[route]
	if m == nil {
		return minAfterStages
	}
	return m.mean + time.Duration(estimateDeviations*float64(m.deviation))
}

// record adds a measurement of that time. Routes beyond maxEstimatedRoutes are ignored.
func (a *afterStages) record(route string, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	m := a.byRoute[route]
	if m == nil {
		if len(a.byRoute) >= maxEstimatedRoutes {
			return
		}
		a.byRoute[route] = &meanDeviation{mean: took, deviation: took / 4}
		return
	}
	diff := took - m.mean
	m.mean += time.Duration(estimateWeight * float64(diff))
	m.deviation += time.Duration(estimateWeight * float64(max(diff, -diff)-m.deviation))
}
