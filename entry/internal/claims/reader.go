package claims

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"strings"
	"time"

	"chivepost/entry/internal/invar"
	"chivepost/share/logsvc"
)

var (
	unreadable     = expvar.NewInt("claims_unreadable_count")
	gaps           = expvar.NewInt("claims_gaps_count")
	badPages       = expvar.NewInt("claims_bad_pages_count")
	unknownAppends = expvar.NewInt("claims_unknown_appends_count")
	lateClaims     = expvar.NewInt("claims_late_count")
)

// errStream means that the log service gave a page that contradicts earlier ones.
var errStream = errors.New("claims stream is inconsistent")

// readOnce reads one page and applies it.
func (c *Controller) readOnce() {
	c.mu.Lock()
	c.reads.started++
	number, from := c.reads.started, c.index.next
	wait := c.opts.ReadWait
	if !c.reads.synced || c.reading.IsFailing() {
		wait = 0 // The end of the stream is not known yet, or not any more.
	}
	c.mu.Unlock()
	began := time.Now()
	ctx, cancel := context.WithTimeout(c.ctx, wait+c.opts.CallTimeout)
	page, err := c.log.Read(ctx, logsvc.StreamClaims, from, readLimit, wait)
	cancel()
	if c.ctx.Err() != nil {
		return
	}
	if err == nil {
		err = c.apply(number, page, began)
	}
	c.mu.Lock()
	c.reading.Note(c.logger, "read", err)
	c.mu.Unlock()
	if err != nil {
		c.pause(c.opts.RetryPause)
	}
}

// apply takes a page into the index and decides the claims that it settles.
func (c *Controller) apply(number uint64, page logsvc.Page, began time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	x, before := c.index, c.index.next
	if page.Next < x.next || page.First > page.Next || page.First < 1 {
		badPages.Add(1)
		return fmt.Errorf("%w: first %d, next %d, but %d was to be read", errStream, page.First, page.Next, x.next)
	}
	if page.First > x.next {
		c.skipTo(page.First)
	}
	if skip := page.Next - c.opts.MaxHistory; skip > x.next {
		c.skipTo(skip)
	}
	x.raise(page.First)
	for _, r := range page.Records {
		if r.Offset < x.next {
			continue
		}
		if r.Offset > x.next {
			c.skipTo(r.Offset)
		}
		x.next = r.Offset + 1
		c.applyRecord(r)
	}
	x.raise(page.First)
	switch x.next {
	case page.Next:
		c.reads.synced = true
		c.reads.last = began
		c.refuseAhead(number)
		c.requeueMissing(number)
	case before:
		badPages.Add(1)
		return fmt.Errorf("%w: the records from %d to %d are missing from a page", errStream, x.next, page.Next-1)
	}
	c.advanceParked()
	return nil
}

// skipTo continues reading at offset although the records before it were not seen.
// Requests with positions below it can't be judged any more.
func (c *Controller) skipTo(offset int64) {
	if c.reads.synced {
		gaps.Add(1)
		c.logger.Info("records skipped", "from", c.index.next, "to", offset)
	}
	c.index.next = offset
	c.index.raise(offset)
	for _, cl := range c.open {
		if cl.position < offset {
			c.decide(cl, Decision{Kind: Expired, Reason: "records expired before they were read"})
		}
	}
}

func (c *Controller) applyRecord(raw logsvc.Record) {
	r, err := decodeRecord(raw.Data)
	if err != nil {
		unreadable.Add(1)
		return
	}
	own := strings.HasPrefix(r.Claim, c.prefix)
	switch r.Kind {
	case kindClaim:
		e := c.index.add(raw.Offset, r)
		if own {
			c.settle(r, e)
		}
	case kindDone, kindRelease:
		e := c.index.finish(r)
		if own {
			invar.Check(e == nil || !e.done || !e.released, "claim %s: both done and released", r.Claim)
			c.markWritten(itemKey{r.Kind, r.Claim})
		}
	}
}

// settle decides an own claim that has been read back; e is nil unless it is the
// first. A claim that is not open was abandoned: it is released, since only this
// process could have acted on it.
func (c *Controller) settle(r record, e *entry) {
	cl := c.open[r.Claim]
	switch {
	case cl == nil && e != nil:
		lateClaims.Add(1)
		e.released = true
		c.enqueue(&item{
			key:     itemKey{kindRelease, r.Claim},
			data:    encodeRecord(record{Kind: kindRelease, Account: r.Account, ID: r.ID, Stage: r.Stage, Claim: r.Claim}),
			written: make(chan struct{}),
		})
	case cl != nil && e != nil:
		d := Decision{Kind: Granted, Ticket: &Ticket{c: c, cl: cl}, Host: r.Host, Offset: e.offset}
		c.decide(cl, d)
	case cl != nil:
		d, ok := c.index.lookup(cl.key, cl.stage, cl.hash, cl.position)
		if !ok { // The claim was read back below its own position.
			d = Decision{Kind: Expired, Reason: "the claim lies before its position"}
		}
		c.decide(cl, d)
	}
}
