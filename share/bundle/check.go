package bundle

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"chivepost/share/inicfg"
)

// check applies the rules that span sections and files. Except for stages, it goes by
// name, so that problems are in a stable order.
func (p *parser) check() {
	p.checkStages()
	for _, name := range sortedNames(p.pipelines) {
		if !slices.ContainsFunc(p.stages, func(s *stageDef) bool { return s.pipeline == name }) {
			p.addProblem(p.pipelines[name].section, "", "no stage", fmt.Sprintf("at least one section [stage %s/NAME]", name))
		}
	}
	for _, name := range sortedNames(p.pools) {
		d := p.pools[name]
		if d.keys.Limit >= 1 && d.keys.ColdLimit > d.keys.Limit {
			p.problems = append(p.problems, d.section.Problem("cold_limit", fmt.Sprintf("at most limit = %d", d.keys.Limit)))
		}
	}
	p.checkTargets()
	credentials := map[string]inicfg.Section{}
	for _, name := range sortedNames(p.accounts) {
		d := p.accounts[name]
		p.checkUnique(credentials, d.section, "credential", "a credential of its own")
	}
}

func (p *parser) checkStages() {
	for _, s := range p.stages {
		p.checkDefined(s.section, "pool", s.keys.Pool, sortedNames(p.pools))
		pipeline, ok := p.pipelines[s.pipeline]
		if !ok {
			p.addProblem(s.section, "", fmt.Sprintf("unknown pipeline %q", s.pipeline), suggestNearest("pipeline", s.pipeline, sortedNames(p.pipelines)))
			continue
		}
		if deadline := pipeline.keys.Deadline; deadline > 0 && s.keys.Timeout > deadline {
			p.problems = append(p.problems, s.section.Problem("timeout",
				fmt.Sprintf("at most the pipeline's deadline = %s at %s", deadline, pipeline.section.Position("deadline"))))
		}
	}
}

func (p *parser) checkTargets() {
	addresses := map[string]inicfg.Section{}
	regions := map[string]*definition[targetKeys]{}
	for _, name := range sortedNames(p.targets) {
		d := p.targets[name]
		p.checkDefined(d.section, "pool", d.keys.Pool, sortedNames(p.pools))
		// Each of two targets with the same address would be granted the whole limit.
		p.checkUnique(addresses, d.section, "address", "an address of its own")
		dc := d.keys.DataCentre
		first, ok := regions[dc]
		switch {
		case dc == "" || d.keys.Region == "":
		case !ok:
			regions[dc] = d
		case first.keys.Region != d.keys.Region:
			p.problems = append(p.problems, d.section.Problem("region",
				fmt.Sprintf("%q, the region of data centre %q at %s", first.keys.Region, dc, first.section.Position("region"))))
		}
	}
}

// checkDefined adds a problem if a section refers to a name that no file defines.
func (p *parser) checkDefined(s inicfg.Section, key, name string, all []string) {
	if name != "" && !slices.Contains(all, name) {
		p.addProblem(s, key, fmt.Sprintf("unknown %s %q", key, name), suggestNearest(key, name, all))
	}
}

// checkUnique adds a problem if an earlier section in seen has the same value.
func (p *parser) checkUnique(seen map[string]inicfg.Section, s inicfg.Section, key, want string) {
	e, ok := s.Entry(key)
	if !ok || e.Value == "" {
		return
	}
	if first, ok := seen[e.Value]; ok {
		p.addProblem(s, key, "the value of "+first.Name+" at "+first.Position(key), want)
		return
	}
	seen[e.Value] = s
}

// suggestNearest returns what is wanted in place of an unknown name.
func suggestNearest(kind, name string, all []string) string {
	if len(all) == 0 {
		return fmt.Sprintf("a section [%s %s]", kind, name)
	}
	return fmt.Sprintf("%q, the nearest of %s", inicfg.Nearest(name, all), strings.Join(all, ", "))
}

func sortedNames[T any](all map[string]*definition[T]) []string { return slices.Sorted(maps.Keys(all)) }
