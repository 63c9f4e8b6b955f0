package claims

import (
	"context"
	"errors"
	"time"

	"chivepost/share/logsvc"
)

// itemKey names a record that this process writes.
type itemKey struct {
	kind  recordKind
	claim string
}

// item is one record on its way to the stream.
type item struct {
	key  itemKey
	data []byte
	// claim is set for claim records, which are not written once they are decided.
	claim *claim
	// written is closed when the record is known to be in the stream; nil for claims.
	written chan struct{}
	// unknownAt is the number of reads begun when an append of the record ended with
	// unknown outcome, 0 otherwise.
	unknownAt uint64
}

func (it *item) wanted() bool { return it.claim == nil || it.claim.state == stateWaiting }

// enqueue adds a record to the next append.
func (c *Controller) enqueue(it *item) {
	if it.claim == nil {
		c.pending[it.key] = it
	}
	c.queue = append(c.queue, it)
	c.signal()
}

func (c *Controller) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// appendOnce waits for records, writes one batch and keeps MinGap to the next.
func (c *Controller) appendOnce() {
	select {
	case <-c.wake:
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
	for i, it := range batch {
		data[i] = it.data
	}
	_, err := c.log.Append(ctx, logsvc.StreamClaims, data)
	cancel()
	c.settleBatch(batch, err)
	if errors.Is(err, logsvc.ErrUnavailable) {
		c.pause(c.opts.RetryPause)
	}
	c.pause(c.opts.MinAppendInterval - time.Since(began))
}

func (c *Controller) takeBatch() []*item {
	c.mu.Lock()
	defer c.mu.Unlock()
	var batch []*item
	for len(c.queue) > 0 && len(batch) < c.opts.MaxBatch {
		if it := c.queue[0]; it.wanted() {
			batch = append(batch, it)
		}
		c.queue = c.queue[1:]
	}
	if len(c.queue) > 0 {
		c.signal()
	}
	return batch
}

// settleBatch acts on the answer to an append. Without effect, the records are
// queued again. With unknown outcome, claims wait to be read back and are never
// written again; done and release records are written again only after a later read
// to the end of the stream has not shown them (see requeueMissing).
func (c *Controller) settleBatch(batch []*item, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing.Note(c.logger, "append", err)
	switch {
	case err == nil:
		for _, it := range batch {
			c.markWritten(it.key)
		}
	case errors.Is(err, logsvc.ErrUnavailable):
		c.queue = append(batch, c.queue...)
		c.signal()
	default:
		unknownAppends.Add(1)
		for _, it := range batch {
			it.unknownAt = c.reads.started + 1
		}
	}
}

// markWritten wakes the caller that waits for a done or release record.
func (c *Controller) markWritten(key itemKey) {
	if it := c.pending[key]; it != nil {
		close(it.written)
		delete(c.pending, key)
	}
}

// requeueMissing queues the done and release records of unknown outcome that a read
// to the end, begun after the append ended, has not shown. Writing one twice is
// harmless.
func (c *Controller) requeueMissing(read uint64) {
	for _, it := range c.pending {
		if it.unknownAt != 0 && read >= it.unknownAt {
			it.unknownAt = 0
			c.queue = append(c.queue, it)
			c.signal()
		}
	}
}
