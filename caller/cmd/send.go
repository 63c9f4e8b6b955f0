package cmd

import (
	"context"
	"crypto/rand"
	"fmt"

	"chivepost/caller/internal/agent"
	"chivepost/caller/internal/expect"
	"chivepost/share/apiv1"
	"chivepost/share/target"
	"chivepost/share/units"
)

type sendCmd struct {
	callFlags
	Pipeline string `arg:"" help:"Pipeline to call."`
	Input    string `arg:"" optional:"" help:"Input; a question with a new work id if not given."`
	Account  string `help:"Client account that sends the request." required:""`
	Stream   bool   `help:"Ask for a streamed answer."`
	Priority int    `help:"Priority of the request."`
	Once     bool   `help:"Don't retry after an unknown outcome. With --bundle the configuration decides."`
	JSON     bool   `help:"Print JSON." name:"json"`
}

// Run sends one request and prints its answer. The exit code is 1 unless the answer is correct.
func (c *sendCmd) Run(ctx context.Context, out output) error {
	job := agent.Job{
		WorkID: rand.Text(), Account: c.Account, Secret: c.SecretPrefix + c.Account, Pipeline: c.Pipeline,
		Input: c.Input, Deadline: c.Deadline, Priority: c.Priority, Stream: c.Stream, AtMostOnce: c.Once,
	}
	if job.Input == "" {
		job.Input = target.NewInput("a question", job.WorkID, "what is to be done?")
	} else if id := target.WorkID(job.Input); id != "" {
		job.WorkID = id
	}
	if c.Bundle != "" {
		b, err := expect.ReadConfig(c.Bundle)
		if err != nil {
			return err
		}
		if job.ExpectedOutput, err = expect.Output(b, job.Pipeline, job.Input); err != nil {
			return err
		}
		job.AtMostOnce = expect.AtMostOnce(b, job.Pipeline)
	}
	a, release, err := c.newAgent()
	if err != nil {
		return err
	}
	defer release()
	report := a.Do(ctx, job)
	if c.JSON {
		err = writeJSON(out, struct {
			agent.Report
			Latency units.Duration `json:"latency"`
		}{report, units.Duration(report.Latency)})
	} else {
		_, err = fmt.Fprint(out, resultText(report))
	}
	if err == nil && (report.Outcome != apiv1.Answered || report.Flaw != "") {
		return errFailed
	}
	return err
}

// resultText returns the output of a correct answer, otherwise the outcome and its cause.
func resultText(r agent.Report) string {
	if r.Outcome == apiv1.Answered && r.Flaw == "" {
		return r.Output + "\n"
	}
	line := fmt.Sprintf("%s after %d attempts", r.Outcome, r.Attempts)
	if r.Flaw != "" {
		line += ", answer is " + r.Flaw
	}
	if r.Problem != nil {
		line += fmt.Sprintf(": %s (%s) %s", r.Problem.Title, r.Problem.Type, r.Problem.Detail)
	}
	if r.Detail != "" {
		line += ": " + r.Detail
	}
	return line + "\n"
}
