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
	unreadable = expvar.NewInt("config_unreadable_count")
	badCopies  = expvar.NewInt("config_bad_copies_count")
	badPages   = expvar.NewInt("config_bad_pages_count")
	badOffers  = expvar.NewInt("config_bad_offers_count")
	gaps       = expvar.NewInt("config_gaps_count")
	copies     = expvar.NewInt("config_copies_count")
)

// errStream means that the log service gave a page that contradicts earlier ones,
// such as a stream that starts again from 1.
var errStream = errors.New("config stream is inconsistent")

// readOnce reads one page and applies it.
func (c *Controller) readOnce() {
	c.mu.Lock()
	from, wait := c.track.read+1, c.opts.ReadWait
	if !c.reads.synced || c.reading.IsFailing() {
		wait = 0 // The end of the stream is not known yet, or not any more.
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
	c.reading.Note(c.logger, "read", err)
	c.mu.Unlock()
	if err != nil {
		c.pause(c.opts.RetryPause, nil)
	}
}

// apply takes a page into the track.
func (c *Controller) apply(page logsvc.Page, began time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.track
	if page.Next <= t.read || page.First > page.Next || page.First < 1 {
		badPages.Add(1)
		return fmt.Errorf("%w: first %d, next %d, but %d was to be read", errStream, page.First, page.Next, t.read+1)
	}
	if page.First > t.read+1 {
		c.skipTo(page.First)
	}
	before := t.read
	for _, raw := range page.Records {
		if raw.Offset <= t.read {
			continue
		}
		if raw.Offset > t.read+1 {
			c.skipTo(raw.Offset)
		}
		t.read = raw.Offset
		c.applyRecord(raw)
		t.passed(raw.Offset)
	}
	switch t.read {
	case page.Next - 1:
		c.reads.synced = true
		c.reads.last = began
	case before:
		badPages.Add(1)
		return fmt.Errorf("%w: the records from %d to %d are missing from a page", errStream, t.read+1, page.Next-1)
	}
	c.publishState()
	c.scheduleCopy(page.First)
	if !t.settled {
		signal(c.pullWake)
	}
	return nil
}

func (c *Controller) skipTo(first int64) {
	gaps.Add(1)
	c.track.skipTo(first)
	c.logger.Info("records skipped", "to", first, "settled", c.track.settled)
}

func (c *Controller) applyRecord(raw logsvc.Record) {
	r, err := decodeRecord(raw.Data)
	if err != nil {
		unreadable.Add(1)
		return
	}
	if r.Kind == kindChange {
		c.track.change(raw.Offset, r)
		return
	}
	if err := c.track.copied(raw.Offset, r); err != nil {
		badCopies.Add(1)
		c.logger.Error(err, "copy ignored", "offset", raw.Offset)
	}
}

// LogAge returns the time since the start of the last read that reached the end of
// the stream, or NoContact.
func (c *Controller) LogAge() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.logAge()
}

func (c *Controller) logAge() time.Duration {
	if !c.reads.synced {
		return NeverRead
	}
	return time.Since(c.reads.last)
}
