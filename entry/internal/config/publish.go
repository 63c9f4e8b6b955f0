package config

import (
	"context"
	"errors"
	"time"

	"github.com/samber/oops"

	"chivepost/share/bundle"
	"chivepost/share/logsvc"
)

// PublishKind says what became of a change.
type PublishKind string

// The outcomes of Publish.
const (
	// Accepted means that the change is in force as PublishResult.Version.
	Accepted PublishKind = "accepted"
	// Lost means that another change was first; Version and Author are its own.
	Lost PublishKind = "lost"
	// LogDown means that the change was not written.
	LogDown PublishKind = "log_down"
	// Unknown means that the change may have been written and may yet be accepted.
	Unknown PublishKind = "unknown"
	// Rejected means that the configuration or the call is not valid.
	Rejected PublishKind = "rejected"
)

// PublishResult is the outcome of Publish. Err explains every kind but Accepted and Lost.
type PublishResult struct {
	Kind    PublishKind
	Version int64
	Author  string
	Err     error
}

// maxOutcomes is how many outcomes are kept for publishers that ask again.
const maxOutcomes = 256

// outcomes are the latest judged changes by publish id.
type outcomes struct {
	results map[string]PublishResult
	order   []string
}

// add keeps a result. An accepted one is final.
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

// Publish writes doc as a change of version base and waits until this node has read
// and judged it, or ctx ends. The publish id names the change: a second call with
// the id of an accepted change returns the first result.
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
		return PublishResult{Kind: Rejected, Err: oops.In("config").Errorf("want a publish id and a base of 0 or more")}
	}
	wait, early := c.expect(base, publishID)
	if wait == nil {
		return early
	}
	defer c.forget(publishID, wait)
	r := record{Kind: kindChange, Author: author, Base: base, PublishID: publishID, Bundle: data}
	if err := c.appendPatiently(ctx, r); err != nil && !errors.Is(err, logsvc.ErrUnknown) {
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

// expect returns a channel for the outcome, or nil and an outcome known already.
func (c *Controller) expect(base int64, publishID string) (chan PublishResult, PublishResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r, ok := c.outcomes.results[publishID]; ok && r.Kind == Accepted {
		return nil, r
	}
	if c.ctx.Err() != nil || !c.track.settled || !c.reads.synced {
		err := oops.In("config").Errorf("this host has not read the configuration log to its end")
		return nil, PublishResult{Kind: LogDown, Err: err}
	}
	if f := c.track.force; base < f.version {
		return nil, PublishResult{Kind: Lost, Version: f.version, Author: f.author}
	}
	wait := make(chan PublishResult, 1)
	c.waiters[publishID] = append(c.waiters[publishID], wait)
	return wait, PublishResult{}
}

func (c *Controller) forget(publishID string, wait chan PublishResult) {
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

// judged passes the outcome of a change to those who wait for it. The mutex is held.
func (c *Controller) judged(r record, accepted bool, offset int64) {
	f := c.track.force
	result := PublishResult{Kind: Lost, Version: f.version, Author: f.author}
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

// appendPatiently tries again for up to Options.ConfigMax while the log service takes
// nothing, since it also answers so above its append rate.
func (c *Controller) appendPatiently(ctx context.Context, r record) error {
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
