package config

import (
	"context"
	"errors"
	"time"

	"github.com/samber/oops"

	"chivepost/share/bundle"
	"chivepost/share/logsvc"
)

// PublishKind is the outcome of a published change.
type PublishKind string

// The outcomes of Publish.
const (
	// Accepted means that the change is in force as PublishResult.Version.
	Accepted PublishKind = "accepted"
	// Lost means that another change was accepted first; Version and Author are those
	// of the version in force.
	Lost PublishKind = "lost"
	// LogDown means that the change was not written.
	LogDown PublishKind = "log_down"
	// Unknown means that the change may have been written and may still be accepted.
	Unknown PublishKind = "unknown"
	// Rejected means that the configuration or an argument is invalid.
	Rejected PublishKind = "rejected"
)

// PublishResult is the outcome of Publish. Err is set for every kind except Accepted
// and Lost.
type PublishResult struct {
	Kind    PublishKind
	Version int64
	Author  string
	Err     error
}

// maxOutcomes is the number of outcomes kept for publishers that repeat a call.
const maxOutcomes = 256

// outcomes holds the outcomes of the latest decided changes by publish ID.
type outcomes struct {
	results map[string]PublishResult
	order   []string
}

// add stores the outcome of a change. An accepted outcome is never replaced.
func (o *outcomes) add(id string, r PublishResult) {
	old, ok := o.results[id]
	if ok && old.Kind == Accepted {
		return
	}
	o.results[id] = r
	if ok {
		return
	}
	o.order = append(o.order, id)
	if len(o.order) > maxOutcomes {
		delete(o.results, o.order[0])
		o.order = o.order[1:]
	}
}

// Publish writes doc as a change of version base and waits until this host has read
// and decided it, or ctx ends. The publish ID identifies the change: a second call
// with the ID of an accepted change returns the result of the first.
func (c *Controller) Publish(ctx context.Context, base int64, author, publishID string, doc bundle.Doc) PublishResult {
	b, err := bundle.New(doc)
	if err != nil {
		return PublishResult{Kind: Rejected, Err: err}
	}
	data, err := b.Encode()
	if err != nil {
		return PublishResult{Kind: Rejected, Err: err}
	}
	if publishID == "" || base < 0 {
		return PublishResult{Kind: Rejected, Err: oops.In("config").Errorf("publish id is missing or base is negative")}
	}
	wait, outcome := c.registerWaiter(base, publishID)
	if wait == nil {
		return outcome
	}
	defer c.removeWaiter(publishID, wait)
	r := record{Kind: kindChange, Author: author, Base: base, PublishID: publishID, Bundle: data}
	if err := c.appendWithRetry(ctx, r); err != nil && !errors.Is(err, logsvc.ErrUnknown) {
		return PublishResult{Kind: LogDown, Err: err}
	}
	select {
	case result := <-wait:
		return result
	case <-ctx.Done():
		return PublishResult{Kind: Unknown, Err: ctx.Err()}
	case <-c.ctx.Done():
		return PublishResult{Kind: Unknown, Err: c.ctx.Err()}
	}
}

// registerWaiter returns a channel that receives the outcome, or nil and the outcome if
// it is already known.
func (c *Controller) registerWaiter(base int64, publishID string) (chan PublishResult, PublishResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r, ok := c.outcomes.results[publishID]; ok && r.Kind == Accepted {
		return nil, r
	}
	if c.ctx.Err() != nil || !c.tracker.canDecide || !c.reads.synced {
		err := oops.In("config").Errorf("this host has not read the configuration log to its end")
		return nil, PublishResult{Kind: LogDown, Err: err}
	}
	if cv := c.tracker.inForce; base < cv.version {
		return nil, PublishResult{Kind: Lost, Version: cv.version, Author: cv.author}
	}
	wait := make(chan PublishResult, 1)
	c.waiters[publishID] = append(c.waiters[publishID], wait)
	return wait, PublishResult{}
}

func (c *Controller) removeWaiter(publishID string, wait chan PublishResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rest := c.waiters[publishID][:0]
	for _, w := range c.waiters[publishID] {
		if w != wait {
			rest = append(rest, w)
		}
	}
	c.waiters[publishID] = rest
	if len(rest) == 0 {
		delete(c.waiters, publishID)
	}
}

// reportOutcome stores the outcome of a change and passes it to the calls of Publish
// that wait for it. c.mu must be held.
func (c *Controller) reportOutcome(r record, accepted bool, offset int64) {
	cv := c.tracker.inForce
	result := PublishResult{Kind: Lost, Version: cv.version, Author: cv.author}
	if accepted {
		result = PublishResult{Kind: Accepted, Version: offset, Author: r.Author}
	}
	c.outcomes.add(r.PublishID, result)
	for _, w := range c.waiters[r.PublishID] {
		select {
		case w <- result:
		default:
		}
	}
}

// appendWithRetry repeats an append for up to Options.MaxAge while the log service is
// unavailable, since it also reports that when its append rate is exceeded.
func (c *Controller) appendWithRetry(ctx context.Context, r record) error {
	began := time.Now()
	for {
		err := c.appendRecord(ctx, r)
		if !errors.Is(err, logsvc.ErrUnavailable) {
			return err
		}
		c.pause(c.opts.RetryPause, ctx.Done())
		if ctx.Err() != nil || c.ctx.Err() != nil || time.Since(began) > c.opts.MaxAge {
			return err
		}
	}
}

func (c *Controller) appendRecord(ctx context.Context, r record) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	_, err := c.log.Append(ctx, logsvc.StreamConfig, [][]byte{encodeRecord(r)})
	switch {
	case err == nil, errors.Is(err, logsvc.ErrUnavailable):
		return err
	default:
		return errors.Join(logsvc.ErrUnknown, err)
	}
}
