package slots

import (
	"math"
	"slices"
	"time"

	"chivepost/share/bundle"
	"chivepost/share/target"
)

// phase is what the home believes of a target.
type phase int

const (
	// unknown: no load report has decided yet; as careful as cold.
	unknown phase = iota
	cold
	// opening: warm again, the limit still grows.
	opening
	warm
	leaving
)

func (p phase) state() target.State {
	switch p {
	case opening, warm:
		return target.StateWarm
	case leaving:
		return target.StateLeaving
	default:
		return target.StateCold
	}
}

const (
	// slowFactor: a mean latency above this multiple of the usual one is a sign of
	// overload. Latencies of healthy targets vary by less over half a second.
	slowFactor = 2
	// badShare: more failures than one in this many calls lower the limit.
	badShare = 10
	// decrease is the factor by which overload lowers the limit.
	decrease = 0.7
	// growth is the factor by which the limit of an opening target grows each second.
	growth = 1.5
	// step is the time between two changes of the limit. It is longer than a
	// renewal, so that the effect of a change is seen before the next.
	step = time.Second
	// pastBoots is how many earlier boot ids are remembered; a late answer of an
	// earlier boot is no sign of a new one.
	pastBoots = 4
)

// condition is what the home knows of a target's state and of the limit that
// follows. It is a plain state machine; closed results tell the caller to revoke.
type condition struct {
	pool  bundle.PoolDoc
	phase phase
	limit float64

	boot   string
	bootAt time.Time
	past   []string

	coldAt   time.Time // the last sign of cold
	warmFrom time.Time // start of the unbroken run of warm reports
	reported time.Time // the last report
	ownLimit int       // limits in the load report, 0: none
	ownCold  int

	stepAt    time.Time
	good, bad int     // calls since the last step
	slow      bool    // whether they were slow
	usual     float64 // usual latency, ms
}

func (c *condition) max() float64 { return float64(within(c.pool.Limit, c.ownLimit)) }

func (c *condition) coldMax() int { return within(c.pool.ColdLimit, c.ownCold) }

func within(configured, reported int) int {
	if reported > 0 && reported < configured {
		return reported
	}
	return configured
}

// inForce returns the limit on calls in flight.
func (c *condition) inForce() int {
	switch c.phase {
	case leaving:
		return 0
	case opening, warm:
		return int(min(max(c.limit, float64(c.coldMax())), c.max()))
	default:
		return c.coldMax()
	}
}

// sign takes in what a holder's answers showed. It reports whether the limit
// has closed, so that earlier grants must be revoked.
func (c *condition) sign(state target.State, boot string, now time.Time) bool {
	if boot != "" && boot != c.boot {
		if slices.Contains(c.past, boot) {
			return false
		}
		first := c.boot == ""
		c.setBoot(boot, now)
		if !first {
			return c.close(now)
		}
	}
	switch state {
	case target.StateCold:
		return c.close(now)
	case target.StateLeaving:
		return c.leave()
	default:
		return false
	}
}

// report takes in a load report. A report taken before the last sign says
// nothing new about it.
func (c *condition) report(load target.Load, now time.Time) bool {
	taken := now.Add(-load.AsOf.Std())
	if load.Boot != c.boot && c.boot != "" && taken.Before(c.bootAt) {
		return false
	}
	c.reported = now
	c.ownLimit, c.ownCold = load.Limit, load.ColdLimit
	closed := false
	if load.Boot != c.boot {
		first := c.boot == ""
		c.setBoot(load.Boot, now)
		if !first {
			closed = c.close(now)
			c.coldAt = taken
		}
	}
	switch load.State {
	case target.StateCold:
		return c.close(now) || closed
	case target.StateLeaving:
		return c.leave() || closed
	default:
		c.reportWarm(load.AsOf.Std(), taken, now)
		return closed
	}
}

// reportWarm ends the cold state once warm reports of the boot have come in for
// longer than their lag. A target seen to be cold opens step by step; one whose
// first reports say warm is warm.
func (c *condition) reportWarm(lag time.Duration, taken, now time.Time) {
	if taken.Before(c.coldAt) {
		return
	}
	if c.warmFrom.IsZero() {
		c.warmFrom = now
	}
	if now.Sub(c.warmFrom) < lag {
		return
	}
	switch c.phase {
	case unknown:
		c.phase, c.limit = warm, c.max()
	case cold:
		c.phase, c.limit = opening, float64(c.coldMax())
	default:
		return
	}
	c.window(now)
}

func (c *condition) setBoot(boot string, now time.Time) {
	if c.boot != "" {
		c.past = append(c.past, c.boot)
		if len(c.past) > pastBoots {
			c.past = c.past[1:]
		}
	}
	c.past = slices.DeleteFunc(c.past, func(b string) bool { return b == boot })
	c.boot, c.bootAt = boot, now
	if c.phase == leaving {
		// A new boot has taken the place of the one that was leaving.
		c.phase = unknown
	}
}

// close lowers the limit to the cold limit at once.
func (c *condition) close(now time.Time) bool {
	c.coldAt, c.warmFrom = now, time.Time{}
	was := c.phase
	if was == leaving {
		return false
	}
	c.phase = cold
	return was == warm || was == opening
}

func (c *condition) leave() bool {
	was := c.phase
	c.phase = leaving
	return was != leaving
}

// calls takes in a holder's sums of calls.
func (c *condition) calls(good, bad int, took int64, now time.Time) {
	c.good += good
	c.bad += bad
	if good > 0 {
		mean := float64(took) / float64(good)
		switch {
		case c.usual == 0:
			c.usual = mean
		case mean > slowFactor*c.usual && mean > 1:
			c.slow = true
			// The usual latency follows a lasting change slowly.
			c.usual += (mean - c.usual) / 64
		default:
			c.usual += (mean - c.usual) / 16
		}
	}
	c.adapt(now)
}

// adapt changes the limit at most once per step: multiplicative decrease on
// failures and latency, additive increase while calls succeed, and half as much
// again while opening.
func (c *condition) adapt(now time.Time) {
	if c.phase != warm && c.phase != opening || now.Sub(c.stepAt) < step {
		return
	}
	total := c.good + c.bad
	overload := c.slow || c.bad*badShare > total
	switch {
	case total == 0:
	case overload:
		c.limit = max(c.limit*decrease, float64(c.coldMax()))
	case c.phase == opening:
		if c.bad == 0 {
			c.limit = min(math.Ceil(c.limit*growth), c.max())
		}
		if c.limit >= c.max() {
			c.phase = warm
		}
	default:
		c.limit = min(c.limit+1, c.max())
	}
	c.window(now)
}

func (c *condition) window(now time.Time) {
	c.stepAt, c.good, c.bad, c.slow = now, 0, 0, false
}

// expire treats a target without load reports as cold.
func (c *condition) expire(now time.Time, stale time.Duration) bool {
	if c.reported.IsZero() || now.Sub(c.reported) <= stale {
		return false
	}
	return c.close(now)
}
