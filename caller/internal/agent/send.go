package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"mime"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"chivepost/share/apiv1"
	"chivepost/share/units"
)

// attempt is what came of one send.
type attempt struct {
	outcome apiv1.Outcome
	flaw    string
	problem *apiv1.Problem
	output  string
	tokens  int
	first   time.Time
	gaps    []time.Duration
	err     error
}

// maxAnswer bounds the body of an answer.
const maxAnswer = 16 << 20

// send makes one attempt at one host.
func (a *Agent) send(ctx context.Context, host, id string, job Job, left time.Duration) attempt {
	wait := max(left, 0) + a.opts.Grace + 2*a.opts.LinkDelay
	if a.opts.AttemptTimeout > 0 {
		wait = min(wait, a.opts.AttemptTimeout)
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	body, err := json.Marshal(apiv1.Request{
		ID: id, Deadline: units.Duration(max(left, time.Millisecond)), Priority: job.Priority, Input: job.Input, Stream: job.Stream,
	})
	if err != nil {
		return attempt{outcome: Unsent, err: err}
	}
	url := "http://" + host + "/v1/pipelines/" + job.Pipeline + "/requests"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return attempt{outcome: Unsent, err: err}
	}
	req.Header.Set("Authorization", "Bearer "+job.Secret)
	req.Header.Set("Content-Type", "application/json")
	time.Sleep(a.opts.LinkDelay)
	resp, err := a.http.Do(req)
	if err != nil {
		outcome := Broken
		if !connected.Load() {
			outcome = Unsent
		}
		return attempt{outcome: outcome, err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	time.Sleep(a.opts.LinkDelay)
	reader := io.LimitReader(resp.Body, maxAnswer)
	kind, _, _ := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	switch {
	case kind == apiv1.ProblemType:
		return readProblem(reader)
	case resp.StatusCode != http.StatusOK:
		return attempt{outcome: Broken, err: fmt.Errorf("status %d without a problem", resp.StatusCode)}
	case kind == "text/event-stream":
		return readStream(reader, id, job.ExpectedOutput)
	default:
		return readAnswer(reader, id, job.ExpectedOutput)
	}
}

func readProblem(r io.Reader) attempt {
	var p apiv1.Problem
	if err := json.NewDecoder(r).Decode(&p); err != nil {
		return attempt{outcome: Broken, err: fmt.Errorf("decode problem: %w", err)}
	}
	return problemAttempt(p)
}

func problemAttempt(p apiv1.Problem) attempt {
	switch p.Outcome {
	case apiv1.Refused, apiv1.Failed, apiv1.Unknown:
		return attempt{outcome: p.Outcome, problem: &p}
	default:
		return attempt{outcome: Broken, problem: &p, err: fmt.Errorf("problem with outcome %q", p.Outcome)}
	}
}

func readAnswer(r io.Reader, id, want string) attempt {
	var answer apiv1.Answer
	if err := json.NewDecoder(r).Decode(&answer); err != nil {
		return attempt{outcome: Broken, err: fmt.Errorf("decode answer: %w", err)}
	}
	at := attempt{outcome: apiv1.Answered, output: answer.Output}
	at.flaw = flaw(id, answer.ID, want, answer.Output, answer.IsWhole())
	return at
}

// flaw names what is wrong with an answer, or returns "".
func flaw(id, gotID, want, got string, whole bool) string {
	switch {
	case id != gotID:
		return FlawWrong
	case !whole:
		return FlawIncomplete
	case want != "" && want != got:
		return FlawWrong
	default:
		return ""
	}
}
