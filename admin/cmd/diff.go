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

// difference is what diff prints.
type difference struct {
	Version int64         `json:"version"`
	Author  string        `json:"author"`
	Changes delta.Changes `json:"changes"`
}

// Run compares the service files with the configuration in force.
func (c *diffCmd) Run(r *run) error {
	_, current, changes, err := r.compare(c.Dir)
	if err != nil {
		return err
	}
	return r.print(difference{Version: current.Version, Author: current.Author, Changes: changes})
}

// compare reads the service files and the configuration in force. Service files do not say
// which data centres are out, so those of the configuration in force stay out.
func (r *run) compare(dir string) (bundle.Doc, apiv1.Config, delta.Changes, error) {
	doc, err := parse(dir)
	if err != nil {
		return doc, apiv1.Config{}, nil, err
	}
	current, err := r.client.Config(r.ctx)
	if err != nil {
		return doc, current, nil, err
	}
	if len(current.Doc.Out) > 0 {
		doc.Out = current.Doc.Out
	}
	changes, err := delta.Between(current.Doc, doc)
	return doc, current, changes, oops.Wrap(err)
}

// Text writes the version and the changes.
func (d difference) Text(w io.Writer) error {
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
