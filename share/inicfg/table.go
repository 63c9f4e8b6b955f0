package inicfg

import (
	"fmt"
	"reflect"
	"strings"
)

// Key is one key of a settings table. Accepts describes the accepted values.
type Key struct {
	Section  string
	Name     string
	Default  string
	Doc      string
	Accepts  string
	Required bool
	Secret   bool

	value     reflect.Value
	valueType valueType
	rules     []rule
}

// Group is one section of a settings table.
type Group struct {
	Section string
	Doc     string
	Keys    []Key
}

// Table returns the settings table of the struct that dst points to. Each field of *dst
// is a struct with the tag `section:"name"`; each field of that struct has the tag
// `key:"name"` and, as needed, `default:"..."`, `doc:"..."` and `check:"..."`.
// Fields without the tag section or key are ignored.
//
// The checks, separated by commas, are required, secret (not printed), min=, max=,
// above=, below= (numbers, durations, sizes), oneof=a|b, name, word, address,
// addresses, url and sha256. Types are string, bool, int, int64, float64, []string,
// time.Duration, units.Duration, Size and any encoding.TextUnmarshaler.
// The error names the field with a faulty tag or type.
func Table(dst any) ([]Group, error) {
	v, err := structOf(dst)
	if err != nil {
		return nil, err
	}
	var groups []Group
	for i := range v.NumField() {
		field := v.Type().Field(i)
		section := field.Tag.Get("section")
		if section == "" {
			continue
		}
		keys, err := keysOf(section, v.Field(i))
		if err != nil {
			return nil, err
		}
		groups = append(groups, Group{Section: section, Doc: field.Tag.Get("doc"), Keys: keys})
	}
	return groups, nil
}

// Keys returns the keys of the struct that dst points to, which describes one section.
func Keys(section string, dst any) ([]Key, error) {
	v, err := structOf(dst)
	if err != nil {
		return nil, err
	}
	return keysOf(section, v)
}

func structOf(dst any) (reflect.Value, error) {
	v := reflect.ValueOf(dst)
	if v.Kind() != reflect.Pointer || v.IsNil() || v.Elem().Kind() != reflect.Struct {
		return v, fmt.Errorf("settings table: want a pointer to a struct, not %T", dst)
	}
	return v.Elem(), nil
}

func keysOf(section string, v reflect.Value) ([]Key, error) {
	if v.Kind() != reflect.Struct {
		return nil, fmt.Errorf("settings table: section %q: want a struct, not %s", section, v.Type())
	}
	var keys []Key
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if field.Tag.Get("key") == "" {
			continue
		}
		key, err := newKey(section, field, v.Field(i))
		if err != nil {
			return nil, fmt.Errorf("settings table: section %q, field %s: %w", section, field.Name, err)
		}
		keys = append(keys, key)
	}
	return keys, nil
}

func newKey(section string, field reflect.StructField, v reflect.Value) (Key, error) {
	vt, ok := valueTypeOf(field.Type)
	if !ok || !field.IsExported() {
		return Key{}, fmt.Errorf("type %s cannot be read", field.Type)
	}
	k := Key{
		Section: section, Name: field.Tag.Get("key"), Default: field.Tag.Get("default"),
		Doc: field.Tag.Get("doc"), value: v, valueType: vt,
	}
	accepts, extra := vt.accepts, []string{}
	for text := range strings.SplitSeq(field.Tag.Get("check"), ",") {
		switch text {
		case "":
		case "required":
			k.Required = true
		case "secret":
			k.Secret = true
		default:
			r, err := newRule(text, vt, field.Type)
			if err != nil {
				return Key{}, err
			}
			k.rules = append(k.rules, r)
			if r.replaces {
				accepts = r.accepts
			} else {
				extra = append(extra, r.accepts)
			}
		}
	}
	k.Accepts = accepts
	if len(extra) > 0 {
		k.Accepts += ", " + strings.Join(extra, " and ")
	}
	scratch := reflect.New(field.Type).Elem()
	if k.Default != "" && !k.parse(k.Default, scratch) {
		return Key{}, fmt.Errorf("default %q is not %s", k.Default, k.Accepts)
	}
	return k, nil
}

// parse parses text into v and reports whether the type and all rules accept it.
func (k Key) parse(text string, v reflect.Value) bool {
	if !k.valueType.parse(text, v) {
		return false
	}
	for _, r := range k.rules {
		if !r.holds(v, text) {
			return false
		}
	}
	return true
}

// set sets the field from text and reports whether text is accepted. An empty text means
// "not set": the field becomes its zero value, which a required key doesn't accept.
func (k Key) set(text string) bool {
	scratch := reflect.New(k.value.Type()).Elem()
	if text == "" {
		k.value.Set(scratch)
		return !k.Required
	}
	if !k.parse(text, scratch) {
		return false
	}
	k.value.Set(scratch)
	return true
}

// display returns the key's value as text. A secret that is set is masked.
func (k Key) display() string {
	if k.Secret && !k.value.IsZero() {
		return "***"
	}
	return k.valueType.format(k.value)
}
