package config

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// ChangeKind says whether an entity was added or removed, or one of its fields changed.
type ChangeKind string

// The kinds of changes.
const (
	ChangeAdded    ChangeKind = "added"
	ChangeRemoved  ChangeKind = "removed"
	ChangeModified ChangeKind = "set" // the value of a field changed
)

// Change is one difference between two configurations.
type Change struct {
	Kind    ChangeKind `json:"kind"`
	Subject string     `json:"subject"`         // the changed entity, for example: team presse
	Field   string     `json:"field,omitempty"` // for ChangeModified only
	Old     string     `json:"old,omitempty"`
	New     string     `json:"new,omitempty"`
}

// String formats the change for operators.
func (c Change) String() string {
	if c.Kind != ChangeModified {
		return c.Subject + ": " + string(c.Kind)
	}
	return fmt.Sprintf("%s: %s: %s -> %s", c.Subject, c.Field, c.Old, c.New)
}

// FormatChanges formats the changes for operators, one per line.
func FormatChanges(changes []Change) string {
	var b strings.Builder
	for _, c := range changes {
		b.WriteString(c.String())
		b.WriteByte('\n')
	}
	return b.String()
}

// Diff returns the changes from a to b, ordered by section and by name within a section.
// Either may be nil.
func Diff(a, b *Config) []Change {
	before := entitiesOf(a)
	after := entitiesOf(b)
	var changes []Change
	for _, e := range before {
		if other, ok := after[e.subject]; ok {
			changes = append(changes, e.changesTo(other)...)
		} else {
			changes = append(changes, Change{Kind: ChangeRemoved, Subject: e.subject})
		}
	}
	for _, e := range after {
		if _, ok := before[e.subject]; !ok {
			changes = append(changes, Change{Kind: ChangeAdded, Subject: e.subject})
		}
	}
	slices.SortStableFunc(changes, func(x, y Change) int {
		return strings.Compare(sortKey(x.Subject), sortKey(y.Subject))
	})
	return changes
}

// entity is a named part of a configuration, such as a team or a queue, with its fields
// as text.
type entity struct {
	subject string
	fields  []field
}

type field struct{ name, value string }

func (e entity) changesTo(other entity) []Change {
	var changes []Change
	for i, f := range e.fields {
		if after := other.fields[i]; after.value != f.value {
			changes = append(changes, Change{Kind: ChangeModified, Subject: e.subject, Field: f.name, Old: f.value, New: after.value})
		}
	}
	return changes
}

// sortKey returns the key that orders subjects by section, then by name.
func sortKey(subject string) string {
	kind, _, _ := strings.Cut(subject, " ")
	section := slices.Index([]string{"cell", "policy", "az", "organisation", "team", "key", "queue", "worker"}, kind)
	return fmt.Sprintf("%d %s", section, subject)
}

func entitiesOf(c *Config) map[string]entity {
	all := map[string]entity{}
	if c == nil {
		return all
	}
	add := func(subject string, value any, extra ...field) {
		all[subject] = entity{subject, append(flatten("", reflect.ValueOf(value)), extra...)}
	}
	add("cell", struct {
		Name string `json:"name"`
	}{c.Cell})
	add("policy", c.Policy)
	for _, az := range c.AZs {
		az.Shards = orDefault(az.Shards, DefaultShards)
		add("az "+az.Name, az)
	}
	for _, w := range c.Workers {
		add("worker "+w.ID, w)
	}
	for _, q := range c.Queues {
		add("queue "+q.Name, q)
	}
	for _, org := range c.Organisations {
		addOrganisation(add, org)
	}
	return all
}

func addOrganisation(add func(subject string, value any, extra ...field), org Organisation) {
	teams := org.Teams
	org.Teams = nil
	add("organisation "+org.Name, org)
	for _, team := range teams {
		keys := team.Keys
		team.Keys = nil
		add("team "+team.Name, team, field{"organisation", org.Name})
		for _, key := range keys {
			add("key "+key.ID+" of team "+team.Name, key)
		}
	}
}

// flatten returns the fields of a struct with their JSON names. The names depend only on
// the type.
func flatten(prefix string, v reflect.Value) []field {
	var fields []field
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		f := v.Field(i)
		if f.Kind() == reflect.Struct {
			fields = append(fields, flatten(prefix+name+".", f)...)
			continue
		}
		fields = append(fields, field{prefix + name, formatValue(name, f)})
	}
	return fields
}

// formatValue formats the value of a field for operators. It shortens key hashes.
func formatValue(name string, v reflect.Value) string {
	if v.Kind() == reflect.Slice {
		return fmt.Sprintf("%v", v.Interface())
	}
	text := fmt.Sprint(v.Interface())
	if name == "sha256" && len(text) > shownHashDigits {
		return text[:shownHashDigits] + "..."
	}
	return text
}

// shownHashDigits is the number of digits of a key's hash that a diff shows.
const shownHashDigits = 12
