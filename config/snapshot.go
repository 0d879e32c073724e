package config

import (
	"encoding/hex"
	"slices"
	"strings"
)

const (
	// digestBytes is the length of a SHA-256 digest.
	digestBytes = 32
	// linearAdmits is the length up to which Admits searches a plain list.
	linearAdmits = 8
)

// Digest is the SHA-256 digest of a key's secret.
type Digest = [digestBytes]byte

// KeyRef tells whose key it is.
type KeyRef struct {
	// ID names the key.
	ID string
	// Workspace is the key's workspace.
	Workspace string
}

// Snapshot is the whole document at one revision, indexed for requests. It is
// immutable; callers must not change what its methods return.
//
// Routes are looked up by hashing each whole-segment prefix of the path, the
// longest first, in a map. A trie would share prefixes but costs more memory and
// pointer loads for the few segments that paths have.
type Snapshot struct {
	revision    uint64
	routes      map[string]*Route
	depth       int
	keys        map[Digest]KeyRef
	workspaces  map[string]*Workspace
	services    map[string]*Service
	dataCentres []DataCentre
}

// Build validates sections as a whole and indexes them. The error is Problems.
// It takes time linear in the document; see BenchmarkBuild.
func Build(revision uint64, sections []Section) (*Snapshot, error) {
	if err := Validate(sections); err != nil {
		return nil, err
	}
	return index(revision, sections), nil
}

// index builds a snapshot of valid sections.
func index(revision uint64, sections []Section) *Snapshot {
	s := newSnapshot(revision, sections)
	for i := range sections {
		s.add(&sections[i])
	}
	slices.SortFunc(s.dataCentres, func(a, b DataCentre) int { return strings.Compare(a.Name, b.Name) })
	return s
}

// newSnapshot returns an empty snapshot with room for the sections.
func newSnapshot(revision uint64, sections []Section) *Snapshot {
	var routes, workspaces, services, keys int
	for i := range sections {
		sec := &sections[i]
		routes += len(sec.Routes)
		workspaces += len(sec.Workspaces)
		services += len(sec.Services)
		for j := range sec.Workspaces {
			keys += len(sec.Workspaces[j].Keys)
		}
	}
	return &Snapshot{
		revision:   revision,
		routes:     make(map[string]*Route, routes),
		keys:       make(map[Digest]KeyRef, keys),
		workspaces: make(map[string]*Workspace, workspaces),
		services:   make(map[string]*Service, services),
	}
}

func (s *Snapshot) add(sec *Section) {
	for _, d := range sec.DataCentres {
		s.dataCentres = append(s.dataCentres, d.withDefaults())
	}
	services := make([]Service, len(sec.Services))
	for i, v := range sec.Services {
		services[i] = v.withDefaults()
		s.services[v.Name] = &services[i]
	}
	workspaces := make([]Workspace, len(sec.Workspaces))
	for i, w := range sec.Workspaces {
		workspaces[i] = w.withDefaults()
		s.workspaces[w.Name] = &workspaces[i]
		s.addKeys(&workspaces[i])
	}
	routes := make([]Route, len(sec.Routes))
	for i, r := range sec.Routes {
		routes[i] = r.withDefaults()
		s.routes[r.Path] = &routes[i]
		s.depth = max(s.depth, strings.Count(r.Path, "/"))
	}
}

func (s *Snapshot) addKeys(w *Workspace) {
	for _, k := range w.Keys {
		var digest Digest
		if _, err := hex.Decode(digest[:], []byte(k.SHA256)); err != nil {
			continue // ruled out by Validate
		}
		s.keys[digest] = KeyRef{ID: k.ID, Workspace: w.Name}
	}
}

// Revision is the revision of the document.
func (s *Snapshot) Revision() uint64 { return s.revision }

// MatchRoute returns the route with the longest prefix of path by whole
// segments. path must be in its only canonical spelling; see CanonicalPath.
func (s *Snapshot) MatchRoute(path string) (*Route, bool) {
	if path == "" || path[0] != '/' {
		return nil, false
	}
	prefix := firstSegments(path, s.depth)
	for {
		if r, ok := s.routes[prefix]; ok {
			return r, true
		}
		cut := strings.LastIndexByte(prefix, '/')
		if cut <= 0 {
			break
		}
		prefix = prefix[:cut]
	}
	r, ok := s.routes["/"]
	return r, ok
}

// firstSegments cuts path after n segments, so that the work of MatchRoute is
// bounded by the deepest route and not by the caller.
func firstSegments(path string, n int) string {
	end := 0
	for range n {
		next := strings.IndexByte(path[end+1:], '/')
		if next < 0 {
			return path
		}
		end += 1 + next
	}
	return path[:max(end, 1)]
}

// FindKey returns the key with the given digest.
func (s *Snapshot) FindKey(digest Digest) (KeyRef, bool) {
	k, ok := s.keys[digest]
	return k, ok
}

// Workspace returns a workspace by name.
func (s *Snapshot) Workspace(name string) (*Workspace, bool) {
	w, ok := s.workspaces[name]
	return w, ok
}

// Service returns a service by name.
func (s *Snapshot) Service(name string) (*Service, bool) {
	v, ok := s.services[name]
	return v, ok
}

// DataCentre returns a data centre by name.
func (s *Snapshot) DataCentre(name string) (*DataCentre, bool) {
	for i := range s.dataCentres {
		if s.dataCentres[i].Name == name {
			return &s.dataCentres[i], true
		}
	}
	return nil, false
}

// DataCentres returns all data centres by name.
func (s *Snapshot) DataCentres() []DataCentre { return slices.Clone(s.dataCentres) }

// Admits reports whether the route serves requests of the workspace. An open
// route admits all, also requests without a workspace, named "".
func (r *Route) Admits(workspace string) bool {
	if r.Access == AccessOpen {
		return true
	}
	if workspace == "" {
		return false
	}
	if len(r.Workspaces) == 0 {
		return true
	}
	if r.admitted != nil {
		_, ok := r.admitted[workspace]
		return ok
	}
	return slices.Contains(r.Workspaces, workspace)
}

// IsIdempotent reports whether a request with the method may be repeated.
func (r *Route) IsIdempotent(method string) bool {
	methods := r.Idempotent
	if len(methods) == 0 {
		methods = defaultIdempotent
	}
	return method != NoMethod && slices.Contains(methods, method)
}
