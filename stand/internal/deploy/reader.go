package deploy

import (
	"time"

	"github.com/samber/oops"
	"gopkg.in/ini.v1"
)

// reader reads the keys of a section and holds the first error.
type reader struct {
	section *ini.Section
	err     error
}

// setError sets the error unless there is one already.
func (r *reader) setError(format string, args ...any) {
	if r.err == nil {
		r.err = oops.Errorf(format, args...)
	}
}

func (r *reader) text(key string) string {
	if !r.section.HasKey(key) {
		r.setError("key %q is missing", key)
		return ""
	}
	return r.section.Key(key).String()
}

func (r *reader) integer(key string) int {
	if !r.section.HasKey(key) {
		r.setError("key %q is missing", key)
	}
	return r.optionalInteger(key)
}

func (r *reader) optionalInteger(key string) int {
	return parse(r, key, func(k *ini.Key) (int, error) { return k.Int() })
}

func (r *reader) number(key string) float64 {
	if !r.section.HasKey(key) {
		r.setError("key %q is missing", key)
	}
	return r.optionalNumber(key)
}

func (r *reader) optionalNumber(key string) float64 {
	return parse(r, key, func(k *ini.Key) (float64, error) { return k.Float64() })
}

func (r *reader) duration(key string) time.Duration {
	if !r.section.HasKey(key) {
		r.setError("key %q is missing", key)
	}
	return r.optionalDuration(key)
}

func (r *reader) optionalDuration(key string) time.Duration {
	return parse(r, key, func(k *ini.Key) (time.Duration, error) { return k.Duration() })
}

// parse returns the parsed value of a key, or the zero value if the section doesn't have it.
func parse[T any](r *reader, key string, read func(*ini.Key) (T, error)) T {
	var zero T
	if !r.section.HasKey(key) {
		return zero
	}
	v, err := read(r.section.Key(key))
	if err != nil {
		r.setError("key %q: %v", key, err)
		return zero
	}
	return v
}
