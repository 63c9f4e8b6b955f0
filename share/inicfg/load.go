package inicfg

import (
	"fmt"
	"slices"
)

// Override is a value that takes precedence over the file, such as that of a flag. From
// names its source, as in "--operator".
type Override struct {
	Section string
	Key     string
	Value   string
	From    string
}

// Origin is one setting in force and its source: From is "default", "file:line" or the
// From of an Override. The value of a secret is masked.
type Origin struct {
	Section string `json:"section"`
	Key     string `json:"key"`
	Value   string `json:"value"`
	From    string `json:"from"`
}

// Checker is implemented by a settings struct with rules across keys. Check calls report
// for each violated rule; the problem gets the value found and its position.
type Checker interface {
	Check(report func(section, key, want string))
}

// Settings holds the settings in force with their origins.
type Settings struct {
	origins []Origin
}

// Origins returns every setting in force in the order of the table.
func (s *Settings) Origins() []Origin { return slices.Clone(s.origins) }

// Load reads the file at path into dst, a pointer to a struct as Table describes it.
// With an empty path it sets the defaults. The error is a *ProblemsError if the file or
// an override has problems.
func Load(path string, dst any, overrides ...Override) (*Settings, error) {
	if path == "" {
		return load(File{}, nil, dst, overrides)
	}
	file, problems := ReadFile(path)
	return load(file, problems, dst, overrides)
}

// Parse is Load for the content of a file called name.
func Parse(name string, data []byte, dst any, overrides ...Override) (*Settings, error) {
	file, problems := Scan(name, data)
	return load(file, problems, dst, overrides)
}

func load(file File, problems Problems, dst any, overrides []Override) (*Settings, error) {
	groups, err := Table(dst)
	if err != nil {
		return nil, err
	}
	l := loader{file: file, groups: groups, problems: problems, sections: map[string]Section{}}
	l.matchSections()
	settings := &Settings{}
	for _, g := range groups {
		for _, k := range g.Keys {
			settings.origins = append(settings.origins, l.set(k, overrides))
		}
	}
	for _, o := range overrides {
		if !slices.ContainsFunc(settings.origins, func(at Origin) bool { return at.Section == o.Section && at.Key == o.Key }) {
			return nil, fmt.Errorf("settings table: %s overrides [%s] %s, which is not a key of it", o.From, o.Section, o.Key)
		}
	}
	if c, ok := dst.(Checker); ok && len(l.problems) == 0 {
		c.Check(func(section, key, want string) { l.addRuleProblem(settings, section, key, want) })
	}
	return settings, l.problems.Err()
}

// loader holds the state of Load, Parse and Decode.
type loader struct {
	file     File
	groups   []Group
	sections map[string]Section
	problems Problems
}

// matchSections finds the section of each group and reports unknown and repeated
// sections and unknown keys.
func (l *loader) matchSections() {
	known := make([]string, len(l.groups))
	for i, g := range l.groups {
		known[i] = g.Section
	}
	for _, s := range l.file.Sections {
		if s.Name == "" {
			continue
		}
		if first, ok := l.sections[s.Name]; ok {
			p := s.Problem("", "each section once")
			p.Found = "the section a second time, first at " + first.Position("")
			l.problems = append(l.problems, p)
			continue
		}
		i := slices.Index(known, s.Name)
		if i < 0 {
			p := s.Problem("", wantOneOf(s.Name, known))
			p.Found = fmt.Sprintf("unknown section %q", s.Name)
			l.problems = append(l.problems, p)
			continue
		}
		l.sections[s.Name] = s
		l.problems = append(l.problems, unknownKeys(s, l.groups[i].Keys)...)
	}
}

func unknownKeys(s Section, keys []Key) Problems {
	names := make([]string, len(keys))
	for i, k := range keys {
		names[i] = k.Name
	}
	var problems Problems
	for _, e := range s.Entries {
		if !slices.Contains(names, e.Key) {
			p := s.Problem(e.Key, wantOneOf(e.Key, names))
			p.Found = fmt.Sprintf("unknown key %q", e.Key)
			problems = append(problems, p)
		}
	}
	return problems
}

// set sets the field of a key from its override, else from the file, else from the
// default, and reports a value that is not accepted.
func (l *loader) set(k Key, overrides []Override) Origin {
	section, ok := l.sections[k.Section]
	if !ok {
		section = Section{File: l.file.Name, Name: k.Section}
	}
	text, from := k.Default, "default"
	p := section.Problem(k.Name, k.Accepts)
	if e, ok := section.Entry(k.Name); ok {
		text, from = e.Value, section.Position(k.Name)
	}
	for _, o := range overrides {
		if o.Section == k.Section && o.Key == k.Name {
			text, from = o.Value, o.From
			p.File, p.Line, p.Found = o.From, 0, fmt.Sprintf("%q", o.Value)
		}
	}
	if !k.set(text) {
		if p.File == "" {
			p.File = "settings"
		}
		if k.Secret {
			p.Found = "a value not shown"
		}
		l.problems = append(l.problems, p)
	}
	return Origin{Section: k.Section, Key: k.Name, Value: k.display(), From: from}
}

// addRuleProblem reports a violated rule across keys. The position is that of the value
// in the file, unless an override or the default is in force.
func (l *loader) addRuleProblem(s *Settings, section, key, want string) {
	for _, o := range s.origins {
		if o.Section != section || o.Key != key {
			continue
		}
		p := Problem{File: o.From, Section: section, Key: key, Found: fmt.Sprintf("%q", o.Value), Want: want}
		if at, ok := l.sections[section]; ok {
			if e, ok := at.Entry(key); ok && o.From == at.Position(key) {
				p.File, p.Line = at.File, e.Line
			}
		}
		l.problems = append(l.problems, p)
	}
}

// Decode reads one section into the struct that dst points to, as Keys describes it.
func Decode(s Section, dst any) (Problems, error) {
	keys, err := Keys(s.Name, dst)
	if err != nil {
		return nil, err
	}
	l := loader{file: File{Name: s.File}, sections: map[string]Section{s.Name: s}}
	l.problems = unknownKeys(s, keys)
	for _, k := range keys {
		l.set(k, nil)
	}
	return l.problems, nil
}
