package bundle

import (
	"fmt"
	"strings"
)

// Format returns doc as a service file. Parse returns an equal document for it, except
// for DataCentresOut, which service files cannot express.
func Format(doc Doc) string {
	var b strings.Builder
	section := func(format string, args ...any) {
		if b.Len() > 0 {
			b.WriteString("\n")
		}
		fmt.Fprintf(&b, "["+format+"]\n", args...)
	}
	key := func(name string, value any) { fmt.Fprintf(&b, "%s = %v\n", name, value) }
	for _, p := range doc.Pipelines {
		section("pipeline %s", p.Name)
		key("deadline", p.Deadline)
		key("objective", p.Objective)
		for _, s := range p.Stages {
			section("stage %s/%s", p.Name, s.Name)
			key("pool", s.Pool)
			if s.Model != "" {
				key("model", s.Model)
			}
			key("timeout", s.Timeout)
		}
	}
	for _, p := range doc.Pools {
		section("pool %s", p.Name)
		key("kind", p.Kind)
		key("repeat", map[bool]string{true: repeatAny, false: repeatNever}[p.Retryable])
		key("checks_fence", p.ChecksFence)
		key("limit", p.Limit)
		key("cold_limit", p.ColdLimit)
	}
	for _, t := range doc.Targets {
		section("target %s", t.Name)
		key("pool", t.Pool)
		key("data_centre", t.DataCentre)
		key("region", t.Region)
		key("address", t.Address)
	}
	for _, a := range doc.Accounts {
		section("account %s", a.Name)
		key("credential", a.Credential)
		key("share", a.Share)
	}
	return b.String()
}
