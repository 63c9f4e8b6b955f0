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
	unreadableRecords = expvar.NewInt("claims_unreadable_count")
	gaps              = expvar.NewInt("claims_gaps_count")
	badPages          = expvar.NewInt("claims_bad_pages_count")
	unknownAppends    = expvar.NewInt("claims_unknown_appends_count")
	lateClaims        = expvar.NewInt("claims_late_count")
)

// errInconsistentStream means that the log service returned a page that contradicts
// earlier pages.
var errInconsistentStream = errors.New("claims stream is inconsistent")

// readOnce reads one page and applies it.
func (c *Controller) readOnce() {
	c.mu.Lock()
	c.reads.started++
	number, from := c.reads.started, c.index.next
	wait := c.opts.ReadWait
	if !c.reads.synced || c.readHealth.IsFailing() {
		wait = 0 // The end of the stream is not known yet, or no longer known.
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
	c.readHealth.Record(c.logger, "read", err)
	c.mu.Unlock()
	if err != nil {
		c.pause(c.opts.RetryPause)
	}
}

// apply adds the records of a page to the index and decides the claims that depend
// on them. The read with the given number returned the page and started at began.
func (c *Controller) apply(number uint64, page logsvc.Page, began time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	x, before := c.index, c.index.next
	if page.Next < x.next || page.First > page.Next || page.First < 1 {
		badPages.Add(1)
		return fmt.Errorf("%w: page has first offset %d and next offset %d, but offset %d was requested", errInconsistentStream, page.First, page.Next, x.next)
	}
	if page.First > x.next {
		c.skipTo(page.First)
	}
	if skip := page.Next - c.opts.MaxHistory; skip > x.next {
		c.skipTo(skip)
	}
	x.raiseFloor(page.First)
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
	x.raiseFloor(page.First)
	switch x.next {
	case page.Next:
		c.reads.synced = true
		c.reads.lastSync = began
		c.rejectBeyondEnd(number)
		c.requeueMissing(number)
	case before:
		badPages.Add(1)
		return fmt.Errorf("%w: records %d to %d are missing from a page", errInconsistentStream, x.next, page.Next-1)
	}
	c.queueReachedClaims()
	return nil
}

// skipTo continues reading at offset without the records before it. The index can
// no longer decide claims with positions below offset, so open ones expire.
func (c *Controller) skipTo(offset int64) {
	if c.reads.synced {
		gaps.Add(1)
		c.logger.Info("records skipped", "from", c.index.next, "to", offset)
	}
	c.index.next = offset
	c.index.raiseFloor(offset)
	for _, cl := range c.open {
		if cl.position < offset {
			c.decide(cl, Decision{Kind: Expired, Reason: "records expired before they were read"})
		}
	}
}

func (c *Controller) applyRecord(raw logsvc.Record) {
	r, err := decodeRecord(raw.Data)
	if err != nil {
		unreadableRecords.Add(1)
		return
	}
	own := strings.HasPrefix(r.Claim, c.prefix)
	switch r.Kind {
	case kindClaim:
		sc := c.index.addClaim(raw.Offset, r)
		if own {
			c.resolveOwnClaim(r, sc)
		}
	case kindDone, kindRelease:
		sc := c.index.applyOutcome(r)
		if own {
			invar.Check(sc == nil || !sc.done || !sc.released, "claim %s: both done and released", r.Claim)
			c.markWritten(queuedKey{r.Kind, r.Claim})
		}
	}
}

// resolveOwnClaim decides a claim of this process that has been read back; sc is nil
// unless the claim is the first. A claim that is no longer open was abandoned. It is
// released, since only this process could have made its call.
func (c *Controller) resolveOwnClaim(r record, sc *stageClaim) {
	cl := c.open[r.Claim]
	switch {
	case cl == nil && sc != nil:
		lateClaims.Add(1)
		sc.released = true
		c.enqueue(&queuedRecord{
			key:     queuedKey{kindRelease, r.Claim},
			data:    encodeRecord(record{Kind: kindRelease, Account: r.Account, ID: r.ID, Stage: r.Stage, Claim: r.Claim}),
			written: make(chan struct{}),
		})
	case cl != nil && sc != nil:
		d := Decision{Kind: Granted, Ticket: &Ticket{c: c, cl: cl}, Host: r.Host, Offset: sc.offset}
		c.decide(cl, d)
	case cl != nil:
		d, ok := c.index.lookup(cl.key, cl.stage, cl.hash, cl.position)
		if !ok { // The offset of the claim is below its position.
			d = Decision{Kind: Expired, Reason: "the claim was recorded at an offset below its position"}
		}
		c.decide(cl, d)
	}
}
