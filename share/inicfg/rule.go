package inicfg

import (
	"fmt"
	"net/netip"
	"net/url"
	"reflect"
	"regexp"
	"slices"
	"strings"
)

// rule is one check of a value. accepts describes the accepted values in the text of
// Problem.Want and in the reference.
type rule struct {
	accepts string
	// replaces means that accepts replaces the description of the value's type instead
	// of adding to it.
	replaces bool
	holds    func(v reflect.Value, text string) bool
}

var (
	namePattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
	wordPattern   = regexp.MustCompile("^[^\\s\"'`#;\\\\]+$")
	sha256Pattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// IsName reports whether text is a valid name of a host, pipeline, pool, target or client
// account.
func IsName(text string) bool { return namePattern.MatchString(text) }

// NameWant describes the names that IsName accepts.
const NameWant = "a name of letters, digits, '.', '_' and '-'"

// textRules holds the checks without an argument by name.
var textRules = map[string]rule{
	"name":    {accepts: NameWant, holds: func(_ reflect.Value, text string) bool { return IsName(text) }},
	"address": {accepts: "an ip:port such as 127.0.0.1:7000", holds: func(_ reflect.Value, text string) bool { return isAddress(text) }},
	"url":     {accepts: "a URL such as http://127.0.0.1:7000", holds: func(_ reflect.Value, text string) bool { return isURL(text) }},
	"sha256":  {accepts: "64 lower-case hex digits, the SHA-256 of the secret", holds: func(_ reflect.Value, text string) bool { return sha256Pattern.MatchString(text) }},
	"word":    {accepts: "text without spaces, quotes, backslashes, '#' and ';'", holds: func(_ reflect.Value, text string) bool { return wordPattern.MatchString(text) }},
	"addresses": {accepts: "a list of ip:port separated by commas", holds: func(v reflect.Value, _ string) bool {
		return !slices.ContainsFunc(v.Interface().([]string), func(a string) bool { return !isAddress(a) })
	}},
}

func isAddress(text string) bool {
	a, err := netip.ParseAddrPort(text)
	return err == nil && a.Port() != 0
}

func isURL(text string) bool {
	u, err := url.Parse(text)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}

// bounds holds the checks that compare a number, duration or size with an argument.
var bounds = map[string]struct {
	words string
	holds func(v, bound float64) bool
}{
	"min":   {"at least", func(v, bound float64) bool { return v >= bound }},
	"max":   {"at most", func(v, bound float64) bool { return v <= bound }},
	"above": {"above", func(v, bound float64) bool { return v > bound }},
	"below": {"below", func(v, bound float64) bool { return v < bound }},
}

// newRule parses one check of a tag for a key of type t.
func newRule(text string, vt valueType, t reflect.Type) (rule, error) {
	name, arg, _ := strings.Cut(text, "=")
	if r, ok := textRules[name]; ok {
		r.replaces = true
		return r, nil
	}
	if name == "oneof" {
		options := strings.Split(arg, "|")
		return rule{
			accepts: strings.Join(options, " or "), replaces: true,
			holds: func(_ reflect.Value, text string) bool { return slices.Contains(options, text) },
		}, nil
	}
	b, ok := bounds[name]
	if !ok || vt.number == nil {
		return rule{}, fmt.Errorf("check %q does not apply to type %s", text, t)
	}
	limit := reflect.New(t).Elem()
	if !vt.parse(arg, limit) {
		return rule{}, fmt.Errorf("check %q: %q is not %s", text, arg, vt.accepts)
	}
	bound := vt.number(limit)
	return rule{
		accepts: b.words + " " + arg,
		holds:   func(v reflect.Value, _ string) bool { return b.holds(vt.number(v), bound) },
	}, nil
}
