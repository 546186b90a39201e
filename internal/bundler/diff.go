package bundler

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Change is one difference between two bundles.
type Change struct {
	Kind string `json:"kind"` // region, account, budget or target
	Name string `json:"name"`
	Op   string `json:"op"` // add, remove or change
	// Fields lists the changed fields of a changed item.
	Fields []FieldChange `json:"fields,omitempty"`
}

// FieldChange is one changed field, with its values in JSON. A value that is not
// set is the empty string.
type FieldChange struct {
	Name string `json:"name"`
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
}

// String formats the change as one human-readable line.
func (c Change) String() string {
	switch c.Op {
	case "add":
		return fmt.Sprintf("+ %s %s", c.Kind, c.Name)
	case "remove":
		return fmt.Sprintf("- %s %s", c.Kind, c.Name)
	}
	fields := make([]string, len(c.Fields))
	for i, f := range c.Fields {
		fields[i] = fmt.Sprintf("%s %s -> %s", f.Name, valueOrNone(f.Old), valueOrNone(f.New))
	}
	return fmt.Sprintf("~ %s %s: %s", c.Kind, c.Name, strings.Join(fields, ", "))
}

func valueOrNone(s string) string {
	if s == "" {
		return "(none)"
	}
	return s
}

// Diff lists the differences between two bundles, ordered by kind and name. It
// ignores the order of unordered lists.
func Diff(before, after Bundle) []Change {
	before, after = canonical(before), canonical(after)
	return slices.Concat(
		diffList("region", before.Regions, after.Regions, func(s string) string { return s }),
		diffList("target", before.Targets, after.Targets, func(t Target) string { return t.Name }),
		diffList("budget", before.Budgets, after.Budgets, func(b Budget) string { return b.Name }),
		diffList("account", before.Accounts, after.Accounts, func(a Account) string { return a.Name }),
	)
}

func diffList[T any](kind string, before, after []T, name func(T) string) []Change {
	var changes []Change
	for i, j := 0, 0; i < len(before) || j < len(after); {
		switch {
		case j == len(after) || i < len(before) && name(before[i]) < name(after[j]):
			changes = append(changes, Change{Kind: kind, Name: name(before[i]), Op: "remove"})
			i++
		case i == len(before) || name(after[j]) < name(before[i]):
			changes = append(changes, Change{Kind: kind, Name: name(after[j]), Op: "add"})
			j++
		default:
			if fields := diffFields(before[i], after[j]); len(fields) > 0 {
				changes = append(changes, Change{Kind: kind, Name: name(before[i]), Op: "change", Fields: fields})
			}
			i, j = i+1, j+1
		}
	}
	return changes
}

func diffFields(before, after any) []FieldChange {
	x, y := jsonFields(before), jsonFields(after)
	all := maps.Clone(x)
	maps.Copy(all, y)
	var changes []FieldChange
	for _, key := range slices.Sorted(maps.Keys(all)) {
		if !bytes.Equal(x[key], y[key]) {
			changes = append(changes, FieldChange{Name: key, Old: string(x[key]), New: string(y[key])})
		}
	}
	return changes
}

// jsonFields returns the JSON fields of a struct, or an empty map for other values.
func jsonFields(v any) map[string]json.RawMessage {
	fields := make(map[string]json.RawMessage)
	data, err := json.Marshal(v)
	if err != nil || data[0] != '{' {
		return fields
	}
	_ = json.Unmarshal(data, &fields)
	return fields
}
