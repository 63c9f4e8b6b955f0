// Package units defines value types whose text form has a unit.
package units

import (
	"fmt"
	"time"
)

// Duration is a time.Duration that is encoded as by its String method, such as "1.5s".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String formats d with its unit.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText formats d with its unit.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText parses a duration with its unit.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("duration %q: want a number with a unit such as 250ms or 2s", text)
	}
	*d = Duration(v)
	return nil
}
