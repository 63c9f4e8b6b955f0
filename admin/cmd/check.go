package cmd

import (
	"fmt"
	"io"

	"chivepost/share/bundle"
)

type checkCmd struct {
	Dir string `arg:"" predictor:"dir" help:"Folder with service files (service.ini) at any depth."`
}

// checkResult is the result of check.
type checkResult struct {
	Pipelines int `json:"pipelines"`
	Stages    int `json:"stages"`
	Pools     int `json:"pools"`
	Targets   int `json:"targets"`
	Accounts  int `json:"accounts"`
}

// Run checks the service files.
func (c *checkCmd) Run(e *env) error {
	doc, err := parseServiceFiles(c.Dir)
	if err != nil {
		return err
	}
	return e.print(newCheckResult(doc))
}

func newCheckResult(doc bundle.Doc) checkResult {
	result := checkResult{Pipelines: len(doc.Pipelines), Pools: len(doc.Pools), Targets: len(doc.Targets), Accounts: len(doc.Accounts)}
	for _, p := range doc.Pipelines {
		result.Stages += len(p.Stages)
	}
	return result
}

// Text writes the counts on one line.
func (c checkResult) Text(w io.Writer) error {
	_, err := fmt.Fprintf(w, "no problems: pipelines %d, stages %d, pools %d, targets %d, accounts %d\n",
		c.Pipelines, c.Stages, c.Pools, c.Targets, c.Accounts)
	return err
}
