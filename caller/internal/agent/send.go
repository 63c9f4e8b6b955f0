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

// result is the result of one attempt.
type result struct {
	outcome    apiv1.Outcome
	flaw       string
	problem    *apiv1.Problem
	output     string
	tokens     int
	firstToken time.Time
	tokenGaps  []time.Duration
	err        error
}

// maxAnswerBytes bounds the body of an answer.
const maxAnswerBytes = 16 << 20

// send sends the request to one host and reads the answer. The deadline in the
// request is the time that remains of the job's deadline.
func (a *Agent) send(ctx context.Context, host, id string, job Job, remaining time.Duration) result {
	wait := max(remaining, 0) + a.opts.Grace + 2*a.opts.LinkDelay
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
		ID: id, Deadline: units.Duration(max(remaining, time.Millisecond)), Priority: job.Priority, Input: job.Input, Stream: job.Stream,
	})
	if err != nil {
		return result{outcome: Unsent, err: err}
	}
	url := "http://" + host + "/v1/pipelines/" + job.Pipeline + "/requests"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return result{outcome: Unsent, err: err}
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
		return result{outcome: outcome, err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	time.Sleep(a.opts.LinkDelay)
	reader := io.LimitReader(resp.Body, maxAnswerBytes)
	mediaType, _, _ := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	switch {
	case mediaType == apiv1.ProblemType:
		return readProblem(reader)
	case resp.StatusCode != http.StatusOK:
		return result{outcome: Broken, err: fmt.Errorf("status %d without a problem document", resp.StatusCode)}
	case mediaType == "text/event-stream":
		return readStream(reader, id, job.ExpectedOutput)
	default:
		return readAnswer(reader, id, job.ExpectedOutput)
	}
}

func readProblem(r io.Reader) result {
	var p apiv1.Problem
	if err := json.NewDecoder(r).Decode(&p); err != nil {
		return result{outcome: Broken, err: fmt.Errorf("decode problem: %w", err)}
	}
	return problemResult(p)
}

// problemResult returns the result that the problem states. A problem without a known
// outcome is treated like a broken connection.
func problemResult(p apiv1.Problem) result {
	switch p.Outcome {
	case apiv1.Refused, apiv1.Failed, apiv1.Unknown:
		return result{outcome: p.Outcome, problem: &p}
	default:
		return result{outcome: Broken, problem: &p, err: fmt.Errorf("problem with outcome %q", p.Outcome)}
	}
}

func readAnswer(r io.Reader, id, expected string) result {
	var answer apiv1.Answer
	if err := json.NewDecoder(r).Decode(&answer); err != nil {
		return result{outcome: Broken, err: fmt.Errorf("decode answer: %w", err)}
	}
	res := result{outcome: apiv1.Answered, output: answer.Output}
	res.flaw = findFlaw(id, answer.ID, expected, answer.Output, answer.IsIntact())
	return res
}

// findFlaw returns the flaw of an answer, or "" if it has none.
func findFlaw(id, gotID, expected, output string, complete bool) string {
	switch {
	case id != gotID:
		return FlawWrong
	case !complete:
		return FlawIncomplete
	case expected != "" && expected != output:
		return FlawWrong
	default:
		return ""
	}
}
