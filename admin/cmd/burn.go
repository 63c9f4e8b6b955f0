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

// shownBurn is what burn prints.
type shownBurn struct {
	burn.Report
	Unreachable []unreachable `json:"unreachable"`
}

// Run adds up the counters of all operator addresses.
func (c *burnCmd) Run(r *run) error {
	answers, err := r.client.Burn(r.ctx)
	if err != nil {
		return err
	}
	config, err := r.client.Config(r.ctx)
	if err != nil {
		return err
	}
	var snapshots []burn.Snapshot
	none := split(answers, func(b apiv1.Burn) { snapshots = append(snapshots, b.Snapshot) })
	objectives := map[string]float64{}
	for _, p := range config.Doc.Pipelines {
		objectives[p.Name] = p.Objective
	}
	report := burn.NewReport(burn.Merge(snapshots...), objectives)
	if c.HTML != "" {
		if err := writePage(c.HTML, report); err != nil {
			return err
		}
	}
	if err := r.print(shownBurn{Report: report, Unreachable: none}); err != nil {
		return oops.Wrapf(err, "print report")
	}
	return partial(none)
}

func writePage(path string, report burn.Report) error {
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
func (s shownBurn) Text(w io.Writer) error { return s.RenderText(w) }
