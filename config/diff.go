package config

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Diff describes the changes from one list of sections to another in readable
// form, with one line per item: "+" added, "-" removed, "~" changed. It is empty
// if nothing changed.
func Diff(old, new []Section) string {
	var b strings.Builder
	oldByName, newByName := sectionsByName(old), sectionsByName(new)
	for _, name := range unionKeys(oldByName, newByName) {
		diffSection(&b, oldByName[name], newByName[name])
	}
	return b.String()
}

func sectionsByName(sections []Section) map[string]*Section {
	m := make(map[string]*Section, len(sections))
	for i := range sections {
		m[sections[i].Name] = &sections[i]
	}
	return m
}

// unionKeys returns the sorted keys of both maps.
func unionKeys[V any](first, second map[string]V) []string {
	names := make([]string, 0, len(first)+len(second))
	for n := range first {
		names = append(names, n)
	}
	for n := range second {
		if _, ok := first[n]; !ok {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	return names
}

func diffSection(b *strings.Builder, old, new *Section) {
	name := ""
	switch {
	case old == nil:
		name = new.Name
		fmt.Fprintf(b, "+ section %s (team %s)\n", name, new.Team)
		old = &Section{}
	case new == nil:
		name = old.Name
		fmt.Fprintf(b, "- section %s (team %s)\n", name, old.Team)
		new = &Section{}
	default:
		name = new.Name
		if old.Team != new.Team {
			fmt.Fprintf(b, "~ section %s: team: %s -> %s\n", name, old.Team, new.Team)
		}
	}
	d := diffWriter{b: b, section: name}
	diffItems(d, "datacentre", old.DataCentres, new.DataCentres, DataCentre.key)
	diffItems(d, "workspace", old.Workspaces, new.Workspaces, Workspace.key)
	diffItems(d, "service", old.Services, new.Services, Service.key)
	diffItems(d, "route", old.Routes, new.Routes, Route.key)
}

func (d DataCentre) key() string { return d.Name }
func (w Workspace) key() string  { return w.Name }
func (s Service) key() string    { return s.Name }
func (r Route) key() string      { return r.Path }

type diffWriter struct {
	b       *strings.Builder
	section string
}

func (d diffWriter) line(sign, what, name, detail string) {
	fmt.Fprintf(d.b, "%s section %s: %s %s%s\n", sign, d.section, what, name, detail)
}

func diffItems[T any](d diffWriter, what string, old, new []T, key func(T) string) {
	oldItems, newItems := itemsByKey(old, key), itemsByKey(new, key)
	for _, name := range unionKeys(oldItems, newItems) {
		before, hadBefore := oldItems[name]
		after, hasAfter := newItems[name]
		switch {
		case !hadBefore:
			d.line("+", what, name, "")
		case !hasAfter:
			d.line("-", what, name, "")
		default:
			if changes := diffFields(before, after); changes != "" {
				d.line("~", what, name, ": "+changes)
			}
		}
	}
}

func itemsByKey[T any](items []T, key func(T) string) map[string]T {
	m := make(map[string]T, len(items))
	for _, item := range items {
		m[key(item)] = item
	}
	return m
}

// diffFields lists the exported fields in which two items differ, by their names
// in the document.
func diffFields(before, after any) string {
	oldValue, newValue := reflect.ValueOf(before), reflect.ValueOf(after)
	var changes []string
	for i := range oldValue.NumField() {
		f := oldValue.Type().Field(i)
		if !f.IsExported() {
			continue
		}
		if sameField(oldValue.Field(i), newValue.Field(i)) {
			continue
		}
		name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		changes = append(changes, fmt.Sprintf("%s: %s -> %s", name, formatField(oldValue.Field(i)), formatField(newValue.Field(i))))
	}
	return strings.Join(changes, ", ")
}

// sameField reports whether two fields are equal, ignoring the positions of keys.
func sameField(oldField, newField reflect.Value) bool {
	if before, ok := oldField.Interface().([]Key); ok {
		after := newField.Interface().([]Key)
		return slices.EqualFunc(before, after, func(k, l Key) bool { return k.ID == l.ID && k.SHA256 == l.SHA256 })
	}
	if _, told := oldField.Interface().(Names); !told && oldField.Kind() == reflect.Slice && oldField.Len() == 0 && newField.Len() == 0 {
		return true
	}
	return reflect.DeepEqual(oldField.Interface(), newField.Interface())
}

func formatField(v reflect.Value) string {
	if v.IsZero() {
		return "(default)"
	}
	if keys, ok := v.Interface().([]Key); ok {
		return formatKeys(keys)
	}
	return fmt.Sprint(v.Interface())
}

// formatKeys lists keys with the first digits of their digests, enough to
// distinguish two digests.
func formatKeys(keys []Key) string {
	const shown = 8
	names := make([]string, len(keys))
	for i, k := range keys {
		names[i] = k.ID + "=" + k.SHA256[:min(shown, len(k.SHA256))]
	}
	return "[" + strings.Join(names, " ") + "]"
}
