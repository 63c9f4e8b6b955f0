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

// Size is a number of bytes. Its text form has a unit: B, KiB, MiB, GiB or TiB.
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

// UnmarshalText reads a whole number with a unit.
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

// form is one type that a key may have: how it is read, and what to call it.
type form struct {
	accepts string
	read    func(text string, into reflect.Value) bool
	show    func(v reflect.Value) string
	number  func(v reflect.Value) float64
}

func asInt(v reflect.Value) float64 { return float64(v.Int()) }

func show(v reflect.Value) string { return fmt.Sprint(v.Interface()) }

var durationForm = form{
	accepts: "a duration such as 250ms or 2s",
	read: func(text string, into reflect.Value) bool {
		d, err := time.ParseDuration(text)
		into.SetInt(int64(d))
		return err == nil
	},
	show: show, number: asInt,
}

var sizeForm = form{
	accepts: "a size such as 64MiB",
	read: func(text string, into reflect.Value) bool {
		var s Size
		err := s.UnmarshalText([]byte(text))
		into.SetInt(int64(s))
		return err == nil
	},
	show: show, number: asInt,
}

var listForm = form{
	accepts: "a list separated by commas",
	read: func(text string, into reflect.Value) bool {
		items := []string{}
		for item := range strings.SplitSeq(text, ",") {
			if item = strings.TrimSpace(item); item != "" {
				items = append(items, item)
			}
		}
		into.Set(reflect.ValueOf(items))
		return true
	},
	show: func(v reflect.Value) string { return strings.Join(v.Interface().([]string), ", ") },
}

var kindForms = map[reflect.Kind]form{
	reflect.String: {
		accepts: "text",
		read:    func(text string, into reflect.Value) bool { into.SetString(text); return true },
		show:    show,
	},
	reflect.Bool: {
		accepts: "true or false",
		read: func(text string, into reflect.Value) bool {
			into.SetBool(text == "true")
			return text == "true" || text == "false"
		},
		show: show,
	},
	reflect.Int: {
		accepts: "a whole number",
		read:    readInt,
		show:    show, number: asInt,
	},
	reflect.Int64: {
		accepts: "a whole number",
		read:    readInt,
		show:    show, number: asInt,
	},
	reflect.Float64: {
		accepts: "a number",
		read: func(text string, into reflect.Value) bool {
			f, err := strconv.ParseFloat(text, 64)
			into.SetFloat(f)
			return err == nil && !math.IsNaN(f) && !math.IsInf(f, 0)
		},
		show: show, number: func(v reflect.Value) float64 { return v.Float() },
	},
}

func readInt(text string, into reflect.Value) bool {
	n, err := strconv.ParseInt(text, 10, 64)
	into.SetInt(n)
	return err == nil
}

var textForm = form{
	accepts: "a value of its type",
	read: func(text string, into reflect.Value) bool {
		return into.Addr().Interface().(encoding.TextUnmarshaler).UnmarshalText([]byte(text)) == nil
	},
	show: show,
}

func formOf(t reflect.Type) (form, bool) {
	switch t {
	case reflect.TypeFor[time.Duration](), reflect.TypeFor[units.Duration]():
		return durationForm, true
	case reflect.TypeFor[Size]():
		return sizeForm, true
	case reflect.TypeFor[[]string]():
		return listForm, true
	}
	if reflect.PointerTo(t).Implements(reflect.TypeFor[encoding.TextUnmarshaler]()) {
		return textForm, true
	}
	f, ok := kindForms[t.Kind()]
	return f, ok
}
