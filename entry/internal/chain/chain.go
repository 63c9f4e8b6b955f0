// Package chain is the filter chain that each request passes through.
package chain

import (
	"context"
	"time"

	"chivepost/share/apiv1"
	"chivepost/share/bundle"
)

// Request is one request on its way through the filters. Deadline is in the
// clock of this process.
type Request struct {
	Body     apiv1.Request
	Pipeline bundle.Pipeline
	Account  bundle.AccountDoc
	Config   *bundle.Bundle
	Version  int64
	// Run names this execution; a repeat of the same request gets another.
	Run      string
	Arrived  time.Time
	Deadline time.Time
	// OnToken, when not nil, takes each piece of a streamed answer.
	OnToken func(index int, text string)
}

// Outcome is what became of a request: an answer or a problem.
type Outcome struct {
	Kind    apiv1.Outcome
	Answer  apiv1.Answer
	Problem apiv1.Problem
}

// Next runs the rest of the chain.
type Next func(ctx context.Context, req *Request) Outcome

// Filter handles one concern of a request and passes it on.
type Filter interface {
	Name() string
	Handle(ctx context.Context, req *Request, next Next) Outcome
}

// New joins filters, first to last, with last at the end.
func New(filters []Filter, last Next) Next {
	next := last
	for i := len(filters) - 1; i >= 0; i-- {
		f, rest := filters[i], next
		next = func(ctx context.Context, req *Request) Outcome { return f.Handle(ctx, req, rest) }
	}
	return next
}

// Answered returns the outcome of a whole answer.
func Answered(id, output string) Outcome {
	return Outcome{Kind: apiv1.Answered, Answer: apiv1.NewAnswer(id, output)}
}

// Refused returns the outcome of a request of which nothing was run.
func Refused(id, problem string, status int, detail string) Outcome {
	return problemOutcome(apiv1.Refused, id, problem, status, detail)
}

// Failed returns the outcome of a request that is safe to repeat.
func Failed(id, problem string, status int, detail string) Outcome {
	return problemOutcome(apiv1.Failed, id, problem, status, detail)
}

// Unknown returns the outcome of a request that may have been run.
func Unknown(id, problem string, status int, detail string) Outcome {
	return problemOutcome(apiv1.Unknown, id, problem, status, detail)
}

func problemOutcome(kind apiv1.Outcome, id, problem string, status int, detail string) Outcome {
	return Outcome{Kind: kind, Problem: apiv1.Problem{
		Type: problem, Title: title(problem), Status: status, Detail: detail, ID: id, Outcome: kind,
	}}
}

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
		return "too much work is waiting"
	case apiv1.ProblemUnready:
		return "this host takes no requests now"
	case apiv1.ProblemMoved:
		return "use another address"
	case apiv1.ProblemLogDown:
		return "the request can't be claimed while the log service is down"
	case apiv1.ProblemConflict:
		return "the id was used with another body"
	case apiv1.ProblemReleased:
		return "the id was released without being run and can't be used again"
	case apiv1.ProblemExpired:
		return "the id is older than the records kept"
	case apiv1.ProblemClaimed:
		return "another run of this id may have made the call"
	case apiv1.ProblemStage:
		return "a stage failed"
	default:
		return problem
	}
}
