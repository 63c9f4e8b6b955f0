package cmd

import (
	"fmt"
	"io"

	"chivepost/share/bundle"
)

type checkCmd struct {
	Dir string `arg:"" predictor:"dir" help:"Folder with service files (service.ini) at any depth."`
}

// checked is what check prints.
type checked struct {
	Pipelines int `json:"pipelines"`
	Stages    int `json:"stages"`
	Pools     int `json:"pools"`
	Targets   int `json:"targets"`
	Accounts  int `json:"accounts"`
}

// Run checks the service files.
func (c *checkCmd) Run(r *run) error {
	doc, err := parse(c.Dir)
	if err != nil {
		return err
	}
	return r.print(newChecked(doc))
}

func newChecked(doc bundle.Doc) checked {
	result := checked{Pipelines: len(doc.Pipelines), Pools: len(doc.Pools), Targets: len(doc.Targets), Accounts: len(doc.Accounts)}
	for _, p := range doc.Pipelines {
		result.Stages += len(p.Stages)
	}
	return result
}

// Text writes the numbers on one line.
func (c checked) Text(w io.Writer) error {
	_, err := fmt.Fprintf(w, "no problems: pipelines %d, stages %d, pools %d, targets %d, accounts %d\n",
		c.Pipelines, c.Stages, c.Pools, c.Targets, c.Accounts)
	return err
}
