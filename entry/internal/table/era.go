package table

import (
	"context"
	"expvar"
	"fmt"

	"chivepost/platform/feed"
)

var (
	storeRestores  = expvar.NewInt("store_restores_count")
	storeEra       = expvar.NewInt("store_era_number")
	discardedReads = expvar.NewInt("store_discarded_reads_count")
)

// readSet holds the reads of the store in progress, by number.
type readSet struct {
	cancels map[int]context.CancelFunc
	last    int
}

// beginRead makes the next restore of the store cancel a read: it may wait at an offset that
// the store has given out again. The caller must call the returned function after the read.
func (c *Controller) beginRead(cancel context.CancelFunc) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reads.cancels == nil {
		c.reads.cancels = map[int]context.CancelFunc{}
	}
	c.reads.last++
	n := c.reads.last
	c.reads.cancels[n] = cancel
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.reads.cancels, n)
	}
}

// restores returns how often this host has learnt that the store was restored.
func (c *Controller) restores() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.restarts
}

// Era returns the highest era of the store that this host knows, or 0. What a host has written
// in an earlier era may be gone.
func (c *Controller) Era() feed.Era {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Era()
}

// learnEra takes over the era that an answer of the store names. It returns an error if that is
// an earlier one than is known: the answer says nothing about the present.
func (c *Controller) learnEra(era feed.Era) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.learnEraLocked(era)
	if known := c.state.Era(); known.IsAfter(era) {
		return fmt.Errorf("the store's answer is of era %d, known is %d", era.Number(), known.Number())
	}
	return nil
}

// learnEraLocked takes over an era. c.mu must be held.
func (c *Controller) learnEraLocked(era feed.Era) {
	if c.state.LearnEra(era) {
		c.wakeAfterRestart()
	}
	if known := c.state.Era(); known != 0 {
		storeEra.Set(known.Number())
	}
}

// restart drops the offsets because the store doesn't have one of them any more, unless that
// was done since the given number of restores.
func (c *Controller) restart(restores int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state.restarts == restores {
		c.state.Restart()
		c.wakeAfterRestart()
	}
}

// wakeAfterRestart cancels the reads in progress and wakes the peers that follow this host.
// c.mu must be held.
func (c *Controller) wakeAfterRestart() {
	storeRestores.Add(1)
	for _, cancel := range c.reads.cancels {
		cancel()
	}
	close(c.changed)
	c.changed = make(chan struct{})
}
