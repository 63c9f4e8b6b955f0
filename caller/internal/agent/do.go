package agent

import (
	"context"
	"slices"
	"strconv"
	"time"

	"chivepost/share/apiv1"
	"chivepost/share/events"
)

// Job is one piece of work for a pipeline.
type Job struct {
	// WorkID names the work across all attempts; the input carries it too.
	WorkID  string
	Account string
	Secret  string
	// Client tells the account's clients apart; each holds addresses of its own.
	Client   int
	Pipeline string
	Input    string
	// ExpectedOutput is the expected answer; an empty one is not compared.
	ExpectedOutput string
	Deadline       time.Duration
	Priority       int
	Stream         bool
	// AtMostOnce marks a pipeline with a call that may not be repeated.
	AtMostOnce bool
}

// Outcomes that only a caller sees.
const (
	// Broken: no outcome arrived, for example because the connection broke.
	Broken apiv1.Outcome = "broken"
	// Unsent: no address could be learnt or no connection was made.
	Unsent apiv1.Outcome = "unsent"
)

// Flaws of answers.
const (
	// FlawWrong: a whole answer, but not to this request.
	FlawWrong = "wrong"
	// FlawIncomplete: length, checksum, count or end mark don't match.
	FlawIncomplete = "incomplete"
)

// Report says what became of a job.
type Report struct {
	WorkID   string        `json:"work"`
	Pipeline string        `json:"pipeline"`
	Account  string        `json:"account"`
	Outcome  apiv1.Outcome `json:"outcome"`
	// Flaw is set if an answer came that is not the whole answer to this request.
	Flaw     string         `json:"flaw,omitempty"`
	Attempts int            `json:"attempts"`
	ID       string         `json:"id"`
	Host     string         `json:"host"`
	Problem  *apiv1.Problem `json:"problem,omitempty"`
	Detail   string         `json:"detail,omitempty"`
	Output   string         `json:"output,omitempty"`
	Tokens   int            `json:"tokens,omitempty"`
	Latency  time.Duration  `json:"-"`
	// FirstToken is the time to the first token of a streamed answer.
	FirstToken time.Duration `json:"-"`
	// TokenGaps are the times between tokens.
	TokenGaps []time.Duration `json:"-"`
	InTime    bool            `json:"in_time"`
}

// pause is waited before a repeat, unless the host names a time.
const (
	pause    = 20 * time.Millisecond
	maxPause = time.Second
)

// Do sends the job until it is answered, may not be repeated or its deadline has
// passed. The deadline counts from the call of Do.
func (a *Agent) Do(ctx context.Context, job Job) Report {
	start := time.Now()
	end := start.Add(job.Deadline)
	r := run{agent: a, job: job}
	var last attempt
	for n := 1; ; n++ {
		last = r.next(ctx, n, time.Until(end))
		if n >= a.opts.MaxAttempts || !r.mayRepeat(last) || ctx.Err() != nil {
			break
		}
		wait := pause
		if last.problem != nil && last.problem.RetryAfter > 0 {
			wait = min(last.problem.RetryAfter.Std(), maxPause)
		}
		if time.Until(end) <= wait {
			break
		}
		time.Sleep(wait)
	}
	return r.report(last, start, end)
}

// run is the state of one job between its attempts.
type run struct {
	agent *Agent
	job   Job
	sent  int
	id    string
	host  string
	// tried are the hosts that gave no answer, to be left out of the next choice.
	tried []string
	// moved are the addresses that the last refusal named.
	moved []string
	// open is set once an attempt with this id may still be running somewhere.
	open bool
}

// next makes one attempt.
func (r *run) next(ctx context.Context, n int, left time.Duration) attempt {
	known, err := r.agent.addresses(ctx, r.caller())
	if err != nil {
		return attempt{outcome: Unsent, err: err}
	}
	// A request whose id may be running must keep the id: only that lets the hosts
	// see that both are the same.
	if r.id == "" || !r.open {
		r.id = newID(known.Position)
	}
	r.host = r.choose(known.Addresses)
	r.sent++
	r.event(events.Sent, n, "", "")
	at := r.agent.send(ctx, r.host, r.id, r.job, left)
	r.event(events.Got, n, string(at.outcome), at.flaw)
	switch at.outcome {
	case Broken, Unsent:
		r.agent.forget(r.caller())
		r.tried = append(r.tried, r.host)
		r.open = r.open || at.outcome == Broken
	case apiv1.Refused:
		r.tried = append(r.tried, r.host)
		if at.problem.Type == apiv1.ProblemReleased {
			r.open = false // The hosts have settled that this id never runs.
		}
	case apiv1.Failed:
		r.tried = append(r.tried, r.host)
	case apiv1.Unknown:
		r.open = true
	case apiv1.Answered:
	}
	r.moved = nil
	if at.problem != nil {
		r.moved = at.problem.Addresses
	}
	return at
}

func (r *run) caller() caller { return caller{r.job.Secret, r.job.Client} }

// choose prefers the addresses that a refusal named, then those of the entry hosts,
// leaving out hosts tried before as long as others are left.
func (r *run) choose(addresses []string) string {
	for _, list := range [][]string{r.moved, addresses} {
		for _, address := range list {
			if !slices.Contains(r.tried, address) {
				return address
			}
		}
	}
	return addresses[len(r.tried)%len(addresses)]
}

// permanent are the refusals that every host would give again.
var permanent = map[string]bool{
	apiv1.ProblemBadRequest:   true,
	apiv1.ProblemUnauthorized: true,
	apiv1.ProblemNotFound:     true,
	apiv1.ProblemTooLarge:     true,
	apiv1.ProblemConflict:     true,
}

// mayRepeat reports whether another attempt is safe. A broken attempt of a request
// that runs at most once is repeated under the same id only.
func (r *run) mayRepeat(at attempt) bool {
	switch at.outcome {
	case apiv1.Refused:
		return !permanent[at.problem.Type]
	case apiv1.Failed, Broken, Unsent:
		return true
	case apiv1.Unknown:
		return !r.job.AtMostOnce
	default:
		return false // A flaw in an answer is to be counted, not hidden by a repeat.
	}
}

func (r *run) report(at attempt, start, end time.Time) Report {
	now := time.Now()
	rep := Report{
		WorkID: r.job.WorkID, Pipeline: r.job.Pipeline, Account: r.job.Account,
		Outcome: at.outcome, Flaw: at.flaw, Attempts: r.sent, ID: r.id, Host: r.host,
		Problem: at.problem, Output: at.output, Tokens: at.tokens,
		Latency: now.Sub(start), TokenGaps: at.gaps,
	}
	if at.err != nil {
		rep.Detail = at.err.Error()
	}
	if !at.first.IsZero() {
		rep.FirstToken = at.first.Sub(start)
	}
	// The last host's refusal says nothing about an earlier attempt that broke.
	if r.open && (at.outcome == apiv1.Refused || at.outcome == apiv1.Failed || at.outcome == Unsent) {
		rep.Outcome = Broken
	}
	rep.InTime = rep.Outcome == apiv1.Answered && rep.Flaw == "" && !now.After(end)
	return rep
}

func (r *run) event(kind events.Kind, n int, outcome, detail string) {
	r.agent.opts.Events.Add(events.Event{
		Kind: kind, Host: r.host, Account: r.job.Account, Request: r.job.WorkID, Run: r.id,
		Stage: r.job.Pipeline, Attempt: strconv.Itoa(n), Outcome: outcome, Detail: detail,
	})
}
