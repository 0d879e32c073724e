package config

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Patch is the change of one section, item by item. A change of one key in a
// section of hundreds of workspaces is thus a few hundred bytes for each daemon
// instead of the whole section.
type Patch struct {
	Section string `json:"section"`
	// Team is the team after the change.
	Team string `json:"team,omitempty"`
	// Removed removes the whole section; Drop then names all its items.
	Removed bool `json:"removed,omitempty"`
	// Put adds or replaces items.
	Put Items `json:"put"`
	// Drop removes items by name.
	Drop ItemNames `json:"drop"`
	// Sum is Section.Sum after the change.
	Sum uint64 `json:"sum,string"`
}

// Items are items of a section.
type Items struct {
	DataCentres []DataCentre `json:"datacentres,omitempty"`
	Workspaces  []Workspace  `json:"workspaces,omitempty"`
	Services    []Service    `json:"services,omitempty"`
	Routes      []Route      `json:"routes,omitempty"`
}

// ItemNames names items of a section, routes by their paths.
type ItemNames struct {
	DataCentres []string `json:"datacentres,omitempty"`
	Workspaces  []string `json:"workspaces,omitempty"`
	Services    []string `json:"services,omitempty"`
	Routes      []string `json:"routes,omitempty"`
}

func (s *Section) items() Items {
	return Items{DataCentres: s.DataCentres, Workspaces: s.Workspaces, Services: s.Services, Routes: s.Routes}
}

// Normalize returns the section with its items in order of name and digests in
// lower case. Two sections that mean the same have the same normal form.
func (s Section) Normalize() Section {
	s.DataCentres = sorted(s.DataCentres, DataCentre.key)
	s.Workspaces = sorted(s.Workspaces, Workspace.key)
	for i := range s.Workspaces {
		s.Workspaces[i].Keys = normalKeys(s.Workspaces[i].Keys)
	}
	s.Services = sorted(s.Services, Service.key)
	s.Routes = sorted(s.Routes, Route.key)
	for i := range s.Routes {
		s.Routes[i].Workspaces = slices.Sorted(slices.Values(s.Routes[i].Workspaces))
		s.Routes[i].Idempotent = slices.Sorted(slices.Values(s.Routes[i].Idempotent))
	}
	return s
}

func sorted[T any](items []T, key func(T) string) []T {
	out := slices.Clone(items)
	slices.SortStableFunc(out, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
	return out
}

func normalKeys(keys []Key) []Key {
	out := sorted(keys, func(k Key) string { return k.ID })
	for i := range out {
		out[i].SHA256 = strings.ToLower(out[i].SHA256)
	}
	return out
}

// Sum is a checksum of the section's normal form. It finds accidental
// differences between copies and is no protection against forgery.
func (s Section) Sum() uint64 {
	data, err := json.Marshal(s)
	if err != nil {
		panic(errors.Wrap(err, "a section has no JSON form"))
	}
	return xxhash.Sum64(data)
}

// MakePatch returns the patch that turns old into new, both in normal form.
// nil stands for a section that does not exist; new and old are not both nil.
func MakePatch(old, new *Section) Patch {
	var p Patch
	switch {
	case new == nil:
		p = Patch{Section: old.Name, Removed: true}
		new = &Section{}
	case old == nil:
		old = &Section{}
		fallthrough
	default:
		p = Patch{Section: new.Name, Team: new.Team, Sum: new.Sum()}
	}
	p.Put.DataCentres, p.Drop.DataCentres = changes(old.DataCentres, new.DataCentres, DataCentre.key)
	p.Put.Workspaces, p.Drop.Workspaces = changes(old.Workspaces, new.Workspaces, Workspace.key)
	p.Put.Services, p.Drop.Services = changes(old.Services, new.Services, Service.key)
	p.Put.Routes, p.Drop.Routes = changes(old.Routes, new.Routes, Route.key)
	return p
}

func changes[T any](old, new []T, key func(T) string) (put []T, drop []string) {
	before := itemsByKey(old, key)
	for _, it := range new {
		was, ok := before[key(it)]
		if !ok || diffFields(was, it) != "" {
			put = append(put, it)
		}
		delete(before, key(it))
	}
	for _, it := range old {
		if _, left := before[key(it)]; left {
			drop = append(drop, key(it))
		}
	}
	return put, drop
}

// Apply returns the section after the patch; nil stands for no section. It fails
// when the result is not what the patch was made for.
func (p Patch) Apply(old *Section) (*Section, error) {
	if p.Removed {
		return nil, nil
	}
	if old == nil {
		old = &Section{}
	}
	s := &Section{
		Name:        p.Section,
		Team:        p.Team,
		DataCentres: merge(old.DataCentres, p.Put.DataCentres, p.Drop.DataCentres, DataCentre.key),
		Workspaces:  merge(old.Workspaces, p.Put.Workspaces, p.Drop.Workspaces, Workspace.key),
		Services:    merge(old.Services, p.Put.Services, p.Drop.Services, Service.key),
		Routes:      merge(old.Routes, p.Put.Routes, p.Drop.Routes, Route.key),
	}
	if sum := s.Sum(); sum != p.Sum {
		return nil, errors.Errorf("section %s has checksum %x instead of %x after its patch; load the whole document again", p.Section, sum, p.Sum)
	}
	return s, nil
}

func merge[T any](old, put []T, drop []string, key func(T) string) []T {
	if len(put) == 0 && len(drop) == 0 {
		return old
	}
	replaced := make(map[string]bool, len(put)+len(drop))
	for _, it := range put {
		replaced[key(it)] = true
	}
	for _, name := range drop {
		replaced[name] = true
	}
	out := make([]T, 0, len(old)+len(put))
	for _, it := range old {
		if !replaced[key(it)] {
			out = append(out, it)
		}
	}
	return sorted(append(out, put...), key)
}
