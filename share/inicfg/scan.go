package inicfg

import (
	"fmt"
	"os"
	"strings"
	"unicode"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

// File is a scanned file with its sections in file order.
type File struct {
	Name     string
	Sections []Section
}

// Section is one "[name]" block. Each run of spaces in Name is reduced to one space.
type Section struct {
	File    string
	Name    string
	Line    int
	Entries []Entry
}

// Entry is one "key = value" line. Value is without quotes and comment.
type Entry struct {
	Key   string
	Value string
	Line  int
}

// Entry returns the entry with the given key.
func (s Section) Entry(key string) (Entry, bool) {
	for _, e := range s.Entries {
		if e.Key == key {
			return e, true
		}
	}
	return Entry{}, false
}

// Problem returns a problem with the value of key, or with the section if key is empty or
// missing.
func (s Section) Problem(key, want string) Problem {
	p := Problem{File: s.File, Line: s.Line, Section: s.Name, Key: key, Found: "nothing", Want: want}
	if e, ok := s.Entry(key); ok {
		p.Line, p.Found = e.Line, fmt.Sprintf("%q", e.Value)
	}
	return p
}

// Position returns "file:line" of key, or of the section if key is missing.
func (s Section) Position(key string) string {
	line := s.Line
	if e, ok := s.Entry(key); ok {
		line = e.Line
	}
	return fmt.Sprintf("%s:%d", s.File, line)
}

// ReadFile reads and scans the file at path.
func ReadFile(path string) (File, Problems) {
	data, err := os.ReadFile(path)
	if err != nil {
		return File{Name: path}, Problems{{File: path, Found: err.Error(), Want: "a readable file"}}
	}
	return Scan(path, data)
}

// Scan splits data into sections. The ini library parses the values. It gives no line
// numbers and merges repeated sections and keys, so each section is passed to it under a
// unique name, and lines that it would parse in an unexpected way are reported.
func Scan(name string, data []byte) (File, Problems) {
	s := scanner{file: File{Name: name}}
	text := strings.TrimPrefix(string(data), "\uFEFF")
	for i, line := range strings.Split(text, "\n") {
		s.line = i + 1
		s.scanLine(strings.TrimSuffix(line, "\r"))
	}
	s.readValues()
	return s.file, s.problems
}

// scanner collects the sections and keys of a file line by line. normalised is the text
// for the ini library: unique section names, and only the keys without a problem.
type scanner struct {
	file       File
	line       int
	normalised strings.Builder
	problems   Problems
}

func (s *scanner) scanLine(line string) {
	// These two problems and that of values on several lines don't quote the line, which may
	// contain a secret.
	if !utf8.ValidString(line) {
		s.addProblem("", "bytes that are not UTF-8", "UTF-8 text")
		return
	}
	if i := strings.IndexFunc(line, isControl); i >= 0 {
		s.addProblem("", fmt.Sprintf("a control character at byte %d", i+1), "text without control characters")
		return
	}
	line = strings.TrimSpace(line)
	switch {
	case line == "" || line[0] == '#' || line[0] == ';':
	case line[0] == '[':
		s.scanHeader(line)
	default:
		s.scanEntry(line)
	}
}

func isControl(r rune) bool { return unicode.IsControl(r) && r != '\t' }

func (s *scanner) scanHeader(line string) {
	inner, rest, ok := strings.Cut(line[1:], "]")
	rest = strings.TrimSpace(rest)
	name := strings.Join(strings.Fields(inner), " ")
	if !ok || name == "" || (rest != "" && rest[0] != '#' && rest[0] != ';') {
		s.addProblem("", fmt.Sprintf("%q", line), "a section header such as [name]")
		// The keys that follow belong to no known section. They are collected under an empty
		// name and not checked.
		name = ""
	}
	s.file.Sections = append(s.file.Sections, Section{File: s.file.Name, Name: name, Line: s.line})
	fmt.Fprintf(&s.normalised, "[s%d]\n", len(s.file.Sections)-1)
}

func (s *scanner) scanEntry(line string) {
	key, value, ok := strings.Cut(line, "=")
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)
	switch {
	case !ok || !isWord(key):
		s.addProblem("", fmt.Sprintf("%q", line), "a line such as key = value")
		return
	case strings.HasPrefix(value, `"""`) || strings.HasPrefix(value, "`"):
		s.addProblem(key, "the start of a value on several lines", "a value on one line")
		return
	case len(s.file.Sections) == 0:
		s.addProblem(key, "a key before the first section", "a section header such as [name] above it")
		return
	}
	value, ok = cutComment(value)
	if !ok {
		s.addProblem(key, "a quoted value with no end or with text after it", `a value such as "text", with \" for a quote in it`)
		return
	}
	section := &s.file.Sections[len(s.file.Sections)-1]
	if first, ok := section.Entry(key); ok {
		s.addProblem(key, fmt.Sprintf("the key a second time, first at %s:%d", s.file.Name, first.Line), "each key once")
		return
	}
	section.Entries = append(section.Entries, Entry{Key: key, Line: s.line})
	fmt.Fprintf(&s.normalised, "%s = %s\n", key, value)
}

// cutComment removes the comment after a value in double quotes, and reports whether the
// quotes are closed and only a comment follows. The library would read on to the last
// quote of the line or to the next line.
func cutComment(value string) (string, bool) {
	if !strings.HasPrefix(value, `"`) {
		return value, true
	}
	for i := 1; i < len(value); i++ {
		switch value[i] {
		case '\\':
			i++
		case '"':
			rest := strings.TrimSpace(value[i+1:])
			return value[:i+1], rest == "" || rest[0] == '#' || rest[0] == ';'
		}
	}
	return value, false
}

func isWord(key string) bool {
	return key != "" && strings.IndexFunc(key, func(r rune) bool {
		return r != '_' && r != '-' && r != '.' && !unicode.IsLetter(r) && !unicode.IsDigit(r)
	}) < 0 && key != "-"
}

func (s *scanner) addProblem(key, found, want string) {
	p := Problem{File: s.file.Name, Line: s.line, Key: key, Found: found, Want: want}
	if n := len(s.file.Sections); n > 0 {
		p.Section = s.file.Sections[n-1].Name
	}
	s.problems = append(s.problems, p)
}

// readValues parses the normalised text with the ini library and fills in the values.
func (s *scanner) readValues() {
	options := ini.LoadOptions{
		IgnoreContinuation:         true,
		SpaceBeforeInlineComment:   true,
		KeyValueDelimiters:         "=",
		SkipUnrecognizableLines:    false,
		UnescapeValueDoubleQuotes:  true,
		AllowPythonMultilineValues: false,
	}
	parsed, err := ini.LoadSources(options, []byte(s.normalised.String()))
	if err != nil {
		s.line = 0
		s.addProblem("", err.Error(), "an INI file")
		return
	}
	for i := range s.file.Sections {
		keys := parsed.Section(fmt.Sprintf("s%d", i)).Keys()
		entries := s.file.Sections[i].Entries
		for j := range entries {
			if j >= len(keys) || keys[j].Name() != entries[j].Key {
				s.line = entries[j].Line
				s.addProblem(entries[j].Key, "a line that the INI library reads in another way", "a line such as key = value")
				break
			}
			entries[j].Value = keys[j].Value()
		}
	}
}
