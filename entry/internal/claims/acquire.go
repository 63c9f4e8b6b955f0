package claims

import (
	"context"
	"slices"
	"strconv"
	"time"
)

// Request names the call to claim. BodyHash covers all of the request that must be
// equal when the caller repeats it.
type Request struct {
	Account, ID, Stage, BodyHash string
}

// Kind says how a claim was decided.
type Kind string

// The decisions. Taken and Expired mean that the outcome is unknown to the caller.
// LogDown and Released mean that nothing was run and never will be under this claim.
const (
	// Granted means that the claim is the first; its ticket must be confirmed or released.
	Granted Kind = "granted"
	// Done means that an earlier claim has completed; the decision carries its result.
	Done Kind = "done"
	// Taken means that an earlier claim may have been acted on.
	Taken Kind = "taken"
	// LogDown means that the claim was abandoned before it was read back.
	LogDown Kind = "log_down"
	// Conflict means that the id was used with another body.
	Conflict Kind = "conflict"
	// Expired means that records that bear on this id may be gone.
	Expired Kind = "expired"
	// Released means that the first claim was given up without a call.
	Released Kind = "released"
	// Invalid means that the id is malformed or carries a position never given out.
	Invalid Kind = "invalid"
)

// Decision is the outcome of Acquire. Host and Offset are those of the first claim,
// where known. A result too large to be recorded has only its digest.
type Decision struct {
	Kind   Kind
	Ticket *Ticket
	Result string
	Digest string
	Host   string
	Offset int64
	Reason string
}

type claimState int

const (
	stateWaiting claimState = iota
	stateGranted
	stateSent
	stateFinished
	stateReleased
	stateDecided
)

// claim is one claim of this process. Fields are guarded by the controller's mutex.
type claim struct {
	id       string
	key      requestKey
	stage    string
	hash     string
	position int64
	deadline time.Time
	state    claimState
	// parkedAt is the number of reads begun when the claim started to wait for the
	// reader to reach its position.
	parkedAt uint64
	decision Decision
	decided  chan struct{}
}

// Acquire claims the call for this node. It blocks until the claim is decided, ctx
// ends or Options.Patience has passed; in the last two cases it is abandoned first.
func (c *Controller) Acquire(ctx context.Context, req Request) Decision {
	position, err := ParseID(req.ID)
	if err != nil {
		return Decision{Kind: Invalid, Reason: err.Error()}
	}
	if req.Account == "" {
		return Decision{Kind: Invalid, Reason: "no account"}
	}
	cl, d := c.begin(ctx, req, position)
	if cl == nil {
		return d
	}
	timer := time.NewTimer(c.opts.AcquireTimeout)
	defer timer.Stop()
	reason := ""
	select {
	case <-cl.decided:
	case <-ctx.Done():
		reason = "the request ended before the claim was read back"
	case <-timer.C:
		reason = "the log service did not confirm the claim in " + c.opts.AcquireTimeout.String()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abandon(cl, reason)
	return cl.decision
}

// begin decides the claim at once if it can, else opens one.
func (c *Controller) begin(ctx context.Context, req Request, position int64) (*claim, Decision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := requestKey{req.Account, req.ID}
	if c.closed || ctx.Err() != nil || len(c.queue) >= c.opts.MaxQueue {
		return nil, Decision{Kind: LogDown, Reason: "the node is closing, the request has ended or too many claims are waiting"}
	}
	if c.reads.synced {
		if d, ok := c.index.lookup(key, req.Stage, req.BodyHash, position); ok {
			return nil, d
		}
	}
	if c.isLogDown() {
		return nil, Decision{Kind: LogDown, Reason: "the log service has not been read for longer than the wait for a claim"}
	}
	for _, other := range c.byKey[key] {
		if other.hash != req.BodyHash {
			return nil, Decision{Kind: Conflict, Host: c.opts.Host, Reason: "the id is being claimed with another body"}
		}
		if other.stage == req.Stage {
			return nil, Decision{Kind: Taken, Host: c.opts.Host, Reason: "the id is being claimed by another call"}
		}
	}
	c.lastID++
	cl := &claim{
		id: c.prefix + strconv.FormatUint(c.lastID, 10), key: key, stage: req.Stage, hash: req.BodyHash,
		position: position, parkedAt: c.reads.started, decided: make(chan struct{}),
	}
	cl.deadline, _ = ctx.Deadline()
	c.open[cl.id] = cl
	c.byKey[key] = append(c.byKey[key], cl)
	c.parked = append(c.parked, cl)
	c.advanceParked()
	return cl, Decision{}
}

// isLogDown reports whether a claim would most likely wait in vain. Refusing at once
// keeps requests from piling up in a long outage.
func (c *Controller) isLogDown() bool {
	return c.reading.IsFailing() && !c.reads.last.IsZero() && time.Since(c.reads.last) > c.opts.ReadWait+c.opts.AcquireTimeout
}

// advanceParked queues the claims whose position has been reached. Appending only
// then keeps every claim at or above its position, which the index relies on.
func (c *Controller) advanceParked() {
	if !c.reads.synced {
		return
	}
	c.parked = slices.DeleteFunc(c.parked, func(cl *claim) bool {
		if cl.state != stateWaiting {
			return true
		}
		if d, ok := c.index.lookup(cl.key, cl.stage, cl.hash, cl.position); ok {
			c.decide(cl, d)
			return true
		}
		if cl.position > c.index.next {
			return false
		}
		c.enqueue(&item{
			key: itemKey{kindClaim, cl.id}, claim: cl,
			data: encodeRecord(record{
				Kind: kindClaim, Account: cl.key.account, ID: cl.key.id, Stage: cl.stage, Claim: cl.id,
				BodyHash: cl.hash, Host: c.opts.Host, Incarnation: c.opts.Incarnation,
			}),
		})
		return true
	})
}

// refuseAhead decides the claims whose position lies beyond the end of the stream,
// as seen by a read that began after they did.
func (c *Controller) refuseAhead(read uint64) {
	c.parked = slices.DeleteFunc(c.parked, func(cl *claim) bool {
		if cl.state == stateWaiting && cl.parkedAt < read && cl.position > c.index.next {
			c.decide(cl, Decision{Kind: Invalid, Reason: "the position was never given out"})
		}
		return cl.state != stateWaiting
	})
}

// decide ends a waiting claim with d and wakes its caller.
func (c *Controller) decide(cl *claim, d Decision) {
	delete(c.open, cl.id)
	c.byKey[cl.key] = slices.DeleteFunc(c.byKey[cl.key], func(o *claim) bool { return o == cl })
	if len(c.byKey[cl.key]) == 0 {
		delete(c.byKey, cl.key)
	}
	cl.state = stateDecided
	if d.Kind == Granted {
		cl.state = stateGranted
	}
	cl.decision = d
	close(cl.decided)
}

// abandon gives up a claim that is still waiting. Its record may land later: it is
// then not open, is never granted and gets a release record.
func (c *Controller) abandon(cl *claim, reason string) {
	if cl.state == stateWaiting {
		c.decide(cl, Decision{Kind: LogDown, Reason: reason})
	}
}
