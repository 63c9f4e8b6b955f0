package bundle

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"chivepost/share/inicfg"
)

// ServiceFile is the name of the files that ParseDir collects.
const ServiceFile = "service.ini"

// Source is the content of a service file. Name identifies it in problems.
type Source struct {
	Name string
	Data []byte
}

// ParseDir parses all service.ini files below root, at any depth, in the order of their
// paths. It skips folders whose names start with a dot. If the files are missing or
// invalid, the error is an *inicfg.ProblemsError with the problems of all files.
func ParseDir(root string) (Doc, error) {
	sources, err := collect(root)
	if err != nil {
		return Doc{}, err
	}
	if len(sources) == 0 {
		missing := inicfg.Problem{File: root, Found: "no " + ServiceFile, Want: "at least one below this folder"}
		return Doc{}, inicfg.Problems{missing}.Err()
	}
	return Parse(sources...)
}

func collect(root string) ([]Source, error) {
	var sources []Source
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && path != root && strings.HasPrefix(entry.Name(), "."):
			return fs.SkipDir
		case entry.IsDir() || entry.Name() != ServiceFile:
			return nil
		}
		data, err := os.ReadFile(path)
		sources = append(sources, Source{Name: path, Data: data})
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("collect service files: %w", err)
	}
	slices.SortFunc(sources, func(a, b Source) int { return strings.Compare(a.Name, b.Name) })
	return sources, nil
}

// Parse parses service files in the given order. The document is sorted by name, so that
// its encoding does not depend on the order of sections, except for the stages of a
// pipeline. DataCentresOut is empty, because operators set it.
func Parse(sources ...Source) (Doc, error) {
	p := newParser()
	for _, s := range sources {
		file, problems := inicfg.Scan(s.Name, s.Data)
		p.problems = append(p.problems, problems...)
		for _, section := range file.Sections {
			p.parseSection(section)
		}
	}
	p.check()
	if err := p.problems.Err(); err != nil {
		return Doc{}, err
	}
	doc := p.buildDoc()
	if _, err := New(doc); err != nil {
		return Doc{}, fmt.Errorf("check configuration: %w", err)
	}
	return doc, nil
}

// Verify applies the rules of service files to a document that was not parsed from them,
// such as that of a publish call. The error gives line numbers of Format(doc).
func Verify(doc Doc) error {
	parsed, err := Parse(Source{Name: "document", Data: []byte(Format(doc))})
	if err != nil {
		return err
	}
	var problems inicfg.Problems
	for i, dc := range doc.DataCentresOut {
		if !inicfg.IsName(dc) || slices.Contains(doc.DataCentresOut[:i], dc) {
			problems = append(problems, inicfg.Problem{File: "document", Key: "out", Found: fmt.Sprintf("%q", dc), Want: inicfg.NameWant + ", each once"})
		}
	}
	sortedDoc := doc.sorted()
	parsed.DataCentresOut = sortedDoc.DataCentresOut
	a, errA := json.Marshal(parsed)
	b, errB := json.Marshal(sortedDoc)
	if err := errors.Join(errA, errB); err != nil {
		return fmt.Errorf("encode configuration: %w", err)
	}
	if len(problems) == 0 && !bytes.Equal(a, b) {
		problems = append(problems, inicfg.Problem{File: "document", Found: "a value that service files cannot have", Want: "a document that service files can express"})
	}
	return problems.Err()
}

// sorted returns a copy that is sorted by name and has empty lists instead of nil.
func (d Doc) sorted() Doc {
	c := Doc{
		Pipelines: append([]PipelineDoc{}, d.Pipelines...), Pools: append([]PoolDoc{}, d.Pools...),
		Targets: append([]TargetDoc{}, d.Targets...), Accounts: append([]AccountDoc{}, d.Accounts...), DataCentresOut: append([]string{}, d.DataCentresOut...),
	}
	c.Sort()
	return c
}

// Sort sorts each list by name, except for stages, whose order has a meaning.
func (d *Doc) Sort() {
	slices.SortFunc(d.Pipelines, func(a, b PipelineDoc) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(d.Pools, func(a, b PoolDoc) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(d.Targets, func(a, b TargetDoc) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(d.Accounts, func(a, b AccountDoc) int { return strings.Compare(a.Name, b.Name) })
	slices.Sort(d.DataCentresOut)
}

// definition is a section that defines a name, with its decoded keys.
type definition[T any] struct {
	section inicfg.Section
	keys    T
}

// parser collects the definitions and problems of service files.
type parser struct {
	pipelines map[string]*definition[pipelineKeys]
	pools     map[string]*definition[poolKeys]
	targets   map[string]*definition[targetKeys]
	accounts  map[string]*definition[accountKeys]
	stages    []*stageDef
	problems  inicfg.Problems
}

// stageDef is the definition of a stage.
type stageDef struct {
	definition[stageKeys]
	pipeline string
	name     string
}

func newParser() *parser {
	return &parser{
		pipelines: map[string]*definition[pipelineKeys]{},
		pools:     map[string]*definition[poolKeys]{},
		targets:   map[string]*definition[targetKeys]{},
		accounts:  map[string]*definition[accountKeys]{},
	}
}

// parseSection parses one section. inicfg.Scan has already reported an empty name.
func (p *parser) parseSection(s inicfg.Section) {
	if s.Name == "" {
		return
	}
	kind, name, _ := strings.Cut(s.Name, " ")
	switch kind {
	case "pipeline":
		define(p, p.pipelines, s, name)
	case "pool":
		define(p, p.pools, s, name)
	case "target":
		define(p, p.targets, s, name)
	case "account":
		define(p, p.accounts, s, name)
	case "stage":
		p.parseStage(s, name)
	default:
		kinds := sectionKinds()
		p.addProblem(s, "", fmt.Sprintf("unknown section %q", s.Name), fmt.Sprintf("[%s NAME], the nearest of %s",
			inicfg.Nearest(kind, kinds), strings.Join(kinds, ", ")))
	}
}

// define adds the definition in a section to all, or a problem if its name is invalid or
// already defined.
func define[T any](p *parser, all map[string]*definition[T], s inicfg.Section, name string) {
	if !inicfg.IsName(name) {
		p.addProblem(s, "", fmt.Sprintf("name %q", name), inicfg.NameWant)
		return
	}
	d := &definition[T]{section: s}
	p.decodeKeys(s, &d.keys)
	if first, ok := all[name]; ok {
		p.addDuplicate(s, first.section)
		return
	}
	all[name] = d
}

func (p *parser) parseStage(s inicfg.Section, path string) {
	pipeline, name, ok := strings.Cut(path, "/")
	if !ok || !inicfg.IsName(pipeline) || !inicfg.IsName(name) {
		p.addProblem(s, "", fmt.Sprintf("name %q", path), "PIPELINE/STAGE, each "+inicfg.NameWant)
		return
	}
	d := &stageDef{pipeline: pipeline, name: name, definition: definition[stageKeys]{section: s}}
	p.decodeKeys(s, &d.keys)
	for _, first := range p.stages {
		if first.pipeline == pipeline && first.name == name {
			p.addDuplicate(s, first.section)
			return
		}
	}
	p.stages = append(p.stages, d)
}

func (p *parser) decodeKeys(s inicfg.Section, keys any) {
	problems, err := inicfg.Decode(s, keys)
	if err != nil {
		p.addProblem(s, "", err.Error(), "a valid key table")
	}
	p.problems = append(p.problems, problems...)
}

func (p *parser) addDuplicate(s, first inicfg.Section) {
	p.addProblem(s, "", "a second definition, the first at "+first.Position(""), "each name once")
}

func (p *parser) addProblem(s inicfg.Section, key, found, want string) {
	problem := s.Problem(key, want)
	problem.Found = found
	p.problems = append(p.problems, problem)
}

// buildDoc returns the document with all definitions, sorted by name.
func (p *parser) buildDoc() Doc {
	d := Doc{Pipelines: []PipelineDoc{}, Pools: []PoolDoc{}, Targets: []TargetDoc{}, Accounts: []AccountDoc{}, DataCentresOut: []string{}}
	for name, v := range p.pipelines {
		d.Pipelines = append(d.Pipelines, PipelineDoc{
			Name: name, Deadline: v.keys.Deadline, Objective: v.keys.Objective, Stages: p.stagesOf(name),
		})
	}
	for name, v := range p.pools {
		d.Pools = append(d.Pools, PoolDoc{
			Name: name, Kind: Kind(v.keys.Kind), Retryable: v.keys.Repeat == repeatAny,
			ChecksFence: v.keys.ChecksFence, Limit: v.keys.Limit, ColdLimit: v.keys.ColdLimit,
		})
	}
	for name, v := range p.targets {
		d.Targets = append(d.Targets, TargetDoc{
			Name: name, Pool: v.keys.Pool, DataCentre: v.keys.DataCentre, Region: v.keys.Region, Address: v.keys.Address,
		})
	}
	for name, v := range p.accounts {
		d.Accounts = append(d.Accounts, AccountDoc{Name: name, Credential: v.keys.Credential, Share: v.keys.Share})
	}
	d.Sort()
	return d
}

func (p *parser) stagesOf(pipeline string) []StageDoc {
	stages := []StageDoc{}
	for _, s := range p.stages {
		if s.pipeline == pipeline {
			stages = append(stages, StageDoc{Name: s.name, Pool: s.keys.Pool, Model: s.keys.Model, Timeout: s.keys.Timeout})
		}
	}
	return stages
}
