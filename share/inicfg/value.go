package inicfg

import (
	"encoding"
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"
	"time"

	"chivepost/share/units"
)

// Size is a number of bytes. Its text form ends with a unit: B, KiB, MiB, GiB or TiB.
type Size int64

var sizeUnits = []struct {
	name  string
	bytes Size
}{{"TiB", 1 << 40}, {"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// String returns the size in the largest unit that divides it.
func (s Size) String() string {
	for _, u := range sizeUnits {
		if s != 0 && s%u.bytes == 0 {
			return fmt.Sprintf("%d%s", s/u.bytes, u.name)
		}
	}
	return "0B"
}

// MarshalText writes the size with its unit.
func (s Size) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText parses a whole number with a unit.
func (s *Size) UnmarshalText(text []byte) error {
	for _, u := range sizeUnits {
		digits, ok := strings.CutSuffix(string(text), u.name)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || n < 0 || n > math.MaxInt64/int64(u.bytes) {
			break
		}
		*s = Size(n) * u.bytes
		return nil
	}
	return fmt.Errorf("size %q: want a whole number with a unit such as 64MiB", text)
}

// valueType describes a type that a key may have. accepts describes its values; number is
// nil for types that can't be compared with a bound.
type valueType struct {
	accepts string
	parse   func(text string, into reflect.Value) bool
	format  func(v reflect.Value) string
	number  func(v reflect.Value) float64
}

func asInt(v reflect.Value) float64 { return float64(v.Int()) }

func formatAny(v reflect.Value) string { return fmt.Sprint(v.Interface()) }

var durationType = valueType{
	accepts: "a duration such as 250ms or 2s",
	parse: func(text string, into reflect.Value) bool {
		d, err := time.ParseDuration(text)
		into.SetInt(int64(d))
		return err == nil
	},
	format: formatAny, number: asInt,
}

var sizeType = valueType{
	accepts: "a size such as 64MiB",
	parse: func(text string, into reflect.Value) bool {
		var s Size
		err := s.UnmarshalText([]byte(text))
		into.SetInt(int64(s))
		return err == nil
	},
	format: formatAny, number: asInt,
}

var listType = valueType{
	accepts: "a list separated by commas",
	parse: func(text string, into reflect.Value) bool {
		items := []string{}
		for item := range strings.SplitSeq(text, ",") {
			if item = strings.TrimSpace(item); item != "" {
				items = append(items, item)
			}
		}
		into.Set(reflect.ValueOf(items))
		return true
	},
	format: func(v reflect.Value) string { return strings.Join(v.Interface().([]string), ", ") },
}

var kindTypes = map[reflect.Kind]valueType{
	reflect.String: {
		accepts: "text",
		parse:   func(text string, into reflect.Value) bool { into.SetString(text); return true },
		format:  formatAny,
	},
	reflect.Bool: {
		accepts: "true or false",
		parse: func(text string, into reflect.Value) bool {
			into.SetBool(text == "true")
			return text == "true" || text == "false"
		},
		format: formatAny,
	},
	reflect.Int: {
		accepts: "a whole number",
		parse:   parseInt,
		format:  formatAny, number: asInt,
	},
	reflect.Int64: {
		accepts: "a whole number",
		parse:   parseInt,
		format:  formatAny, number: asInt,
	},
	reflect.Float64: {
		accepts: "a number",
		parse: func(text string, into reflect.Value) bool {
			f, err := strconv.ParseFloat(text, 64)
			into.SetFloat(f)
			return err == nil && !math.IsNaN(f) && !math.IsInf(f, 0)
		},
		format: formatAny, number: func(v reflect.Value) float64 { return v.Float() },
	},
}

func parseInt(text string, into reflect.Value) bool {
	n, err := strconv.ParseInt(text, 10, 64)
	into.SetInt(n)
	return err == nil
}

var textType = valueType{
	accepts: "a value of its type",
	parse: func(text string, into reflect.Value) bool {
		return into.Addr().Interface().(encoding.TextUnmarshaler).UnmarshalText([]byte(text)) == nil
	},
	format: formatAny,
}

func valueTypeOf(t reflect.Type) (valueType, bool) {
	switch t {
	case reflect.TypeFor[time.Duration](), reflect.TypeFor[units.Duration]():
		return durationType, true
	case reflect.TypeFor[Size]():
		return sizeType, true
	case reflect.TypeFor[[]string]():
		return listType, true
	}
	if reflect.PointerTo(t).Implements(reflect.TypeFor[encoding.TextUnmarshaler]()) {
		return textType, true
	}
	vt, ok := kindTypes[t.Kind()]
	return vt, ok
}
