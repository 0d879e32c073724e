package config

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Patch is the difference between two versions of one section, by item. For a
// change of one key in a section of hundreds of workspaces, each daemon thus
// receives a few hundred bytes instead of the whole section.
type Patch struct {
	Section string `json:"section"`
	// Team is the team after the change.
	Team string `json:"team,omitempty"`
	// Removed is set if the whole section is removed; Drop then lists all its
	// items.
	Removed bool `json:"removed,omitempty"`
	// Put adds or replaces items.
	Put Items `json:"put"`
	// Drop removes items by name.
	Drop ItemNames `json:"drop"`
	// Checksum is the Section.Checksum after the change.
	Checksum uint64 `json:"sum,string"`
}

// Items are some of the items of a section.
type Items struct {
	DataCentres []DataCentre `json:"datacentres,omitempty"`
	Workspaces  []Workspace  `json:"workspaces,omitempty"`
	Services    []Service    `json:"services,omitempty"`
	Routes      []Route      `json:"routes,omitempty"`
}

// ItemNames are the names of some items of a section; routes are named by path.
type ItemNames struct {
	DataCentres []string `json:"datacentres,omitempty"`
	Workspaces  []string `json:"workspaces,omitempty"`
	Services    []string `json:"services,omitempty"`
	Routes      []string `json:"routes,omitempty"`
}

func (s *Section) items() Items {
	return Items{DataCentres: s.DataCentres, Workspaces: s.Workspaces, Services: s.Services, Routes: s.Routes}
}

// Normalize returns the section with its items sorted by name and digests in
// lower case. Equivalent sections have the same normal form.
func (s Section) Normalize() Section {
	s.DataCentres = sortedBy(s.DataCentres, DataCentre.key)
	s.Workspaces = sortedBy(s.Workspaces, Workspace.key)
	for i := range s.Workspaces {
		s.Workspaces[i].Keys = normalizeKeys(s.Workspaces[i].Keys)
	}
	s.Services = sortedBy(s.Services, Service.key)
	s.Routes = sortedBy(s.Routes, Route.key)
	for i := range s.Routes {
		s.Routes[i].Workspaces = s.Routes[i].Workspaces.sorted()
		s.Routes[i].Idempotent = s.Routes[i].Idempotent.sorted()
	}
	return s
}

func sortedBy[T any](items []T, key func(T) string) []T {
	out := slices.Clone(items)
	slices.SortStableFunc(out, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
	return out
}

func normalizeKeys(keys []Key) []Key {
	out := sortedBy(keys, func(k Key) string { return k.ID })
	for i := range out {
		out[i].SHA256 = strings.ToLower(out[i].SHA256)
	}
	return out
}

// Checksum returns a checksum of the section, which must be in normal form. It
// detects accidental differences between copies and does not protect against
// forgery.
func (s Section) Checksum() uint64 {
	data, err := json.Marshal(s)
	if err != nil {
		panic(errors.Wrap(err, "encode a section as JSON"))
	}
	return xxhash.Sum64(data)
}

// MakePatch returns the patch from old to new, both in normal form. nil means
// that the section does not exist; old and new must not both be nil.
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
		p = Patch{Section: new.Name, Team: new.Team, Checksum: new.Checksum()}
	}
	p.Put.DataCentres, p.Drop.DataCentres = itemChanges(old.DataCentres, new.DataCentres, DataCentre.key)
	p.Put.Workspaces, p.Drop.Workspaces = itemChanges(old.Workspaces, new.Workspaces, Workspace.key)
	p.Put.Services, p.Drop.Services = itemChanges(old.Services, new.Services, Service.key)
	p.Put.Routes, p.Drop.Routes = itemChanges(old.Routes, new.Routes, Route.key)
	return p
}

// itemChanges returns the items to add or replace and the names of those to
// remove, to get from old to new.
func itemChanges[T any](old, new []T, key func(T) string) (put []T, drop []string) {
	before := itemsByKey(old, key)
	for _, item := range new {
		prev, ok := before[key(item)]
		if !ok || diffFields(prev, item) != "" {
			put = append(put, item)
		}
		delete(before, key(item))
	}
	for _, item := range old {
		if _, removed := before[key(item)]; removed {
			drop = append(drop, key(item))
		}
	}
	return put, drop
}

// Apply returns the section after the patch; nil means that the section does not
// exist. It fails if the result does not have the checksum of the patch.
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
		DataCentres: mergeItems(old.DataCentres, p.Put.DataCentres, p.Drop.DataCentres, DataCentre.key),
		Workspaces:  mergeItems(old.Workspaces, p.Put.Workspaces, p.Drop.Workspaces, Workspace.key),
		Services:    mergeItems(old.Services, p.Put.Services, p.Drop.Services, Service.key),
		Routes:      mergeItems(old.Routes, p.Put.Routes, p.Drop.Routes, Route.key),
	}
	if sum := s.Checksum(); sum != p.Checksum {
		return nil, errors.Errorf("section %s has checksum %x after the patch, expected %x; load the whole document again", p.Section, sum, p.Checksum)
	}
	return s, nil
}

// mergeItems returns old with the items in put added or replaced and those named
// in drop removed, sorted by key.
func mergeItems[T any](old, put []T, drop []string, key func(T) string) []T {
	if len(put) == 0 && len(drop) == 0 {
		return old
	}
	replaced := make(map[string]bool, len(put)+len(drop))
	for _, item := range put {
		replaced[key(item)] = true
	}
	for _, name := range drop {
		replaced[name] = true
	}
	out := make([]T, 0, len(old)+len(put))
	for _, item := range old {
		if !replaced[key(item)] {
			out = append(out, item)
		}
	}
	return sortedBy(append(out, put...), key)
}
