package drain

import "time"

const (
	// holdFactor is the number of TTLs of the directory for which callers may still use a
	// host that is leaving.
	holdFactor = 3
	// maxHoldRatio limits the hold to a part of the grace period.
	maxHoldRatio = 0.55
	// Each margin is at most a share of the grace period, so that the order of the moments is
	// the same with any grace period.
	maxEndMargin     = 500 * time.Millisecond
	endMarginRatio   = 1.0 / 16
	maxAbortMargin   = 250 * time.Millisecond
	abortMarginRatio = 1.0 / 32
)

// Plan holds the moments of a shutdown within a grace period, in order. After the grace
// period the process is killed.
type Plan struct {
	// Start is when the shutdown began.
	Start time.Time
	// Unlisted is when the lists of hosts that callers hold have expired. Some callers keep
	// them longer.
	Unlisted time.Time
	// Closing is when the host stops to accept connections and requests.
	Closing time.Time
	// Abort is when the host ends the requests that are still in progress.
	Abort time.Time
	// End is when the process ends at the latest.
	End time.Time
}

// NewPlan returns the plan of a shutdown that began at start. ttl is how long callers may
// keep a list of hosts.
func NewPlan(start time.Time, grace, ttl time.Duration) Plan {
	hold := min(holdFactor*ttl, ratio(maxHoldRatio, grace))
	end := End(start, grace)
	return Plan{
		Start: start, Unlisted: start.Add(min(ttl, hold)), Closing: start.Add(hold),
		Abort: end.Add(-min(maxAbortMargin, ratio(abortMarginRatio, grace))), End: end,
	}
}

// End returns when a process ends at the latest whose shutdown began at start, so that it isn't
// killed after the grace period.
func End(start time.Time, grace time.Duration) time.Time {
	return start.Add(grace - min(maxEndMargin, ratio(endMarginRatio, grace)))
}

// newPlanUntil returns the plan of a shutdown that has to end at a moment. hold is how long
// callers may use the host.
func newPlanUntil(start, end time.Time, hold time.Duration) Plan {
	left := end.Sub(start)
	closing := start.Add(min(hold, ratio(maxHoldRatio, left)))
	return Plan{Start: start, Unlisted: closing, Closing: closing, Abort: end.Add(-min(maxAbortMargin, ratio(abortMarginRatio, left))), End: end}
}

func ratio(r float64, d time.Duration) time.Duration { return time.Duration(r * float64(d)) }
