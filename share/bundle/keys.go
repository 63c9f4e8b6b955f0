package bundle

import (
	"fmt"
	"strings"

	"chivepost/share/inicfg"
	"chivepost/share/units"
)

const (
	repeatAny   = "any"
	repeatNever = "never"
)

type pipelineKeys struct {
	Deadline  units.Duration `key:"deadline" check:"required,above=0s" doc:"longest deadline that a caller may ask for"`
	Objective float64        `key:"objective" default:"0.99" check:"above=0,below=1" doc:"share of requests to answer within their deadline"`
}

// stageKeys limits timeout in addition to the deadline, because a home counts
// an expired grant for as long as a call under it may run.
type stageKeys struct {
	Pool    string         `key:"pool" check:"required,name" doc:"pool whose targets run the stage"`
	Model   string         `key:"model" check:"word" doc:"model, adapter or version that the stage asks for"`
	Timeout units.Duration `key:"timeout" check:"required,above=0s,max=5s" doc:"bound of one attempt, at most the pipeline's deadline"`
}

// poolKeys has no default for repeat: a wrong one would either run calls twice or make
// each call need a claim.
type poolKeys struct {
	Kind        string `key:"kind" check:"required,oneof=engine|stage|service" doc:"protocol: model engine, other model stage, or plain service"`
	Repeat      string `key:"repeat" check:"required,oneof=any|never" doc:"whether a call may run more than once; never makes each call need a claim"`
	ChecksFence bool   `key:"checks_fence" default:"false" doc:"whether the targets refuse orders with an old fencing number"`
	Limit       int    `key:"limit" check:"required,min=1" doc:"calls in flight at once per warm target"`
	ColdLimit   int    `key:"cold_limit" default:"1" check:"min=1" doc:"calls in flight at once per target in cold start, at most limit"`
}

type targetKeys struct {
	Pool       string `key:"pool" check:"required,name" doc:"pool that the target belongs to"`
	DataCentre string `key:"data_centre" check:"required,name" doc:"data centre that the target is in"`
	Region     string `key:"region" check:"required,name" doc:"region of the data centre"`
	Address    string `key:"address" check:"required,address" doc:"where the target listens"`
}

type accountKeys struct {
	Credential string `key:"credential" check:"required,sha256,secret" doc:"hex SHA-256 of the account's secret"`
	Share      int    `key:"share" default:"1" check:"min=1" doc:"weight against other accounts under load"`
}

// sections lists the kinds of sections in the order in which the reference has them.
var sections = []struct {
	kind, title, doc string
	keys             func() any
}{
	{"pipeline", "pipeline NAME", "A pipeline and its objective.", func() any { return &pipelineKeys{} }},
	{"stage", "stage PIPELINE/STAGE", "A stage. Stages run in the order in which the files give them; files are read in the order of their paths.", func() any { return &stageKeys{} }},
	{"pool", "pool NAME", "Targets that do the same work.", func() any { return &poolKeys{} }},
	{"target", "target NAME", "One target. Each address belongs to one target, each data centre to one region.", func() any { return &targetKeys{} }},
	{"account", "account NAME", "A client account. Each credential belongs to one account.", func() any { return &accountKeys{} }},
}

func sectionKinds() []string {
	kinds := make([]string, len(sections))
	for i, s := range sections {
		kinds[i] = s.kind
	}
	return kinds
}

// Reference returns the documentation of the sections and keys of service files as
// Markdown.
func Reference() (string, error) {
	var b strings.Builder
	for _, s := range sections {
		keys, err := inicfg.Keys(s.title, s.keys())
		if err != nil {
			return "", err
		}
		fmt.Fprintf(&b, "## [%s]\n\n%s\n\n%s\n", s.title, s.doc, inicfg.KeyTable(keys))
	}
	return strings.TrimRight(b.String(), "\n") + "\n", nil
}
