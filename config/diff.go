package config

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Diff describes the changes from one list of sections to another for people,
// a line for each item: "+" added, "-" removed, "~" changed. It is empty when
// nothing changed.
func Diff(old, new []Section) string {
	var b strings.Builder
	a, z := byName(old), byName(new)
	for _, name := range unionNames(a, z) {
		diffSection(&b, a[name], z[name])
	}
	return b.String()
}

func byName(sections []Section) map[string]*Section {
	m := make(map[string]*Section, len(sections))
	for i := range sections {
		m[sections[i].Name] = &sections[i]
	}
	return m
}

func unionNames[V any](a, z map[string]V) []string {
	names := make([]string, 0, len(a)+len(z))
	for n := range a {
		names = append(names, n)
	}
	for n := range z {
		if _, ok := a[n]; !ok {
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
	d := differ{b: b, section: name}
	diffItems(d, "datacentre", old.DataCentres, new.DataCentres, DataCentre.key)
	diffItems(d, "workspace", old.Workspaces, new.Workspaces, Workspace.key)
	diffItems(d, "service", old.Services, new.Services, Service.key)
	diffItems(d, "route", old.Routes, new.Routes, Route.key)
}

func (d DataCentre) key() string { return d.Name }
func (w Workspace) key() string  { return w.Name }
func (s Service) key() string    { return s.Name }
func (r Route) key() string      { return r.Path }

type differ struct {
	b       *strings.Builder
	section string
}

func (d differ) line(sign, what, name, detail string) {
	fmt.Fprintf(d.b, "%s section %s: %s %s%s\n", sign, d.section, what, name, detail)
}

func diffItems[T any](d differ, what string, old, new []T, key func(T) string) {
	a, z := itemsByKey(old, key), itemsByKey(new, key)
	for _, name := range unionNames(a, z) {
		before, hadBefore := a[name]
		after, hasAfter := z[name]
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
	for _, it := range items {
		m[key(it)] = it
	}
	return m
}

// diffFields lists the exported fields in which two items differ, by the names
// that the document uses.
func diffFields(before, after any) string {
	a, z := reflect.ValueOf(before), reflect.ValueOf(after)
	var changes []string
	for i := range a.NumField() {
		f := a.Type().Field(i)
		if !f.IsExported() {
			continue
		}
		if sameField(a.Field(i), z.Field(i)) {
			continue
		}
		name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		changes = append(changes, fmt.Sprintf("%s: %s -> %s", name, describe(a.Field(i)), describe(z.Field(i))))
	}
	return strings.Join(changes, ", ")
}

// sameField compares two fields without the positions of keys.
func sameField(a, z reflect.Value) bool {
	if before, ok := a.Interface().([]Key); ok {
		after := z.Interface().([]Key)
		return slices.EqualFunc(before, after, func(k, l Key) bool { return k.ID == l.ID && k.SHA256 == l.SHA256 })
	}
	if a.Kind() == reflect.Slice && a.Len() == 0 && z.Len() == 0 {
		return true
	}
	return reflect.DeepEqual(a.Interface(), z.Interface())
}

func describe(v reflect.Value) string {
	if v.IsZero() {
		return "(default)"
	}
	if keys, ok := v.Interface().([]Key); ok {
		return describeKeys(keys)
	}
	return fmt.Sprint(v.Interface())
}

// describeKeys shows enough of each digest to tell two apart.
func describeKeys(keys []Key) string {
	const shown = 8
	names := make([]string, len(keys))
	for i, k := range keys {
		names[i] = k.ID + "=" + k.SHA256[:min(shown, len(k.SHA256))]
	}
	return "[" + strings.Join(names, " ") + "]"
}
