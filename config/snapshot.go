package config

import (
	"slices"
	"strings"

	"github.com/gooseberryshed/gooseberryshed/access"
)

const (
	// digestBytes is the length of a SHA-256 digest.
	digestBytes = 32
	// maxLinearSearch is the number of workspaces up to which Allows searches
	// the list of a route instead of a set.
	maxLinearSearch = 8
)

// Digest is the SHA-256 digest of a key's secret.
type Digest = [digestBytes]byte

// KeyRef identifies a key and the workspace that owns it.
type KeyRef struct {
	ID        string
	Workspace string
}

// Snapshot is the whole document at one revision, indexed for the lookups that
// each request needs. It is immutable; callers must not modify returned values.
//
// Routes are stored in a hash map and looked up by each whole-segment prefix of
// the path, the longest first. A trie would share prefixes but needs more memory
// and pointer loads for the few segments that paths have.
type Snapshot struct {
	revision uint64
	// maxDepth is an upper bound on the number of segments of a route.
	maxDepth    int
	routes      *shardedMap[string, *Route]
	keys        *shardedMap[Digest, KeyRef]
	workspaces  *shardedMap[string, *Workspace]
	services    *shardedMap[string, *Service]
	dataCentres []DataCentre
}

// Empty returns the snapshot of a document without sections, at revision 0.
func Empty() *Snapshot { return BuildUnvalidated(0, nil) }

// Build validates sections as a whole document and indexes them. The error is of
// type Problems.
func Build(revision uint64, sections []Section) (*Snapshot, error) {
	if err := Validate(sections); err != nil {
		return nil, err
	}
	return BuildUnvalidated(revision, sections), nil
}

// BuildUnvalidated builds a snapshot without validation, for sections that were
// validated when they were accepted. It skips entries that cannot be indexed.
func BuildUnvalidated(revision uint64, sections []Section) *Snapshot {
	patches := make([]Patch, len(sections))
	for i := range sections {
		patches[i] = Patch{Section: sections[i].Name, Put: sections[i].items()}
	}
	empty := &Snapshot{
		routes:     &shardedMap[string, *Route]{},
		keys:       &shardedMap[Digest, KeyRef]{},
		workspaces: &shardedMap[string, *Workspace]{},
		services:   &shardedMap[string, *Service]{},
	}
	return empty.Advance(revision, patches)
}

// Revision returns the revision of the document.
func (s *Snapshot) Revision() uint64 { return s.revision }

// MatchRoute returns the route whose path is the longest prefix of path in whole
// segments. path must be in canonical form; see CanonicalPath.
func (s *Snapshot) MatchRoute(path string) (*Route, bool) {
	if path == "" || path[0] != '/' {
		return nil, false
	}
	prefix := firstSegments(path, s.maxDepth)
	for {
		if r, ok := s.routes.get(prefix); ok {
			return r, true
		}
		cut := strings.LastIndexByte(prefix, '/')
		if cut <= 0 {
			break
		}
		prefix = prefix[:cut]
	}
	return s.routes.get("/")
}

// firstSegments truncates path after n segments, so that the cost of MatchRoute
// is bounded by the deepest route and not by the length of the caller's path.
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
	return s.keys.get(digest)
}

// Workspace returns a workspace by name.
func (s *Snapshot) Workspace(name string) (*Workspace, bool) {
	return s.workspaces.get(name)
}

// Service returns a service by name.
func (s *Snapshot) Service(name string) (*Service, bool) {
	return s.services.get(name)
}

// Workspaces calls yield for each workspace, in no particular order, until yield
// returns false.
func (s *Snapshot) Workspaces(yield func(*Workspace) bool) {
	s.workspaces.all(func(_ string, w *Workspace) bool { return yield(w) })
}

// Services calls yield for each service, in no particular order, until yield
// returns false.
func (s *Snapshot) Services(yield func(*Service) bool) {
	s.services.all(func(_ string, v *Service) bool { return yield(v) })
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

// DataCentres returns all data centres, sorted by name.
func (s *Snapshot) DataCentres() []DataCentre { return slices.Clone(s.dataCentres) }

// NeedsKey reports whether requests on the route need the key of a workspace. A
// document of this kind always has a list of workspaces, which may be empty.
func (r *Route) NeedsKey() bool {
	return access.Rule{Workspaces: access.Listed, Open: r.Access == AccessOpen}.NeedsKey()
}

// OpenedSince returns the paths of the routes that need no key and did not exist or
// needed one in a former snapshot, which may be nil, sorted.
func (s *Snapshot) OpenedSince(former *Snapshot) []string {
	var opened []string
	s.routes.all(func(path string, r *Route) bool {
		if r.NeedsKey() {
			return true
		}
		if former != nil {
			if old, ok := former.routes.get(path); ok && !old.NeedsKey() {
				return true
			}
		}
		opened = append(opened, path)
		return true
	})
	slices.Sort(opened)
	return opened
}

// Allows reports whether the route accepts requests of the workspace. An open
// route accepts all requests, including those without a workspace ("").
func (r *Route) Allows(workspace string) bool {
	if !r.NeedsKey() {
		return true
	}
	if workspace == "" {
		return false
	}
	if r.Workspaces == nil {
		return true
	}
	if r.workspaceSet != nil {
		_, ok := r.workspaceSet[workspace]
		return ok
	}
	return slices.Contains(r.Workspaces, workspace)
}

// IsIdempotent reports whether a request with the method may be retried.
func (r *Route) IsIdempotent(method string) bool {
	methods := r.Idempotent
	if methods == nil {
		methods = defaultIdempotent
	}
	return method != NoMethod && slices.Contains(methods, method)
}
