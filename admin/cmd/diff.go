package cmd

import (
	"fmt"
	"io"

	"github.com/samber/oops"

	"chivepost/admin/internal/delta"
	"chivepost/share/apiv1"
	"chivepost/share/bundle"
)

type diffCmd struct {
	Dir string `arg:"" predictor:"dir" help:"Folder with service files (service.ini) at any depth."`
}

// diffResult is the result of diff.
type diffResult struct {
	Version int64         `json:"version"`
	Author  string        `json:"author"`
	Changes delta.Changes `json:"changes"`
}

// Run compares the service files with the configuration in force.
func (c *diffCmd) Run(e *env) error {
	_, current, changes, err := e.compare(c.Dir)
	if err != nil {
		return err
	}
	return e.print(diffResult{Version: current.Version, Author: current.Author, Changes: changes})
}

// compare reads the service files and the configuration in force and lists the differences.
// Service files do not contain which data centres are out, so those that are out stay out.
func (e *env) compare(dir string) (bundle.Doc, apiv1.Config, delta.Changes, error) {
	doc, err := parseServiceFiles(dir)
	if err != nil {
		return doc, apiv1.Config{}, nil, err
	}
	current, err := e.client.Config(e.ctx)
	if err != nil {
		return doc, current, nil, err
	}
	if len(current.Doc.DataCentresOut) > 0 {
		doc.DataCentresOut = current.Doc.DataCentresOut
	}
	changes, err := delta.Between(current.Doc, doc)
	return doc, current, changes, oops.Wrap(err)
}

// Text writes the version in force and the changes.
func (d diffResult) Text(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "compared with %s\n", versionText(d.Version, d.Author)); err != nil {
		return err
	}
	return d.Changes.Text(w)
}

func versionText(version int64, author string) string {
	if version == 0 {
		return "no configuration"
	}
	return fmt.Sprintf("version %d by %s", version, author)
}
