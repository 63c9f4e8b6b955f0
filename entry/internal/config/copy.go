package config

import (
	"time"
)

// Copies are written by whichever node's delay ends first; the others start over
// when they read it.
const (
	copyShare   = 3  // A copy is due at Retention/copyShare after the last one.
	spreadShare = 12 // Delays are spread over Retention/spreadShare.
)

// copyState says when the next copy is due. A zero time means never.
type copyState struct {
	due time.Time
	// after is the as_of of the copy for which due was set, 0 for none.
	after   int64
	hurried bool
}

func (c *Controller) spread() time.Duration {
	return time.Duration(c.random.Int64N(int64(c.opts.Retention/spreadShare) + 1))
}

// scheduleCopy sets when the next copy is due after each copy read. Changes do not
// move it: a fresh reader can't judge a change without the version before it, so it
// needs a copy however many changes are kept. If the last copy is about to lose its
// use, as after a restart of all nodes, the next one is due at once. The mutex is held.
func (c *Controller) scheduleCopy(first int64) {
	t, s := c.track, &c.copying
	if t.force.version == 0 {
		return
	}
	if s.due.IsZero() || s.after != t.copyAsOf {
		*s = copyState{due: time.Now().Add(c.opts.Retention/copyShare + c.spread()), after: t.copyAsOf}
		signal(c.copyWake)
	}
	if first > 1 && t.copyAsOf < first && !s.hurried {
		s.hurried = true
		s.due = time.Now().Add(c.spread())
		signal(c.copyWake)
	}
}

// copyOnce waits until a copy is due and writes it.
func (c *Controller) copyOnce() {
	c.mu.Lock()
	due := c.copying.due
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

// nextCopy returns the copy to write, unless the log can't be trusted now. Either
// way it sets the next attempt: the delay is drawn again, so that after an outage
// the nodes do not all write at the same moment.
func (c *Controller) nextCopy() (record, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.track
	c.copying.due = time.Now().Add(c.opts.RetryPause + c.spread())
	if !t.settled || t.judged != t.force.version || c.logAge() > c.opts.MaxAge {
		return record{}, false
	}
	f := t.force
	return record{Kind: kindCopy, Author: f.author, Copied: f.version, AsOf: t.judgedThrough, Bundle: f.data}, true
}
