package bundle

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"chivepost/share/inicfg"
)

// check applies the rules that span sections and files, in the order of names.
func (p *parser) check() {
	p.checkStages()
	for _, name := range names(p.pipelines) {
		if !slices.ContainsFunc(p.stages, func(s *stageDef) bool { return s.pipeline == name }) {
			p.fault(p.pipelines[name].at, "", "no stage", fmt.Sprintf("at least one section [stage %s/NAME]", name))
		}
	}
	for _, name := range names(p.pools) {
		d := p.pools[name]
		if d.keys.Limit >= 1 && d.keys.ColdLimit > d.keys.Limit {
			p.problems = append(p.problems, d.at.Problem("cold_limit", fmt.Sprintf("at most limit = %d", d.keys.Limit)))
		}
	}
	p.checkTargets()
	credentials := map[string]inicfg.Section{}
	for _, name := range names(p.accounts) {
		d := p.accounts[name]
		p.unique(credentials, d.at, "credential", "a credential of its own")
	}
}

func (p *parser) checkStages() {
	for _, s := range p.stages {
		p.known(s.at, "pool", s.keys.Pool, names(p.pools))
		pipeline, ok := p.pipelines[s.pipeline]
		if !ok {
			p.fault(s.at, "", fmt.Sprintf("unknown pipeline %q", s.pipeline), nearest("pipeline", s.pipeline, names(p.pipelines)))
			continue
		}
		if deadline := pipeline.keys.Deadline; deadline > 0 && s.keys.Timeout > deadline {
			p.problems = append(p.problems, s.at.Problem("timeout",
				fmt.Sprintf("at most the pipeline's deadline = %s at %s", deadline, pipeline.at.Position("deadline"))))
		}
	}
}

func (p *parser) checkTargets() {
	addresses := map[string]inicfg.Section{}
	regions := map[string]*defined[targetKeys]{}
	for _, name := range names(p.targets) {
		d := p.targets[name]
		p.known(d.at, "pool", d.keys.Pool, names(p.pools))
		// Two targets at one address would each be granted the whole limit.
		p.unique(addresses, d.at, "address", "an address of its own")
		dc := d.keys.DataCentre
		first, ok := regions[dc]
		switch {
		case dc == "" || d.keys.Region == "":
		case !ok:
			regions[dc] = d
		case first.keys.Region != d.keys.Region:
			p.problems = append(p.problems, d.at.Problem("region",
				fmt.Sprintf("%q, the region of data centre %q at %s", first.keys.Region, dc, first.at.Position("region"))))
		}
	}
}

// known reports a name that is given but not defined in any file.
func (p *parser) known(s inicfg.Section, key, name string, all []string) {
	if name != "" && !slices.Contains(all, name) {
		p.fault(s, key, fmt.Sprintf("unknown %s %q", key, name), nearest(key, name, all))
	}
}

// unique reports a value that another section has given before.
func (p *parser) unique(seen map[string]inicfg.Section, s inicfg.Section, key, want string) {
	e, ok := s.Entry(key)
	if !ok || e.Value == "" {
		return
	}
	if first, ok := seen[e.Value]; ok {
		p.fault(s, key, "the value of "+first.Name+" at "+first.Position(key), want)
		return
	}
	seen[e.Value] = s
}

func nearest(kind, name string, all []string) string {
	if len(all) == 0 {
		return fmt.Sprintf("a section [%s %s]", kind, name)
	}
	return fmt.Sprintf("%q, the nearest of %s", inicfg.Nearest(name, all), strings.Join(all, ", "))
}

func names[T any](all map[string]*defined[T]) []string { return slices.Sorted(maps.Keys(all)) }
