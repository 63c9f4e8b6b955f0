package cmd

import (
	"io"
	"os"

	"github.com/samber/oops"

	"chivepost/share/apiv1"
	"chivepost/share/burn"
)

type burnCmd struct {
	HTML string `name:"html" predictor:"file" placeholder:"FILE" help:"Also write the report to FILE as one HTML page."`
}

// burnResult is the result of burn.
type burnResult struct {
	burn.Report
	Unreachable []unreachable `json:"unreachable"`
}

// Run merges the counters of all entry hosts and prints the report.
func (c *burnCmd) Run(e *env) error {
	answers, err := e.client.Burn(e.ctx)
	if err != nil {
		return err
	}
	config, err := e.client.Config(e.ctx)
	if err != nil {
		return err
	}
	var snapshots []burn.Snapshot
	failed := splitAnswers(answers, func(b apiv1.Burn) { snapshots = append(snapshots, b.Snapshot) })
	objectives := map[string]float64{}
	for _, p := range config.Doc.Pipelines {
		objectives[p.Name] = p.Objective
	}
	report := burn.NewReport(burn.Merge(snapshots...), objectives)
	if c.HTML != "" {
		if err := writeHTML(c.HTML, report); err != nil {
			return err
		}
	}
	if err := e.print(burnResult{Report: report, Unreachable: failed}); err != nil {
		return oops.Wrapf(err, "print report")
	}
	return partialError(failed)
}

// writeHTML writes the report to path as one HTML page.
func writeHTML(path string, report burn.Report) error {
	f, err := os.Create(path)
	if err != nil {
		return oops.Wrapf(err, "write report")
	}
	if err := report.RenderHTML(f); err != nil {
		_ = f.Close()
		return oops.Wrapf(err, "write report")
	}
	return oops.Wrapf(f.Close(), "write report")
}

// Text writes the report as a table.
func (b burnResult) Text(w io.Writer) error { return b.RenderText(w) }
