package claims

import (
	"context"
	"slices"
	"strconv"
	"time"
)

// Request identifies the call to claim. BodyHash covers everything in the request
// that must be equal when the caller repeats it.
type Request struct {
	Account, ID, Stage, BodyHash string
}

// Kind is how a claim was decided.
type Kind string

// The kinds of decisions. After Taken and Expired it is unknown whether the call
// ran. LogDown and Released mean that nothing has run, or will run, under this claim.
const (
	// Granted means that the claim is the first. The caller must confirm or release
	// its ticket.
	Granted Kind = "granted"
	// Done means that the call of an earlier claim has completed. The decision holds
	// its result.
	Done Kind = "done"
	// Taken means that the call of an earlier claim may have been made.
	Taken Kind = "taken"
	// LogDown means that the claim was abandoned before it was read back.
	LogDown Kind = "log_down"
	// Conflict means that the ID was used with another body.
	Conflict Kind = "conflict"
	// Expired means that earlier claims of this ID may have expired unread.
	Expired Kind = "expired"
	// Released means that the first claim was released without a call.
	Released Kind = "released"
	// Invalid means that the ID is malformed or has a position that was never issued.
	Invalid Kind = "invalid"
)

// Decision is the outcome of Acquire. Host and Offset are those of the first claim,
// if known. Of a result that was too large to be recorded, only Digest is set.
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

// claim is a claim of this process. Its fields are guarded by Controller.mu.
type claim struct {
	id       string
	key      requestKey
	stage    string
	hash     string
	position int64
	deadline time.Time
	state    claimState
	// openedAtRead is the number of reads that had started when the claim was opened.
	openedAtRead uint64
	decision     Decision
	decided      chan struct{}
}

// Acquire claims the call for this host. It blocks until the claim is decided, ctx
// ends or Options.AcquireTimeout has passed. In the last two cases it abandons the
// claim before it returns.
func (c *Controller) Acquire(ctx context.Context, req Request) Decision {
	position, err := ParseID(req.ID)
	if err != nil {
		return Decision{Kind: Invalid, Reason: err.Error()}
	}
	if req.Account == "" {
		return Decision{Kind: Invalid, Reason: "the client account is missing"}
	}
	cl, d := c.decideOrOpen(ctx, req, position)
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
		reason = "the claim was not read back from the log service within " + c.opts.AcquireTimeout.String()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abandon(cl, reason)
	return cl.decision
}

// decideOrOpen returns a decision if one is possible without the log, and an open
// claim otherwise.
func (c *Controller) decideOrOpen(ctx context.Context, req Request, position int64) (*claim, Decision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := requestKey{req.Account, req.ID}
	if c.closed || ctx.Err() != nil || len(c.queue) >= c.opts.MaxQueue {
		return nil, Decision{Kind: LogDown, Reason: "the host is shutting down, the request has ended or too many claims are waiting"}
	}
	if c.reads.synced {
		if d, ok := c.index.lookup(key, req.Stage, req.BodyHash, position); ok {
			return nil, d
		}
	}
	if c.isLogDown() {
		return nil, Decision{Kind: LogDown, Reason: "the log service has been unreachable for longer than a claim may wait"}
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
		position: position, openedAtRead: c.reads.started, decided: make(chan struct{}),
	}
	cl.deadline, _ = ctx.Deadline()
	c.open[cl.id] = cl
	c.byKey[key] = append(c.byKey[key], cl)
	c.awaitingPosition = append(c.awaitingPosition, cl)
	c.queueReachedClaims()
	return cl, Decision{}
}

// isLogDown reports whether reads have failed for so long that a claim would most
// likely time out. Refusing such claims at once keeps requests from piling up in a
// long outage.
func (c *Controller) isLogDown() bool {
	return c.readHealth.IsFailing() && !c.reads.lastSync.IsZero() && time.Since(c.reads.lastSync) > c.opts.ReadWait+c.opts.AcquireTimeout
}

// queueReachedClaims queues the claims whose position the reader has reached. The
// index relies on every claim record having an offset at or above its position, so
// none is appended earlier.
func (c *Controller) queueReachedClaims() {
	if !c.reads.synced {
		return
	}
	c.awaitingPosition = slices.DeleteFunc(c.awaitingPosition, func(cl *claim) bool {
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
		c.enqueue(&queuedRecord{
			key: queuedKey{kindClaim, cl.id}, claim: cl,
			data: encodeRecord(record{
				Kind: kindClaim, Account: cl.key.account, ID: cl.key.id, Stage: cl.stage, Claim: cl.id,
				BodyHash: cl.hash, Host: c.opts.Host, Incarnation: c.opts.Incarnation,
			}),
		})
		return true
	})
}

// rejectBeyondEnd decides the claims whose position is beyond the end of the stream.
// The given read must have started after they were opened.
func (c *Controller) rejectBeyondEnd(read uint64) {
	c.awaitingPosition = slices.DeleteFunc(c.awaitingPosition, func(cl *claim) bool {
		if cl.state == stateWaiting && cl.openedAtRead < read && cl.position > c.index.next {
			c.decide(cl, Decision{Kind: Invalid, Reason: "the position in the id was never issued"})
		}
		return cl.state != stateWaiting
	})
}

// decide sets the decision of a waiting claim and unblocks its caller.
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

// abandon decides a claim that is still waiting as LogDown. If its record is read
// back later, the claim is no longer open: it is not granted, and a release record
// is written for it.
func (c *Controller) abandon(cl *claim, reason string) {
	if cl.state == stateWaiting {
		c.decide(cl, Decision{Kind: LogDown, Reason: reason})
	}
}
