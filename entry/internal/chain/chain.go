// Package chain defines the chain of filters that handles each request.
package chain

import (
	"context"
	"time"

	"chivepost/share/apiv1"
	"chivepost/share/bundle"
)

// Request is a request that passes through the filters. Deadline is a time of this
// process's clock.
type Request struct {
	Body     apiv1.Request
	Pipeline bundle.Pipeline
	Account  bundle.AccountDoc
	Config   *bundle.Bundle
	Version  int64
	// Run identifies this run of the request. A repeat of the request has another one.
	Run      string
	Arrived  time.Time
	Deadline time.Time
	// OnToken, if not nil, receives each piece of a streamed answer.
	OnToken func(index int, text string)
}

// Outcome is the outcome of a request: an answer if Kind is Answered, otherwise a problem.
type Outcome struct {
	Kind    apiv1.Outcome
	Answer  apiv1.Answer
	Problem apiv1.Problem
}

// Next runs the rest of the chain.
type Next func(ctx context.Context, req *Request) Outcome

// Filter handles one concern of a request. Handle calls next to pass the request on, or
// returns an outcome of its own.
type Filter interface {
	Name() string
	Handle(ctx context.Context, req *Request, next Next) Outcome
}

// New returns a chain that passes a request through the filters in order and then to last.
func New(filters []Filter, last Next) Next {
	next := last
	for i := len(filters) - 1; i >= 0; i-- {
		f, rest := filters[i], next
		next = func(ctx context.Context, req *Request) Outcome { return f.Handle(ctx, req, rest) }
	}
	return next
}

// Answered returns the outcome of a request with a complete answer.
func Answered(id, output string) Outcome {
	return Outcome{Kind: apiv1.Answered, Answer: apiv1.NewAnswer(id, output)}
}

// Refused returns the outcome of a request of which no stage was run.
func Refused(id, problem string, status int, detail string) Outcome {
	return problemOutcome(apiv1.Refused, id, problem, status, detail)
}

// Failed returns the outcome of a request that is safe to repeat.
func Failed(id, problem string, status int, detail string) Outcome {
	return problemOutcome(apiv1.Failed, id, problem, status, detail)
}

// Unknown returns the outcome of a request that may have been run, so that it isn't safe to
// repeat.
func Unknown(id, problem string, status int, detail string) Outcome {
	return problemOutcome(apiv1.Unknown, id, problem, status, detail)
}

func problemOutcome(kind apiv1.Outcome, id, problem string, status int, detail string) Outcome {
	return Outcome{Kind: kind, Problem: apiv1.Problem{
		Type: problem, Title: title(problem), Status: status, Detail: detail, ID: id, Outcome: kind,
	}}
}

// title returns the human-readable title of a problem type.
func title(problem string) string {
	switch problem {
	case apiv1.ProblemBadRequest:
		return "the request is not valid"
	case apiv1.ProblemUnauthorized:
		return "the credential is missing or unknown"
	case apiv1.ProblemNotFound:
		return "no such pipeline"
	case apiv1.ProblemTooLarge:
		return "the body is too large"
	case apiv1.ProblemDeadline:
		return "the deadline can't be met"
	case apiv1.ProblemOverload:
		return "too many requests are waiting"
	case apiv1.ProblemUnready:
		return "this host accepts no requests at the moment"
	case apiv1.ProblemMoved:
		return "use another address"
	case apiv1.ProblemLogUnavailable:
		return "the request can't be claimed while the log service is down"
	case apiv1.ProblemIDConflict:
		return "the request id was used with another body"
	case apiv1.ProblemIDReleased:
		return "the request id was released without a run and can't be used again"
	case apiv1.ProblemIDExpired:
		return "the request id is older than the records that are kept"
	case apiv1.ProblemClaimedElsewhere:
		return "another run of this request id may have made the call"
	case apiv1.ProblemStageFailed:
		return "a stage failed"
	default:
		return problem
	}
}
