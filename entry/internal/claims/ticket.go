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

// Errors of Ticket methods. If Confirm returns an error, the call must not be sent.
var (
	ErrClosed       = errors.New("controller is closed")
	ErrReleased     = errors.New("ticket was released")
	ErrDeadline     = errors.New("deadline has passed")
	ErrExpired      = errors.New("claim is older than the records that are kept")
	ErrInvalidState = errors.New("ticket is in the wrong state")
	ErrWritePending = errors.New("record not yet confirmed as written")
)

// Ticket permits one call.
type Ticket struct {
	c  *Controller
	cl *claim
}

// ClaimID returns the ID that identifies the claim in the stream.
func (t *Ticket) ClaimID() string { return t.cl.id }

// Confirm marks the ticket as sent and must be called immediately before the call is
// sent. It fails after the deadline of the context passed to Acquire, so that a
// process that was paused sends nothing late. Confirming a ticket twice violates an
// invariant and stops the process.
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
	sc := c.index.find(cl.key, cl.stage)
	if sc == nil {
		return ErrExpired
	}
	invar.Check(sc.claim == cl.id, "claim %s: the first claim is now %s", cl.id, sc.claim)
	invar.Check(!sc.sent && !sc.released, "claim %s: sent %t, released %t before the send", cl.id, sc.sent, sc.released)
	sc.sent = true
	cl.state = stateSent
	return nil
}

// Finish records the result of the call, or its digest if the result is larger than
// Options.MaxResultBytes. It fails with ErrInvalidState unless the ticket is confirmed.
// On ErrWritePending the record stays queued and may still be written.
func (t *Ticket) Finish(ctx context.Context, result string) error {
	r := t.record(kindDone)
	if len(result) <= t.c.opts.MaxResultBytes {
		r.Result = result
	} else {
		sum := sha256.Sum256([]byte(result))
		r.Digest = "sha256:" + hex.EncodeToString(sum[:])
	}
	return t.transitionAndWrite(ctx, r, stateSent, stateFinished)
}

// Release records that the call will never be made. It fails after Confirm. On
// ErrWritePending the ticket is released in this process and the record stays queued.
func (t *Ticket) Release(ctx context.Context) error {
	return t.transitionAndWrite(ctx, t.record(kindRelease), stateGranted, stateReleased)
}

// ReleaseUnsent releases a confirmed ticket whose call certainly did not run: no
// connection was obtained, or the target reported that it ran nothing. The call must
// not be made afterwards.
func (t *Ticket) ReleaseUnsent(ctx context.Context) error {
	return t.transitionAndWrite(ctx, t.record(kindRelease), stateSent, stateReleased)
}

func (t *Ticket) record(kind recordKind) record {
	return record{Kind: kind, Account: t.cl.key.account, ID: t.cl.key.id, Stage: t.cl.stage, Claim: t.cl.id}
}

// transitionAndWrite changes the state of the claim, queues r and waits until r has
// been written.
func (t *Ticket) transitionAndWrite(ctx context.Context, r record, from, to claimState) error {
	q, err := t.c.transition(t.cl, r, from, to)
	if err != nil {
		return err
	}
	select {
	case <-q.written:
		return nil
	case <-ctx.Done():
	case <-t.c.ctx.Done():
	}
	return oops.In("claims").With("claim", t.cl.id, "kind", r.Kind).Wrapf(ErrWritePending, "write %s record", r.Kind)
}

func (c *Controller) transition(cl *claim, r record, from, to claimState) (*queuedRecord, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cl.state != from {
		return nil, oops.In("claims").With("claim", cl.id).Wrapf(ErrInvalidState, "write %s record", r.Kind)
	}
	cl.state = to
	if sc := c.index.find(cl.key, cl.stage); sc != nil && to == stateReleased {
		sc.sent, sc.released = false, true
	}
	q := &queuedRecord{key: queuedKey{r.Kind, cl.id}, data: encodeRecord(r), written: make(chan struct{})}
	c.enqueue(q)
	return q, nil
}
