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
	calling
	Pipeline string `arg:"" help:"Pipeline to call."`
	Input    string `arg:"" optional:"" help:"Input; a question with its own id if left out."`
	Account  string `help:"Account to call for." required:""`
	Stream   bool   `help:"Ask for a streamed answer."`
	Priority int    `help:"Priority of the request."`
	Once     bool   `help:"Don't repeat after an unknown outcome. Known from the configuration if that is given."`
	JSON     bool   `help:"Print JSON." name:"json"`
}

// Run sends one request.
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
	a, release, err := c.agent()
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
		_, err = fmt.Fprint(out, text(report))
	}
	if err == nil && (report.Outcome != apiv1.Answered || report.Flaw != "") {
		return errFound
	}
	return err
}

// text returns the answer alone, or what became of the request.
func text(r agent.Report) string {
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
