// Package pipe runs the stages of a request's pipeline one after the other.
package pipe

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"chivepost/entry/internal/chain"
	"chivepost/entry/internal/claims"
	"chivepost/entry/internal/invar"
	"chivepost/entry/internal/queue"
	"chivepost/entry/internal/retry"
	"chivepost/entry/internal/route"
	"chivepost/entry/internal/stage"
	"chivepost/share/apiv1"
	"chivepost/share/bundle"
	"chivepost/share/target"
)

// Attempter makes single attempts to run a stage.
type Attempter interface {
	Attempt(ctx context.Context, a stage.Attempt) stage.Result
}

// ServiceEstimator estimates the service time of calls to pools, without the time in queues.
type ServiceEstimator interface {
	ExpectedServiceTime(pools []string) time.Duration
}

// Claims decides whether this request may make a call that may not be repeated.
type Claims interface {
	Acquire(ctx context.Context, req claims.Request) claims.Decision
}

// prefixBytes is the length of the input that is used as the prompt prefix. Prompts of one
// service begin with the same instructions.
const prefixBytes = 64

// Runner runs the stages of requests. It is safe for concurrent use.
type Runner struct {
	attempter Attempter
	estimator ServiceEstimator
	claims    Claims
	budgets   *retry.Budgets
}

// New returns a Runner.
func New(attempter Attempter, estimator ServiceEstimator, cl Claims, budgets *retry.Budgets) *Runner {
	return &Runner{attempter: attempter, estimator: estimator, claims: cl, budgets: budgets}
}

// execution is the state of one run of a request.
type execution struct {
	*Runner
	req              *chain.Request
	budget           *retry.RequestBudget
	sent             bool // a call may have reached a target
	sentUnrepeatable bool // a call that may not be repeated may have reached a target
	tokens           int  // pieces of the answer already passed to the caller
}

// Run runs all stages of req and returns its outcome.
func (r *Runner) Run(ctx context.Context, req *chain.Request) chain.Outcome {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	e := &execution{Runner: r, req: req, budget: r.budgets.ForRequest()}
	value := req.Body.Input
	stages := req.Pipeline.Stages()
	for i := range stages {
		out, err := e.stage(ctx, i, value)
		if err != nil {
			return e.outcome(err)
		}
		value = out
	}
	if req.OnToken != nil && e.tokens == 0 {
		req.OnToken(0, value)
	}
	return chain.Answered(req.Body.ID, value)
}

// stage runs stage number i and returns its output.
func (e *execution) stage(ctx context.Context, i int, input string) (string, error) {
	st := e.req.Pipeline.Stages()[i]
	pool, ok := e.req.Config.Pool(st.Pool)
	invar.Check(ok, "pipeline %s refers to unknown pool %s", e.req.Pipeline.Name(), st.Pool)
	pool.Retryable = pool.Retryable && !e.req.Body.Once
	attempt := stage.Attempt{
		Run: e.req.Run, Stage: st.Name, Pool: pool, Model: st.Model, Input: input, Timeout: st.Timeout.Std(),
		Job: queue.Job{
			Pool:     st.Pool,
			Account:  e.req.Account.Name,
			Share:    e.req.Account.Share,
			Deadline: e.req.Deadline,
			Expected: e.estimator.ExpectedServiceTime(poolsFrom(e.req.Pipeline.Stages(), i)),
			Priority: e.req.Body.Priority,
			Prefix:   xxhash.Sum64String(input[:min(len(input), prefixBytes)]),
		},
	}
	if i == len(e.req.Pipeline.Stages())-1 && pool.Kind == bundle.KindEngine {
		attempt.OnToken = e.onToken()
	}
	if pool.Retryable {
		return e.runRepeatable(ctx, attempt)
	}
	return e.runAtMostOnce(ctx, attempt)
}

// runRepeatable makes attempts until one succeeds or no retries are left.
func (e *execution) runRepeatable(ctx context.Context, attempt stage.Attempt) (string, error) {
	var tried route.Set
	for n := 0; ; n++ {
		attempt.Number = n
		attempt.Job.Exclude = tried
		res := e.attempter.Attempt(ctx, attempt)
		e.sent = e.sent || res.Execution != target.NotExecuted
		if res.Err == nil {
			return res.Output, nil
		}
		if res.Target == "" || ctx.Err() != nil || e.tokens > 0 {
			return "", res.Err
		}
		// A refusal before any work costs the target nothing, so it takes no retry from the
		// budget: only the deadline limits these attempts.
		if res.Execution != target.NotExecuted && !e.budget.Allow(res.Target, attempt.Stage) {
			return "", fmt.Errorf("no retries left: %w", res.Err)
		}
		tried = tried.With(res.Target)
		if !backOff(ctx, n) {
			return "", res.Err
		}
	}
}

// minBackoff and maxBackoff limit the time between two attempts, which doubles each time.
// Without it, a target that refuses or fails at once would be called in a busy loop.
const (
	minBackoff = 5 * time.Millisecond
	maxBackoff = 160 * time.Millisecond
)

// backOff waits before attempt n+1. It returns false if ctx ends first.
func backOff(ctx context.Context, n int) bool {
	t := time.NewTimer(min(minBackoff<<min(n, 10), maxBackoff))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// errResultTooLarge means that an earlier run made the call, but only a digest of its
// result was recorded.
var errResultTooLarge = errors.New("an earlier run of this request id made the call, but its result was too large to record")

// runAtMostOnce acquires the claim of the call and makes one attempt.
func (e *execution) runAtMostOnce(ctx context.Context, attempt stage.Attempt) (string, error) {
	decision := e.claims.Acquire(ctx, claims.Request{
		Account: e.req.Account.Name, ID: e.req.Body.ID, Stage: attempt.Stage, BodyHash: e.bodyHash(),
	})
	switch decision.Kind {
	case claims.Granted:
	case claims.Done:
		e.sent, e.sentUnrepeatable = true, true
		if decision.Digest != "" {
			return "", errResultTooLarge
		}
		return decision.Result, nil
	default:
		return "", &claimError{kind: decision.Kind}
	}
	attempt.Ticket = decision.Ticket
	res := e.attempter.Attempt(ctx, attempt)
	if res.Execution == target.NotExecuted {
		e.releaseClaim(ctx, decision.Ticket)
		return "", res.Err
	}
	e.sent, e.sentUnrepeatable = true, true
	if res.Err != nil {
		return "", res.Err
	}
	e.recordResult(ctx, decision.Ticket, res.Output)
	return res.Output, nil
}

// recordTimeout limits the append of a done or release record. It doesn't depend on the
// deadline of the request, since the record is for later repeats of the request.
const recordTimeout = 2 * time.Second

// recordResult records the result for repeats of the request. The answer to this caller
// doesn't wait for the record: if it is missing, a repeat gets the outcome unknown.
func (e *execution) recordResult(ctx context.Context, t *claims.Ticket, result string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	go func() {
		defer cancel()
		_ = t.Finish(ctx, result)
	}()
}

// releaseClaim releases the claim. The caller doesn't wait for the record: the ticket is
// released in this process at once, and no other process may act on the claim.
func (e *execution) releaseClaim(ctx context.Context, t *claims.Ticket) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	go func() {
		defer cancel()
		if err := t.Release(ctx); errors.Is(err, claims.ErrInvalidState) {
			_ = t.ReleaseUnsent(ctx) // The ticket was confirmed, but no call was sent.
		}
	}()
}

func (e *execution) bodyHash() string {
	return apiv1.Checksum(e.req.Pipeline.Name() + "\x00" + e.req.Body.Input)
}

// onToken returns a callback that passes pieces of the answer to the caller and counts them.
// Once the caller has received one, there must be no other attempt, since its answer could
// differ.
func (e *execution) onToken() func(int, string) {
	if e.req.OnToken == nil {
		return nil
	}
	return func(index int, text string) {
		e.tokens++
		e.req.OnToken(index, text)
	}
}

// poolsFrom returns the pools of the stages from number i on.
func poolsFrom(stages []bundle.StageDoc, i int) []string {
	pools := make([]string, 0, len(stages)-i)
	for _, s := range stages[i:] {
		pools = append(pools, s.Pool)
	}
	return pools
}

// claimError means that a call that may not be repeated was not made because its claim was
// not granted.
type claimError struct{ kind claims.Kind }

func (e *claimError) Error() string { return "claim not granted: " + string(e.kind) }

// outcome returns the outcome of a failed request. Its kind depends on which calls may have
// reached a target and on the decision about a claim, not on the text of the error.
func (e *execution) outcome(err error) chain.Outcome {
	id := e.req.Body.ID
	problem, status := classify(err)
	detail := strings.TrimSpace(err.Error())
	var ce *claimError
	isClaim := errors.As(err, &ce)
	switch {
	case e.sentUnrepeatable:
		return chain.Unknown(id, problem, status, detail)
	case isClaim && (ce.kind == claims.Taken || ce.kind == claims.Expired):
		return chain.Unknown(id, problem, status, detail)
	case e.sent:
		return chain.Failed(id, problem, status, detail)
	default:
		return chain.Refused(id, problem, status, detail)
	}
}

func classify(err error) (problem string, status int) {
	var ce *claimError
	switch {
	case errors.As(err, &ce):
		return classifyClaim(ce.kind)
	case errors.Is(err, queue.ErrFull):
		return apiv1.ProblemOverload, http.StatusServiceUnavailable
	case errors.Is(err, queue.ErrDeadline), errors.Is(err, stage.ErrNoTime), errors.Is(err, context.DeadlineExceeded):
		return apiv1.ProblemDeadline, http.StatusGatewayTimeout
	default:
		return apiv1.ProblemStageFailed, http.StatusBadGateway
	}
}

func classifyClaim(kind claims.Kind) (problem string, status int) {
	switch kind {
	case claims.Taken:
		return apiv1.ProblemClaimedElsewhere, http.StatusConflict
	case claims.Conflict:
		return apiv1.ProblemIDConflict, http.StatusConflict
	case claims.Expired:
		return apiv1.ProblemIDExpired, http.StatusConflict
	case claims.Released:
		return apiv1.ProblemIDReleased, http.StatusConflict
	case claims.Invalid:
		return apiv1.ProblemBadRequest, http.StatusBadRequest
	default:
		return apiv1.ProblemLogUnavailable, http.StatusServiceUnavailable
	}
}
