// Package inicfg reads settings from INI files into structs whose tags form a table of
// keys. It reports all problems of a file at once, each with file, line, section and key.
package inicfg

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/agnivade/levenshtein"
)

// Problem is one problem of a file or an override. Line counts from 1 and is 0 if the
// problem belongs to no line. Found describes the value, Want what is accepted.
type Problem struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	Found   string `json:"found"`
	Want    string `json:"want"`
}

// String returns the problem on one line.
func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	b.WriteString(":")
	if p.Section != "" {
		fmt.Fprintf(&b, " [%s]", p.Section)
	}
	if p.Key != "" {
		fmt.Fprintf(&b, " %s", p.Key)
	}
	if p.Section != "" || p.Key != "" {
		b.WriteString(":")
	}
	fmt.Fprintf(&b, " found %s, want %s", p.Found, p.Want)
	return b.String()
}

// Problems is a list of problems in the order in which they were found.
type Problems []Problem

// Err returns the problems in order of file and line as a *ProblemsError, or nil if
// there are none.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	sorted := slices.Clone(ps)
	slices.SortStableFunc(sorted, func(a, b Problem) int {
		return cmp.Or(strings.Compare(a.File, b.File), a.Line-b.Line)
	})
	return &ProblemsError{problems: sorted}
}

// ProblemsError is the error for files with problems.
type ProblemsError struct{ problems Problems }

// Problems returns the problems in order of file and line. The caller must not change
// them.
func (e *ProblemsError) Problems() Problems { return e.problems }

// Error returns one line for each problem.
func (e *ProblemsError) Error() string {
	lines := make([]string, len(e.problems))
	for i, p := range e.problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Nearest returns the known name with the smallest edit distance to name; on a tie, the
// first of them.
func Nearest(name string, known []string) string {
	best, distance := "", 0
	for _, k := range known {
		if d := levenshtein.ComputeDistance(name, k); best == "" || d < distance {
			best, distance = k, d
		}
	}
	return best
}

// wantOneOf describes the known names for Problem.Want, starting with the one nearest to
// name.
func wantOneOf(name string, known []string) string {
	switch len(known) {
	case 0:
		return "nothing here"
	case 1:
		return fmt.Sprintf("%q", known[0])
	}
	return fmt.Sprintf("%q, the nearest of %s", Nearest(name, known), strings.Join(known, ", "))
}
