package edge

import (
	"sync"
	"time"

	"chivepost/share/fleet"
)

const (
	// estimateWeight is the weight of a new measurement in the moving averages.
	estimateWeight = 0.1
	// estimateDeviations is the number of mean deviations added to the mean for a time that
	// about nine in ten requests keep.
	estimateDeviations = 1.5
	// maxEstimatedRoutes bounds the routes with an estimate of their own.
	maxEstimatedRoutes = 4096
)

// lastFirstByte returns when the caller gives up if no byte of the response has arrived. A
// request that can't be answered by then is refused instead of held. A caller that has got a
// part of a stream waits for the rest until the deadline.
func (c *call) lastFirstByte() time.Time {
	if c.headWritten || c.route.Retry != fleet.RetryStream || c.route.LatencyObjective <= 0 {
		return c.deadline
	}
	patience := max(minStreamPatience, streamPatienceObjective*c.route.LatencyObjective, streamPatienceGaps*c.route.MaxGap)
	if limit := c.start.Add(patience); limit.Before(c.deadline) {
		return limit
	}
	return c.deadline
}

// meanDeviation holds moving averages of a duration and of its deviation from the mean.
type meanDeviation struct {
	mean, deviation time.Duration
}

// routeTimes estimates, for each route, how long a part of a request takes.
type routeTimes struct {
	mu      sync.Mutex
	byRoute map[string]*meanDeviation
}

// estimate returns a time that about nine in ten requests of the route keep, or
// minAfterStages without a measurement.
func (r *routeTimes) estimate(route string) time.Duration {
	if t, ok := r.atDeviations(route, estimateDeviations); ok {
		return t
	}
	return minAfterStages
}

// atDeviations returns the mean of a route plus n mean deviations. It returns false if
// there is no measurement.
func (r *routeTimes) atDeviations(route string, n float64) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.byRoute[route]
	if m == nil {
		return 0, false
	}
	return m.mean + time.Duration(n*float64(m.deviation)), true
}

// record adds a measurement. Routes beyond maxEstimatedRoutes are ignored.
func (r *routeTimes) record(route string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.byRoute[route]
	if m == nil {
		if len(r.byRoute) >= maxEstimatedRoutes {
			return
		}
		if r.byRoute == nil {
			r.byRoute = map[string]*meanDeviation{}
		}
		r.byRoute[route] = &meanDeviation{mean: took, deviation: took / 4}
		return
	}
	diff := took - m.mean
	m.mean += time.Duration(estimateWeight * float64(diff))
	m.deviation += time.Duration(estimateWeight * float64(max(diff, -diff)-m.deviation))
}
