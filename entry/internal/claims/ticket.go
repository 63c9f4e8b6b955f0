package claims

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"time"

	"github.com/samber/oops"

	"chivepost/entry/internal/invar"
)

// Errors of tickets. After an error of Confirm nothing may be sent.
var (
	ErrClosed       = errors.New("controller is closed")
	ErrReleased     = errors.New("ticket was released")
	ErrDeadline     = errors.New("deadline has passed")
	ErrExpired      = errors.New("claim is older than the records kept")
	ErrInvalidState = errors.New("ticket is in the wrong state")
	ErrWritePending = errors.New("record not yet known to be written")
)

// Ticket is the right to make one call.
type Ticket struct {
	c  *Controller
	cl *claim
}

// ClaimID returns the id of the claim in the stream.
func (t *Ticket) ClaimID() string { return t.cl.id }

// Confirm is called immediately before the send and marks the ticket as sent. It
// fails after the deadline of the context given to Acquire, so that a process that
// was paused sends nothing late. To confirm a ticket twice is a broken invariant.
func (t *Ticket) Confirm() error {
	c, cl := t.c, t.cl
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return ErrClosed
	case cl.state == stateReleased:
		return ErrReleased
	}
	invar.Check(cl.state == stateGranted, "claim %s: confirmed in state %d: sent twice or never granted", cl.id, cl.state)
	if !cl.deadline.IsZero() && !time.Now().Before(cl.deadline) {
		return ErrDeadline
	}
	e := c.index.find(cl.key, cl.stage)
	if e == nil {
		return ErrExpired
	}
	invar.Check(e.claim == cl.id, "claim %s: the first claim is now %s", cl.id, e.claim)
	invar.Check(!e.sent && !e.released, "claim %s: sent %t, released %t before the send", cl.id, e.sent, e.released)
	e.sent = true
	cl.state = stateSent
	return nil
}

// Finish records the result of the call, or its digest if it is larger than
// Options.MaxResult. On an error the record stays queued and may still be written.
func (t *Ticket) Finish(ctx context.Context, result string) error {
	r := t.record(kindDone)
	if len(result) <= t.c.opts.MaxResultBytes {
		r.Result = result
	} else {
		sum := sha256.Sum256([]byte(result))
		r.Digest = "sha256:" + hex.EncodeToString(sum[:])
	}
	return t.end(ctx, r, stateSent, stateFinished)
}

// Release gives the claim up; the call is then never made. It fails after Confirm.
// On ErrUnwritten the ticket is released in this process, and the record stays queued.
func (t *Ticket) Release(ctx context.Context) error {
	return t.end(ctx, t.record(kindRelease), stateGranted, stateReleased)
}

// ReleaseUnsent takes a confirmed ticket back when the call certainly reached no target: no
// connection was obtained, or the target said that it ran nothing. The claim is
// then released; its call is never made.
func (t *Ticket) ReleaseUnsent(ctx context.Context) error {
	return t.end(ctx, t.record(kindRelease), stateSent, stateReleased)
}

func (t *Ticket) record(kind recordKind) record {
	return record{Kind: kind, Account: t.cl.key.account, ID: t.cl.key.id, Stage: t.cl.stage, Claim: t.cl.id}
}

// end moves the ticket from one state to the next, then writes r.
func (t *Ticket) end(ctx context.Context, r record, from, to claimState) error {
	it, err := t.c.endClaim(t.cl, r, from, to)
	if err != nil {
		return err
	}
	select {
	case <-it.written:
		return nil
	case <-ctx.Done():
	case <-t.c.ctx.Done():
	}
	return oops.In("claims").With("claim", t.cl.id, "kind", r.Kind).Wrapf(ErrWritePending, "write %s record", r.Kind)
}

func (c *Controller) endClaim(cl *claim, r record, from, to claimState) (*item, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cl.state != from {
		return nil, oops.In("claims").With("claim", cl.id).Wrapf(ErrInvalidState, "write %s record", r.Kind)
	}
	cl.state = to
	if e := c.index.find(cl.key, cl.stage); e != nil && to == stateReleased {
		e.sent, e.released = false, true
	}
	it := &item{key: itemKey{r.Kind, cl.id}, data: encodeRecord(r), written: make(chan struct{})}
	c.enqueue(it)
	return it, nil
}
