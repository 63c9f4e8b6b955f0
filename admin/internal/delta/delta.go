// Package delta lists the differences between two configurations.
package delta

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"chivepost/share/bundle"
)

// Op is what a publish does to a named part of the configuration.
type Op string

// The operations.
const (
	Add    Op = "add"
	Remove Op = "remove"
	Change Op = "change"
)

// Changes lists the differences, sorted by kind and name.
type Changes []Item

// Item is one pipeline, pool, target, account or data centre that differs. Fields lists the
// values that differ; it is empty unless Op is Change.
type Item struct {
	Op     Op      `json:"op"`
	Kind   string  `json:"kind"`
	Name   string  `json:"name"`
	Fields []Field `json:"fields,omitempty"`
}

// Field is one value that differs. From or To is empty if that side has no such field.
type Field struct {
	Name string `json:"name"`
	From string `json:"from"`
	To   string `json:"to"`
}

// part is one named part of a document with its fields as text.
type part struct {
	kind, name string
	fields     map[string]string
}

// Between returns the changes that publishing to would make to from.
func Between(from, to bundle.Doc) (Changes, error) {
	before, err := parts(from)
	if err != nil {
		return nil, err
	}
	after, err := parts(to)
	if err != nil {
		return nil, err
	}
	keys := slices.Sorted(maps.Keys(after))
	for key := range before {
		if _, ok := after[key]; !ok {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	changes := Changes{}
	for _, key := range keys {
		b, had := before[key]
		a, has := after[key]
		switch {
		case !had:
			changes = append(changes, Item{Op: Add, Kind: a.kind, Name: a.name})
		case !has:
			changes = append(changes, Item{Op: Remove, Kind: b.kind, Name: b.name})
		default:
			if fields := diffFields(b.fields, a.fields); len(fields) > 0 {
				changes = append(changes, Item{Op: Change, Kind: a.kind, Name: a.name, Fields: fields})
			}
		}
	}
	return changes, nil
}

// parts returns the named parts of doc by kind and name.
func parts(doc bundle.Doc) (map[string]part, error) {
	all := map[string]part{}
	var failed error
	add := func(kind, name string, v any) {
		fields, err := flatten(v)
		if err != nil {
			failed = fmt.Errorf("compare %s %q: %w", kind, name, err)
		}
		all[kind+"\x00"+name] = part{kind: kind, name: name, fields: fields}
	}
	for _, p := range doc.Pipelines {
		add("pipeline", p.Name, p)
	}
	for _, p := range doc.Pools {
		add("pool", p.Name, p)
	}
	for _, t := range doc.Targets {
		add("target", t.Name, t)
	}
	for _, a := range doc.Accounts {
		add("account", a.Name, a)
	}
	for _, dc := range doc.DataCentresOut {
		add("data centre out", dc, struct{}{})
	}
	return all, failed
}

// flatten returns the JSON fields of v as text. A list of named items becomes one field with
// their names in order, and one field for each field of each item.
func flatten(v any) (map[string]string, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	var tree map[string]any
	if err := json.Unmarshal(data, &tree); err != nil {
		return nil, err
	}
	fields := map[string]string{}
	flattenInto("", tree, fields)
	delete(fields, "name")
	return fields, nil
}

// flattenInto adds the values of tree to fields, under names that begin with prefix.
func flattenInto(prefix string, tree map[string]any, fields map[string]string) {
	for key, value := range tree {
		items, ok := value.([]any)
		if !ok {
			fields[prefix+key] = fmt.Sprint(value)
			continue
		}
		var names []string
		for _, item := range items {
			named, _ := item.(map[string]any)
			name := fmt.Sprint(named["name"])
			names = append(names, name)
			delete(named, "name")
			flattenInto(fmt.Sprintf("%s%s[%s].", prefix, key, name), named, fields)
		}
		fields[prefix+key] = strings.Join(names, ", ")
	}
}

// diffFields returns the fields whose values differ, sorted by name.
func diffFields(before, after map[string]string) []Field {
	names := slices.Collect(maps.Keys(before))
	for name := range after {
		if _, ok := before[name]; !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var fields []Field
	for _, name := range names {
		if before[name] != after[name] {
			fields = append(fields, Field{Name: name, From: before[name], To: after[name]})
		}
	}
	return fields
}

// Text writes one line for each item and for each of its fields that differ.
func (c Changes) Text(w io.Writer) error {
	sign := map[Op]string{Add: "+", Remove: "-", Change: "~"}
	var b strings.Builder
	for _, item := range c {
		fmt.Fprintf(&b, "%s %s %s\n", sign[item.Op], item.Kind, item.Name)
		for _, f := range item.Fields {
			fmt.Fprintf(&b, "    %s: %s -> %s\n", f.Name, orNone(f.From), orNone(f.To))
		}
	}
	if len(c) == 0 {
		b.WriteString("no changes\n")
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func orNone(text string) string {
	if text == "" {
		return "(none)"
	}
	return text
}
