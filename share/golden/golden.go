// Package golden compares output with golden files in a test. The test flag -update
// rewrites the files with the current output.
package golden

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"

	"github.com/onsi/gomega"
	"github.com/onsi/gomega/types"
)

var update = flag.Bool("update", false, "rewrite golden files and the generated reference")

// Match returns a matcher that compares a string or bytes with the file at path.
func Match(path string) types.GomegaMatcher { return &matcher{path: path} }

type matcher struct {
	path string
	text types.GomegaMatcher
}

// Match compares actual with the file. With -update, it first rewrites the file.
func (m *matcher) Match(actual any) (bool, error) {
	var got string
	switch a := actual.(type) {
	case string:
		got = a
	case []byte:
		got = string(a)
	default:
		return false, fmt.Errorf("golden file: want text or bytes, not %T", actual)
	}
	if *update {
		if err := os.MkdirAll(filepath.Dir(m.path), 0o755); err != nil {
			return false, fmt.Errorf("rewrite golden file: %w", err)
		}
		if err := os.WriteFile(m.path, []byte(got), 0o644); err != nil {
			return false, fmt.Errorf("rewrite golden file: %w", err)
		}
	}
	want, err := os.ReadFile(m.path)
	if err != nil {
		return false, fmt.Errorf("read golden file (go test -update writes it): %w", err)
	}
	m.text = gomega.Equal(string(want))
	return m.text.Match(got)
}

// FailureMessage describes how actual differs from the file.
func (m *matcher) FailureMessage(actual any) string {
	return m.text.FailureMessage(asText(actual)) + "\nfile " + m.path + "; go test -update rewrites it"
}

// NegatedFailureMessage states that actual equals the file.
func (m *matcher) NegatedFailureMessage(actual any) string {
	return m.text.NegatedFailureMessage(asText(actual)) + "\nfile " + m.path
}

// asText returns bytes as a string, for a readable message.
func asText(actual any) string {
	if b, ok := actual.([]byte); ok {
		return string(b)
	}
	return fmt.Sprint(actual)
}
