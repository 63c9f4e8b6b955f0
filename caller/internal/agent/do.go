package agent

import (
	"context"
	"slices"
	"strconv"
	"time"

	"chivepost/share/apiv1"
	"chivepost/share/events"
)

// Job is one request to a pipeline, together with what its answer must be.
type Job struct {
	// WorkID identifies the work across all attempts. The input contains it as well.
	WorkID  string
	Account string
	Secret  string
	// Client is the number of the client within its account. Each client has its own addresses.
	Client   int
	Pipeline string
	Input    string
	// ExpectedOutput is compared with the answer's output, unless it is empty.
	ExpectedOutput string
	Deadline       time.Duration
	Priority       int
	Stream         bool
	// AtMostOnce is set if the pipeline has a stage that may not run a second time.
	AtMostOnce bool
}

// Outcomes that the agent assigns itself when no entry host reported one.
const (
	// Broken means that the request was sent but no outcome arrived, for example because the
	// connection broke.
	Broken apiv1.Outcome = "broken"
	// Unsent means that no address was available or no connection was made.
	Unsent apiv1.Outcome = "unsent"
)

// Flaws of answers, as reported in Report.Flaw.
const (
	// FlawWrong marks a complete answer that belongs to another request.
	FlawWrong = "wrong"
	// FlawIncomplete marks an answer whose length, checksum, token count or token order doesn't match.
	FlawIncomplete = "incomplete"
)

// Report is the result of a job: its final outcome, the last answer and the times measured.
type Report struct {
	WorkID   string        `json:"work"`
	Pipeline string        `json:"pipeline"`
	Account  string        `json:"account"`
	Outcome  apiv1.Outcome `json:"outcome"`
	// Flaw is FlawWrong or FlawIncomplete if the answer is not the complete one to this request.
	Flaw     string         `json:"flaw,omitempty"`
	Attempts int            `json:"attempts"`
	ID       string         `json:"id"`
	Host     string         `json:"host"`
	Problem  *apiv1.Problem `json:"problem,omitempty"`
	Detail   string         `json:"detail,omitempty"`
	Output   string         `json:"output,omitempty"`
	Tokens   int            `json:"tokens,omitempty"`
	Latency  time.Duration  `json:"-"`
	// FirstToken is the time from the start of the job to the first token of a streamed answer.
	FirstToken time.Duration `json:"-"`
	// TokenGaps holds the times between successive tokens.
	TokenGaps []time.Duration `json:"-"`
	InTime    bool            `json:"in_time"`
}

const (
	// retryDelay is the wait before a retry if the host gave no retry time.
	retryDelay = 20 * time.Millisecond
	// maxRetryDelay caps the retry time that a host gives.
	maxRetryDelay = time.Second
)

// Do sends the job until it is answered, may not be retried, has used up its attempts or
// its deadline has passed. The deadline counts from the call of Do.
func (a *Agent) Do(ctx context.Context, job Job) Report {
	start := time.Now()
	end := start.Add(job.Deadline)
	s := jobState{agent: a, job: job}
	var last result
	for n := 1; ; n++ {
		last = s.attempt(ctx, n, time.Until(end))
		if n >= a.opts.MaxAttempts || !s.mayRetry(last) || ctx.Err() != nil {
			break
		}
		wait := retryDelay
		if last.problem != nil && last.problem.RetryAfter > 0 {
			wait = min(last.problem.RetryAfter.Std(), maxRetryDelay)
		}
		if time.Until(end) <= wait {
			break
		}
		time.Sleep(wait)
	}
	return s.report(last, start, end)
}

// jobState is the state of one job that lasts from attempt to attempt.
type jobState struct {
	agent *Agent
	job   Job
	sent  int
	id    string
	host  string
	// tried lists the hosts that failed or refused; the next attempt prefers others.
	tried []string
	// suggested lists the addresses given with the last refusal or failure.
	suggested []string
	// mayBeRunning is set once an attempt with this ID may still run at some host.
	mayBeRunning bool
}

// attempt sends the request once, as attempt n, and records what it means for the next one.
func (s *jobState) attempt(ctx context.Context, n int, remaining time.Duration) result {
	addresses, err := s.agent.addresses(ctx, s.clientKey())
	if err != nil {
		return result{outcome: Unsent, err: err}
	}
	// If an earlier attempt may still run, its ID must be reused: only by the ID do the
	// hosts recognize both as the same request.
	if s.id == "" || !s.mayBeRunning {
		s.id = newID(addresses.ClaimsOffset)
	}
	s.host = s.chooseHost(addresses.Addresses)
	s.sent++
	s.logEvent(events.Sent, n, "", "")
	res := s.agent.send(ctx, s.host, s.id, s.job, remaining)
	s.logEvent(events.Received, n, string(res.outcome), res.flaw)
	switch res.outcome {
	case Broken, Unsent:
		s.agent.dropAddresses(s.clientKey())
		s.tried = append(s.tried, s.host)
		s.mayBeRunning = s.mayBeRunning || res.outcome == Broken
	case apiv1.Refused:
		s.tried = append(s.tried, s.host)
		if res.problem.Type == apiv1.ProblemIDReleased {
			s.mayBeRunning = false // The hosts have decided that this ID never runs.
		}
	case apiv1.Failed:
		s.tried = append(s.tried, s.host)
	case apiv1.Unknown:
		s.mayBeRunning = true
	case apiv1.Answered:
	}
	s.suggested = nil
	if res.problem != nil {
		s.suggested = res.problem.Addresses
	}
	return res
}

func (s *jobState) clientKey() clientKey { return clientKey{s.job.Secret, s.job.Client} }

// chooseHost prefers the suggested addresses, then the fetched ones. Hosts in tried are
// chosen only if all have been tried.
func (s *jobState) chooseHost(addresses []string) string {
	for _, list := range [][]string{s.suggested, addresses} {
		for _, address := range list {
			if !slices.Contains(s.tried, address) {
				return address
			}
		}
	}
	return addresses[len(s.tried)%len(addresses)]
}

// permanentProblems are the refusals that every host would give again.
var permanentProblems = map[string]bool{
	apiv1.ProblemBadRequest:   true,
	apiv1.ProblemUnauthorized: true,
	apiv1.ProblemNotFound:     true,
	apiv1.ProblemTooLarge:     true,
	apiv1.ProblemIDConflict:   true,
}

// mayRetry reports whether another attempt is safe and can help. After a broken attempt it
// is safe even for a pipeline that runs at most once, since the retry has the same ID.
func (s *jobState) mayRetry(res result) bool {
	switch res.outcome {
	case apiv1.Refused:
		return !permanentProblems[res.problem.Type]
	case apiv1.Failed, Broken, Unsent:
		return true
	case apiv1.Unknown:
		return !s.job.AtMostOnce
	default:
		return false // A flawed answer must be counted; a retry would hide it.
	}
}

func (s *jobState) report(res result, start, end time.Time) Report {
	now := time.Now()
	rep := Report{
		WorkID: s.job.WorkID, Pipeline: s.job.Pipeline, Account: s.job.Account,
		Outcome: res.outcome, Flaw: res.flaw, Attempts: s.sent, ID: s.id, Host: s.host,
		Problem: res.problem, Output: res.output, Tokens: res.tokens,
		Latency: now.Sub(start), TokenGaps: res.tokenGaps,
	}
	if res.err != nil {
		rep.Detail = res.err.Error()
	}
	if !res.firstToken.IsZero() {
		rep.FirstToken = res.firstToken.Sub(start)
	}
	// The last host's refusal doesn't show whether an earlier, broken attempt ran.
	if s.mayBeRunning && (res.outcome == apiv1.Refused || res.outcome == apiv1.Failed || res.outcome == Unsent) {
		rep.Outcome = Broken
	}
	rep.InTime = rep.Outcome == apiv1.Answered && rep.Flaw == "" && !now.After(end)
	return rep
}

func (s *jobState) logEvent(kind events.Kind, n int, outcome, detail string) {
	s.agent.opts.Events.Add(events.Event{
		Kind: kind, Host: s.host, Account: s.job.Account, Request: s.job.WorkID, Run: s.id,
		Stage: s.job.Pipeline, Attempt: strconv.Itoa(n), Outcome: outcome, Detail: detail,
	})
}
