// Package units holds small value types whose text form carries a unit.
package units

import (
	"fmt"
	"time"
)

// Duration is a time.Duration whose text form is Go's, such as "1.5s".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String returns d with its unit.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText writes d with its unit.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText reads a duration with its unit.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("duration %q: want a number with a unit such as 250ms or 2s", text)
	}
	*d = Duration(v)
	return nil
}
