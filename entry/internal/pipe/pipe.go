// Package pipe takes a request through the stages of its pipeline.
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

// Attempter makes single attempts at a stage.
type Attempter interface {
	Attempt(ctx context.Context, w stage.Attempt) stage.Result
}

// ServiceEstimator estimates the time that calls to pools take, without waiting.
type ServiceEstimator interface {
	ExpectedServiceTime(pools []string) time.Duration
}

// Claims decides who may make a call that may not be repeated.
type Claims interface {
	Acquire(ctx context.Context, req claims.Request) claims.Decision
}

// prefixBytes is how much of the input counts as its prompt prefix. Prompts of
// one service share their instructions, which come first.
const prefixBytes = 64

// Runner takes requests through their stages. It is safe for concurrent use.
type Runner struct {
	attempts Attempter
	expect   ServiceEstimator
	claims   Claims
	budgets  *retry.Budgets
}

// New returns a Runner.
func New(attempts Attempter, expect ServiceEstimator, cl Claims, budgets *retry.Budgets) *Runner {
	return &Runner{attempts: attempts, expect: expect, claims: cl, budgets: budgets}
}

// run is the way of one request.
type run struct {
	*Runner
	req    *chain.Request
	budget *retry.RequestBudget
	sent   bool // a call may have reached a target
	once   bool // a call that may not be repeated may have been made
	tokens int  // pieces of the answer already given to the caller
}

// Run takes req through all its stages and returns its outcome.
func (r *Runner) Run(ctx context.Context, req *chain.Request) chain.Outcome {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	w := &run{Runner: r, req: req, budget: r.budgets.ForRequest()}
	value := req.Body.Input
	stages := req.Pipeline.Stages()
	for i := range stages {
		out, err := w.stage(ctx, i, value)
		if err != nil {
			return w.outcome(err)
		}
		value = out
	}
	if req.OnToken != nil && w.tokens == 0 {
		req.OnToken(0, value)
	}
	return chain.Answered(req.Body.ID, value)
}

func (w *run) stage(ctx context.Context, i int, input string) (string, error) {
	st := w.req.Pipeline.Stages()[i]
	pool, ok := w.req.Config.Pool(st.Pool)
	invar.Check(ok, "pipeline %s names no such pool: %s", w.req.Pipeline.Name(), st.Pool)
	pool.Repeat = pool.Repeat && !w.req.Body.Once
	work := stage.Attempt{
		Run: w.req.Run, Stage: st.Name, Pool: pool, Model: st.Model, Input: input, Timeout: st.Timeout.Std(),
		Job: queue.Job{
			Pool:     st.Pool,
			Account:  w.req.Account.Name,
			Share:    w.req.Account.Share,
			Deadline: w.req.Deadline,
			Expected: w.expect.ExpectedServiceTime(poolsFrom(w.req.Pipeline.Stages(), i)),
			Priority: w.req.Body.Priority,
			Prefix:   xxhash.Sum64String(input[:min(len(input), prefixBytes)]),
		},
	}
	if i == len(w.req.Pipeline.Stages())-1 && pool.Kind == bundle.KindEngine {
		work.OnToken = w.token()
	}
	if pool.Repeat {
		return w.repeatable(ctx, work)
	}
	return w.atMostOnce(ctx, work)
}

// repeatable makes attempts until one succeeds or the budget is spent.
func (w *run) repeatable(ctx context.Context, work stage.Attempt) (string, error) {
	var tried route.Set
	for n := 0; ; n++ {
		work.Number = n
		work.Job.Exclude = tried
		res := w.attempts.Attempt(ctx, work)
		w.sent = w.sent || res.Sent != target.SentNo
		if res.Err == nil {
			return res.Output, nil
		}
		if res.Target == "" || ctx.Err() != nil || w.tokens > 0 {
			return "", res.Err
		}
		// A refusal before any work costs the targets nothing, so only its time counts.
		if res.Sent != target.SentNo && !w.budget.Allow(res.Target, work.Stage) {
			return "", fmt.Errorf("no retries left: %w", res.Err)
		}
		tried = tried.With(res.Target)
		if !pause(ctx, n) {
			return "", res.Err
		}
	}
}

// firstPause and lastPause bound the time between two attempts, which doubles: a
// target that refuses or fails at once must not be called in a busy loop.
const (
	firstPause = 5 * time.Millisecond
	lastPause  = 160 * time.Millisecond
)

// pause waits before attempt n+1 and reports whether there is time for it.
func pause(ctx context.Context, n int) bool {
	t := time.NewTimer(min(firstPause<<min(n, 10), lastPause))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// errTooLarge means that the call was made by an earlier run, whose result can't be
// given again.
var errTooLarge = errors.New("an earlier run of this id has made the call; its result was too large to be recorded")

// atMostOnce claims the call and makes it.
func (w *run) atMostOnce(ctx context.Context, work stage.Attempt) (string, error) {
	dec := w.claims.Acquire(ctx, claims.Request{
		Account: w.req.Account.Name, ID: w.req.Body.ID, Stage: work.Stage, BodyHash: w.bodyHash(),
	})
	switch dec.Kind {
	case claims.Granted:
	case claims.Done:
		w.sent, w.once = true, true
		if dec.Digest != "" {
			return "", errTooLarge
		}
		return dec.Result, nil
	default:
		return "", &claimError{kind: dec.Kind}
	}
	work.Ticket = dec.Ticket
	res := w.attempts.Attempt(ctx, work)
	if res.Sent == target.SentNo {
		w.release(ctx, dec.Ticket)
		return "", res.Err
	}
	w.sent, w.once = true, true
	if res.Err != nil {
		return "", res.Err
	}
	w.finish(ctx, dec.Ticket, res.Output)
	return res.Output, nil
}

// recordTime bounds the append of a done or release record. It is not taken from
// the request's deadline: the record is for later repeats of the request.
const recordTime = 2 * time.Second

// finish records the result for repeats of the request. The answer to this caller
// doesn't wait: without the record a repeat is told that the outcome is unknown.
func (w *run) finish(ctx context.Context, t *claims.Ticket, result string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTime)
	go func() {
		defer cancel()
		_ = t.Finish(ctx, result)
	}()
}

// release gives the claim up. The caller doesn't wait for the record: the ticket is
// released in this process at once, and no other process may act on the claim.
func (w *run) release(ctx context.Context, t *claims.Ticket) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTime)
	go func() {
		defer cancel()
		if err := t.Release(ctx); errors.Is(err, claims.ErrInvalidState) {
			_ = t.ReleaseUnsent(ctx) // The ticket was confirmed, but nothing was sent.
		}
	}()
}

func (w *run) bodyHash() string {
	return apiv1.Checksum(w.req.Pipeline.Name() + "\x00" + w.req.Body.Input)
}

// token passes pieces of the answer on and counts them: once the caller has
// seen one, another attempt could contradict it.
func (w *run) token() func(int, string) {
	if w.req.OnToken == nil {
		return nil
	}
	return func(index int, text string) {
		w.tokens++
		w.req.OnToken(index, text)
	}
}

func poolsFrom(stages []bundle.StageDoc, i int) []string {
	pools := make([]string, 0, len(stages)-i)
	for _, s := range stages[i:] {
		pools = append(pools, s.Pool)
	}
	return pools
}

// claimError says that a call that may not be repeated was not made because of
// how its claim was decided.
type claimError struct{ kind claims.Kind }

func (e *claimError) Error() string { return "claim: " + string(e.kind) }

// outcome classifies a failure by what was sent, whatever the error says.
func (w *run) outcome(err error) chain.Outcome {
	id := w.req.Body.ID
	problem, status := classify(err)
	detail := strings.TrimSpace(err.Error())
	var ce *claimError
	isClaim := errors.As(err, &ce)
	switch {
	case w.once:
		return chain.Unknown(id, problem, status, detail)
	case isClaim && (ce.kind == claims.Taken || ce.kind == claims.Expired):
		return chain.Unknown(id, problem, status, detail)
	case w.sent:
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
		return apiv1.ProblemStage, http.StatusBadGateway
	}
}

func classifyClaim(kind claims.Kind) (problem string, status int) {
	switch kind {
	case claims.Taken:
		return apiv1.ProblemClaimed, http.StatusConflict
	case claims.Conflict:
		return apiv1.ProblemConflict, http.StatusConflict
	case claims.Expired:
		return apiv1.ProblemExpired, http.StatusConflict
	case claims.Released:
		return apiv1.ProblemReleased, http.StatusConflict
	case claims.Invalid:
		return apiv1.ProblemBadRequest, http.StatusBadRequest
	default:
		return apiv1.ProblemLogDown, http.StatusServiceUnavailable
	}
}
