package config

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"time"

	"chivepost/share/logsvc"
)

var (
	unreadableRecords = expvar.NewInt("config_unreadable_count")
	badCopies         = expvar.NewInt("config_bad_copies_count")
	badPages          = expvar.NewInt("config_bad_pages_count")
	badOffers         = expvar.NewInt("config_bad_offers_count")
	gaps              = expvar.NewInt("config_gaps_count")
	copies            = expvar.NewInt("config_copies_count")
)

// errInconsistentStream means that the log service returned a page that contradicts
// earlier pages, for example because the stream restarted from offset 1.
var errInconsistentStream = errors.New("config stream is inconsistent")

// readOnce reads one page and applies it.
func (c *Controller) readOnce() {
	c.mu.Lock()
	from, wait := c.tracker.lastRead+1, c.opts.ReadWait
	if !c.reads.synced || c.readHealth.IsFailing() {
		wait = 0 // The end of the stream is not known yet, or no longer known.
	}
	c.mu.Unlock()
	began := time.Now()
	ctx, cancel := context.WithTimeout(c.ctx, wait+c.opts.CallTimeout)
	page, err := c.log.Read(ctx, logsvc.StreamConfig, from, readLimit, wait)
	cancel()
	if c.ctx.Err() != nil {
		return
	}
	if err == nil {
		err = c.apply(page, began)
	}
	c.mu.Lock()
	c.readHealth.Record(c.logger, "read", err)
	c.mu.Unlock()
	if err != nil {
		c.pause(c.opts.RetryPause, nil)
	}
}

// apply passes the records of a page to the tracker. The read that returned the page
// started at began.
func (c *Controller) apply(page logsvc.Page, began time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.tracker
	if page.Next <= t.lastRead || page.First > page.Next || page.First < 1 {
		badPages.Add(1)
		return fmt.Errorf("%w: page has first offset %d and next offset %d, but offset %d was requested", errInconsistentStream, page.First, page.Next, t.lastRead+1)
	}
	if page.First > t.lastRead+1 {
		c.skipTo(page.First)
	}
	before := t.lastRead
	for _, raw := range page.Records {
		if raw.Offset <= t.lastRead {
			continue
		}
		if raw.Offset > t.lastRead+1 {
			c.skipTo(raw.Offset)
		}
		t.lastRead = raw.Offset
		c.applyRecord(raw)
		t.markDecided(raw.Offset)
	}
	switch t.lastRead {
	case page.Next - 1:
		c.reads.synced = true
		c.reads.lastSync = began
	case before:
		badPages.Add(1)
		return fmt.Errorf("%w: records %d to %d are missing from a page", errInconsistentStream, t.lastRead+1, page.Next-1)
	}
	c.updateCurrent()
	c.scheduleCopy(page.First)
	if !t.canDecide {
		signal(c.pullWake)
	}
	return nil
}

func (c *Controller) skipTo(first int64) {
	gaps.Add(1)
	c.tracker.skipTo(first)
	c.logger.Info("records skipped", "to", first, "settled", c.tracker.canDecide)
}

func (c *Controller) applyRecord(raw logsvc.Record) {
	r, err := decodeRecord(raw.Data)
	if err != nil {
		unreadableRecords.Add(1)
		return
	}
	if r.Kind == kindChange {
		c.tracker.applyChange(raw.Offset, r)
		return
	}
	if err := c.tracker.applyCopy(raw.Offset, r); err != nil {
		badCopies.Add(1)
		c.logger.Error(err, "copy ignored", "offset", raw.Offset)
	}
}

// LogAge returns the time since the start of the last read that reached the end of
// the stream, or NeverRead.
func (c *Controller) LogAge() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.logAge()
}

func (c *Controller) logAge() time.Duration {
	if !c.reads.synced {
		return NeverRead
	}
	return time.Since(c.reads.lastSync)
}
