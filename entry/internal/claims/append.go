package claims

import (
	"context"
	"errors"
	"time"

	"chivepost/share/logsvc"
)

// queuedKey identifies a record that this process writes.
type queuedKey struct {
	kind  recordKind
	claim string
}

// queuedRecord is a record to be appended to the stream.
type queuedRecord struct {
	key  queuedKey
	data []byte
	// claim is set for claim records only. They are not written once they are decided.
	claim *claim
	// written is closed when the record is known to be in the stream. It is nil for
	// claim records.
	written chan struct{}
	// firstReadAfter is the number of the first read that starts after an append of the
	// record ended with unknown outcome, or 0 if none did.
	firstReadAfter uint64
}

func (q *queuedRecord) isNeeded() bool { return q.claim == nil || q.claim.state == stateWaiting }

// enqueue queues a record for appending. c.mu must be held.
func (c *Controller) enqueue(q *queuedRecord) {
	if q.claim == nil {
		c.unconfirmed[q.key] = q
	}
	c.queue = append(c.queue, q)
	c.wakeAppender()
}

func (c *Controller) wakeAppender() {
	select {
	case c.appendWake <- struct{}{}:
	default:
	}
}

// appendOnce waits for queued records, appends one batch and then waits until
// MinAppendInterval has passed since the start of the append.
func (c *Controller) appendOnce() {
	select {
	case <-c.appendWake:
	case <-c.ctx.Done():
		return
	}
	batch := c.takeBatch()
	if len(batch) == 0 {
		return
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(c.ctx, c.opts.CallTimeout)
	data := make([][]byte, len(batch))
	for i, q := range batch {
		data[i] = q.data
	}
	_, err := c.log.Append(ctx, logsvc.StreamClaims, data)
	cancel()
	c.handleAppendResult(batch, err)
	if errors.Is(err, logsvc.ErrUnavailable) {
		c.pause(c.opts.RetryPause)
	}
	c.pause(c.opts.MinAppendInterval - time.Since(began))
}

func (c *Controller) takeBatch() []*queuedRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	var batch []*queuedRecord
	for len(c.queue) > 0 && len(batch) < c.opts.MaxBatch {
		if q := c.queue[0]; q.isNeeded() {
			batch = append(batch, q)
		}
		c.queue = c.queue[1:]
	}
	if len(c.queue) > 0 {
		c.wakeAppender()
	}
	return batch
}

// handleAppendResult handles the outcome of an append. If the append had no effect,
// all its records are queued again. If the outcome is unknown, claim records are
// never written again: they are decided when they are read back. Done and release
// records are written again only if a later read to the end of the stream does not
// find them (see requeueMissing).
func (c *Controller) handleAppendResult(batch []*queuedRecord, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.appendHealth.Record(c.logger, "append", err)
	switch {
	case err == nil:
		for _, q := range batch {
			c.markWritten(q.key)
		}
	case errors.Is(err, logsvc.ErrUnavailable):
		c.queue = append(batch, c.queue...)
		c.wakeAppender()
	default:
		unknownAppends.Add(1)
		for _, q := range batch {
			q.firstReadAfter = c.reads.started + 1
		}
	}
}

// markWritten unblocks the caller that waits for a done or release record to be
// written. c.mu must be held.
func (c *Controller) markWritten(key queuedKey) {
	if q := c.unconfirmed[key]; q != nil {
		close(q.written)
		delete(c.unconfirmed, key)
	}
}

// requeueMissing queues the done and release records whose append ended with unknown
// outcome and which the given read, started after that and complete to the end of the
// stream, did not find. Writing such a record twice is harmless. c.mu must be held.
func (c *Controller) requeueMissing(read uint64) {
	for _, q := range c.unconfirmed {
		if q.firstReadAfter != 0 && read >= q.firstReadAfter {
			q.firstReadAfter = 0
			c.queue = append(c.queue, q)
			c.wakeAppender()
		}
	}
}
