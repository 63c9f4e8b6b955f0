// Package expect computes the answer that the stand-in targets give to a request.
package expect

import (
	"os"

	"github.com/samber/oops"

	"chivepost/share/bundle"
	"chivepost/share/target"
)

// ReadConfig reads a configuration file in the encoded form that chive-stand plan writes.
func ReadConfig(path string) (*bundle.Bundle, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, oops.Wrapf(err, "read configuration")
	}
	b, err := bundle.Decode(data)
	return b, oops.With("path", path).Wrapf(err, "decode configuration")
}

// Output returns the expected answer of a pipeline to the input. The output of each stage
// is the input of the next.
func Output(b *bundle.Bundle, pipeline, input string) (string, error) {
	p, ok := b.Pipeline(pipeline)
	if !ok {
		return "", oops.Errorf("the configuration has no pipeline %q", pipeline)
	}
	text := input
	for _, s := range p.Stages() {
		pool, ok := b.Pool(s.Pool)
		if !ok {
			return "", oops.Errorf("the configuration has no pool %q", s.Pool)
		}
		text = target.ExpectedOutput(pool.Kind, pool.Name, text)
	}
	return text, nil
}

// AtMostOnce reports whether the pipeline has a stage whose calls may run at most once.
func AtMostOnce(b *bundle.Bundle, pipeline string) bool {
	p, ok := b.Pipeline(pipeline)
	if !ok {
		return false
	}
	for _, s := range p.Stages() {
		if pool, ok := b.Pool(s.Pool); ok && !pool.Retryable {
			return true
		}
	}
	return false
}
