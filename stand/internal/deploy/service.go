package deploy

import (
	"strings"

	"github.com/samber/oops"
	"gopkg.in/ini.v1"

	"chivepost/share/bundle"
	"chivepost/share/units"
)

// addService adds what one service file says to doc. It reads the deployment's own
// templates and gives no more than the first error; operators' files are read by
// package bundle.
func addService(doc *bundle.Doc, data []byte) error {
	file, err := ini.Load(data)
	if err != nil {
		return oops.Wrapf(err, "parse")
	}
	for _, s := range file.Sections() {
		if err := addSection(doc, s); err != nil {
			return oops.Wrapf(err, "section %q", s.Name())
		}
	}
	return nil
}

func addSection(doc *bundle.Doc, s *ini.Section) error {
	kind, name, _ := strings.Cut(s.Name(), " ")
	r := reader{section: s}
	switch kind {
	case ini.DefaultSection:
	case "pipeline":
		doc.Pipelines = append(doc.Pipelines, bundle.PipelineDoc{
			Name: name, Deadline: units.Duration(r.duration("deadline")), Objective: r.number("objective"),
		})
	case "stage":
		pipeline, stage, _ := strings.Cut(name, "/")
		last := len(doc.Pipelines) - 1
		if last < 0 || doc.Pipelines[last].Name != pipeline {
			return oops.Errorf("stage of pipeline %q does not follow it", pipeline)
		}
		doc.Pipelines[last].Stages = append(doc.Pipelines[last].Stages, bundle.StageDoc{
			Name: stage, Pool: r.text("pool"), Model: s.Key("model").String(), Timeout: units.Duration(r.duration("timeout")),
		})
	case "pool":
		doc.Pools = append(doc.Pools, bundle.PoolDoc{
			Name: name, Kind: bundle.Kind(r.text("kind")), Repeat: r.text("repeat") == "any",
			ChecksFence: r.boolean("checks_fence"), Limit: r.integer("limit"), ColdLimit: r.integer("cold_limit"),
		})
	case "account":
		doc.Accounts = append(doc.Accounts, bundle.AccountDoc{
			Name: name, Credential: r.text("credential"), Share: r.integer("share"),
		})
	default:
		r.fail("unknown section")
	}
	return r.err
}
