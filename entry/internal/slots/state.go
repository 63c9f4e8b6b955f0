package slots

import (
	"math"
	"slices"
	"time"

	"chivepost/share/bundle"
	"chivepost/share/target"
)

// phase is the state of a target as the home sees it.
type phase int

const (
	// unknown: load reports haven't shown the state yet; limited like cold.
	unknown phase = iota
	cold
	// ramping: warm again after cold, with a limit that still grows.
	ramping
	warm
	leaving
)

// state returns the state that is reported to other hosts.
func (p phase) state() target.State {
	switch p {
	case ramping, warm:
		return target.StateWarm
	case leaving:
		return target.StateLeaving
	default:
		return target.StateCold
	}
}

const (
	// slowFactor is the multiple of the usual latency above which a mean latency
	// counts as overload. Means of healthy targets vary by less over half a second.
	slowFactor = 2
	// callsPerFailure sets the failure rate above which the limit is lowered: more
	// than one failure in this many calls.
	callsPerFailure = 10
	// decreaseFactor is the factor by which overload lowers the limit.
	decreaseFactor = 0.7
	// growthFactor is the factor by which the limit of a ramping target grows each
	// second.
	growthFactor = 1.5
	// adjustInterval is the time between two changes of the limit. It is longer than
	// a renewal, so that the effect of a change is seen before the next.
	adjustInterval = time.Second
	// maxPastBoots is the number of earlier boot IDs remembered, so that a late
	// answer of an earlier boot isn't mistaken for one of a new boot.
	maxPastBoots = 4
)

// condition derives a target's state and its limit on calls in flight from
// answers and load reports. Methods that return a bool return true when the limit
// dropped to the cold limit or zero; the caller must then revoke earlier grants.
type condition struct {
	pool  bundle.PoolDoc
	phase phase
	limit float64

	boot      string
	bootAt    time.Time
	pastBoots []string

	lastCold          time.Time // when the target last showed that it is cold
	warmSince         time.Time // first warm report since then; zero: none yet
	reportedAt        time.Time // of the last load report
	reportedLimit     int       // from the last load report, 0: none
	reportedColdLimit int       // from the last load report, 0: none

	windowStart       time.Time
	succeeded, failed int     // calls since windowStart
	slow              bool    // whether a mean latency since then was above slowFactor
	usualLatencyMs    float64 // moving average of the mean latencies
}

func (c *condition) maxLimit() float64 { return float64(capLimit(c.pool.Limit, c.reportedLimit)) }

func (c *condition) coldLimit() int { return capLimit(c.pool.ColdLimit, c.reportedColdLimit) }

// capLimit returns the configured limit, or the reported one if that is lower.
func capLimit(configured, reported int) int {
	if reported > 0 && reported < configured {
		return reported
	}
	return configured
}

// currentLimit returns the limit on calls in flight.
func (c *condition) currentLimit() int {
	switch c.phase {
	case leaving:
		return 0
	case ramping, warm:
		return int(min(max(c.limit, float64(c.coldLimit())), c.maxLimit()))
	default:
		return c.coldLimit()
	}
}

// observe records the state and boot ID that a holder has seen in answers.
func (c *condition) observe(state target.State, boot string, now time.Time) bool {
	if boot != "" && boot != c.boot {
		if slices.Contains(c.pastBoots, boot) {
			return false
		}
		first := c.boot == ""
		c.setBoot(boot, now)
		if !first {
			return c.lowerToCold(now)
		}
	}
	switch state {
	case target.StateCold:
		return c.lowerToCold(now)
	case target.StateLeaving:
		return c.markLeaving()
	default:
		return false
	}
}

// handleReport records a load report. A report with another boot ID is ignored if
// it was taken before the present boot was first seen.
func (c *condition) handleReport(load target.LoadReport, now time.Time) bool {
	taken := now.Add(-load.Age.Std())
	if load.Boot != c.boot && c.boot != "" && taken.Before(c.bootAt) {
		return false
	}
	c.reportedAt = now
	c.reportedLimit, c.reportedColdLimit = load.Limit, load.ColdLimit
	lowered := false
	if load.Boot != c.boot {
		first := c.boot == ""
		c.setBoot(load.Boot, now)
		if !first {
			lowered = c.lowerToCold(now)
			c.lastCold = taken
		}
	}
	switch load.State {
	case target.StateCold:
		return c.lowerToCold(now) || lowered
	case target.StateLeaving:
		return c.markLeaving() || lowered
	default:
		c.handleWarmReport(load.Age.Std(), taken, now)
		return lowered
	}
}

// handleWarmReport ends the cold state once warm reports have arrived for longer
// than their lag. A report taken before the target last showed that it is cold says
// nothing new and is ignored. The limit of a target that was seen cold then grows
// step by step; one whose first reports say warm gets its full limit at once.
func (c *condition) handleWarmReport(lag time.Duration, taken, now time.Time) {
	if taken.Before(c.lastCold) {
		return
	}
	if c.warmSince.IsZero() {
		c.warmSince = now
	}
	if now.Sub(c.warmSince) < lag {
		return
	}
	switch c.phase {
	case unknown:
		c.phase, c.limit = warm, c.maxLimit()
	case cold:
		c.phase, c.limit = ramping, float64(c.coldLimit())
	default:
		return
	}
	c.startWindow(now)
}

func (c *condition) setBoot(boot string, now time.Time) {
	if c.boot != "" {
		c.pastBoots = append(c.pastBoots, c.boot)
		if len(c.pastBoots) > maxPastBoots {
			c.pastBoots = c.pastBoots[1:]
		}
	}
	c.pastBoots = slices.DeleteFunc(c.pastBoots, func(b string) bool { return b == boot })
	c.boot, c.bootAt = boot, now
	if c.phase == leaving {
		// The boot that was leaving has been replaced by a new one.
		c.phase = unknown
	}
}

// lowerToCold lowers the limit to the cold limit at once.
func (c *condition) lowerToCold(now time.Time) bool {
	c.lastCold, c.warmSince = now, time.Time{}
	previous := c.phase
	if previous == leaving {
		return false
	}
	c.phase = cold
	return previous == warm || previous == ramping
}

// markLeaving sets the limit to zero.
func (c *condition) markLeaving() bool {
	previous := c.phase
	c.phase = leaving
	return previous != leaving
}

// recordCalls adds the sums of calls that a holder has reported.
func (c *condition) recordCalls(succeeded, failed int, latencySumMs int64, now time.Time) {
	c.succeeded += succeeded
	c.failed += failed
	if succeeded > 0 {
		mean := float64(latencySumMs) / float64(succeeded)
		switch {
		case c.usualLatencyMs == 0:
			c.usualLatencyMs = mean
		case mean > slowFactor*c.usualLatencyMs && mean > 1:
			c.slow = true
			// Follow a lasting change slowly, so that a short one stays visible.
			c.usualLatencyMs += (mean - c.usualLatencyMs) / 64
		default:
			c.usualLatencyMs += (mean - c.usualLatencyMs) / 16
		}
	}
	c.adjustLimit(now)
}

// adjustLimit changes the limit at most once per adjustInterval: multiplicative
// decrease on failures and high latency, additive increase while calls succeed,
// and growth by growthFactor while ramping.
func (c *condition) adjustLimit(now time.Time) {
	if c.phase != warm && c.phase != ramping || now.Sub(c.windowStart) < adjustInterval {
		return
	}
	total := c.succeeded + c.failed
	overload := c.slow || c.failed*callsPerFailure > total
	switch {
	case total == 0:
	case overload:
		c.limit = max(c.limit*decreaseFactor, float64(c.coldLimit()))
	case c.phase == ramping:
		if c.failed == 0 {
			c.limit = min(math.Ceil(c.limit*growthFactor), c.maxLimit())
		}
		if c.limit >= c.maxLimit() {
			c.phase = warm
		}
	default:
		c.limit = min(c.limit+1, c.maxLimit())
	}
	c.startWindow(now)
}

// startWindow resets the sums of calls.
func (c *condition) startWindow(now time.Time) {
	c.windowStart, c.succeeded, c.failed, c.slow = now, 0, 0, false
}

// expireReport treats a target as cold when its last load report is too old.
func (c *condition) expireReport(now time.Time, stale time.Duration) bool {
	if c.reportedAt.IsZero() || now.Sub(c.reportedAt) <= stale {
		return false
	}
	return c.lowerToCold(now)
}
