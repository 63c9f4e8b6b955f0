package config

import (
	"time"
)

// Each host schedules the next copy with a random delay. The host whose delay ends
// first writes the copy, and the others reschedule when they read it.
const (
	copyIntervalDivisor = 3  // A copy is due Retention/copyIntervalDivisor after the previous one.
	jitterDivisor       = 12 // The random delay is at most Retention/jitterDivisor.
)

// copySchedule is when the next copy is due. A zero time means never.
type copySchedule struct {
	due time.Time
	// after is the as_of of the copy after which due was set, 0 for none.
	after int64
	// expedited is set if due was moved forward because that copy is about to expire.
	expedited bool
}

func (c *Controller) jitter() time.Duration {
	return time.Duration(c.random.Int64N(int64(c.opts.Retention/jitterDivisor) + 1))
}

// scheduleCopy sets when the next copy is due after each copy read. Changes don't move
// it: a new reader can't decide a change without the version before it, so it needs a
// copy however many changes are kept. If the last copy is about to become unusable, for
// example after a restart of all hosts, the next one is due after the random delay
// alone. The log keeps the records from offset first. c.mu must be held.
func (c *Controller) scheduleCopy(first int64) {
	t, s := c.tracker, &c.schedule
	if t.inForce.version == 0 {
		return
	}
	if s.due.IsZero() || s.after != t.copyAsOf {
		*s = copySchedule{due: time.Now().Add(c.opts.Retention/copyIntervalDivisor + c.jitter()), after: t.copyAsOf}
		signal(c.copyWake)
	}
	if first > 1 && t.copyAsOf < first && !s.expedited {
		s.expedited = true
		s.due = time.Now().Add(c.jitter())
		signal(c.copyWake)
	}
}

// copyOnce waits until a copy is due and writes it.
func (c *Controller) copyOnce() {
	c.mu.Lock()
	due := c.schedule.due
	c.mu.Unlock()
	if due.IsZero() {
		c.pause(c.opts.Retention, c.copyWake)
		return
	}
	if wait := time.Until(due); wait > 0 {
		c.pause(wait, c.copyWake)
		return
	}
	r, ok := c.nextCopy()
	if !ok {
		return
	}
	if err := c.appendRecord(c.ctx, r); err != nil {
		c.logger.Info("copy not written", "version", r.Copied, "error", err.Error())
		return
	}
	copies.Add(1)
}

// nextCopy returns the copy to write, or false if this host is not up to date with the
// log. Either way it schedules the next attempt with a new random delay, so that after
// an outage the hosts don't all write at the same time.
func (c *Controller) nextCopy() (record, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.tracker
	c.schedule.due = time.Now().Add(c.opts.RetryPause + c.jitter())
	if !t.canDecide || t.decidedVersion != t.inForce.version || c.logAge() > c.opts.MaxAge {
		return record{}, false
	}
	cv := t.inForce
	return record{Kind: kindCopy, Author: cv.author, Copied: cv.version, AsOf: t.decidedThrough, Bundle: cv.data}, true
}
