package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func mustBuild(t testing.TB, sections ...Section) *Snapshot {
	t.Helper()
	s, err := Build(3, sections)
	assert.NilError(t, err)
	return s
}

func TestSnapshotOfDocument(t *testing.T) {
	sections, err := Parse("doc.yaml", []byte(validDocument))
	assert.NilError(t, err)
	s := mustBuild(t, sections...)
	assert.Equal(t, s.Revision(), uint64(3))
	key, ok := s.FindKey(sha256.Sum256([]byte("test")))
	assert.Assert(t, ok)
	assert.Equal(t, key, KeyRef{ID: "retail-1-a", Workspace: "retail-1"})
	_, ok = s.FindKey(sha256.Sum256([]byte("Test")))
	assert.Assert(t, !ok)
	svc, ok := s.Service("orders")
	assert.Assert(t, ok)
	assert.Equal(t, svc.Queue, 8)
	assert.Equal(t, svc.IdleTimeout, DefaultIdleTimeout)
	w, ok := s.Workspace("parish-12")
	assert.Assert(t, ok)
	assert.Equal(t, w.Rate, Rate(0.5))
	dc, ok := s.DataCentre("alfold-1")
	assert.Assert(t, ok && dc.State == DataCentreIn)
	dc, ok = s.DataCentre("alfold-2")
	assert.Assert(t, ok && dc.State == DataCentreOut)
}

func TestRouteRules(t *testing.T) {
	sections, err := Parse("doc.yaml", []byte(validDocument))
	assert.NilError(t, err)
	s := mustBuild(t, sections...)
	keyed, ok := s.MatchRoute("/orders/7")
	assert.Assert(t, ok)
	assert.Assert(t, keyed.Allows("retail-1") && !keyed.Allows("parish-12") && !keyed.Allows(""))
	assert.Assert(t, keyed.IsIdempotent("GET") && !keyed.IsIdempotent("POST") && !keyed.IsIdempotent("get"))
	open, ok := s.MatchRoute("/orders/status/7")
	assert.Assert(t, ok)
	assert.Assert(t, open.Allows("") && !open.IsIdempotent("HEAD"))
	none := Route{Idempotent: []string{NoMethod}}
	assert.Assert(t, !none.IsIdempotent("GET") && !none.IsIdempotent(NoMethod))
}

func TestRouteAllowsManyWorkspaces(t *testing.T) {
	sec := Section{Name: "a", Team: "t", Services: []Service{{Name: "s"}}, Routes: []Route{{Path: "/", Service: "s"}}}
	for i := range 100 {
		name := fmt.Sprintf("w-%d", i)
		sec.Workspaces = append(sec.Workspaces, Workspace{Name: name, Rate: 1, Burst: 1})
		if i%2 == 0 {
			sec.Routes[0].Workspaces = append(sec.Routes[0].Workspaces, name)
		}
	}
	r, _ := mustBuild(t, sec).MatchRoute("/x")
	for i := range 100 {
		assert.Equal(t, r.Allows(fmt.Sprintf("w-%d", i)), i%2 == 0)
	}
	assert.Assert(t, !r.Allows(""))
}

// TestMatchRouteIsLongestPrefix compares MatchRoute with a linear search of all
// routes.
func TestMatchRouteIsLongestPrefix(t *testing.T) {
	segment := rapid.SampledFrom([]string{"a", "b", "ab", "c"})
	rapid.Check(t, func(t *rapid.T) {
		paths := rapid.SliceOfNDistinct(rapid.Custom(func(t *rapid.T) string {
			return "/" + strings.Join(rapid.SliceOfN(segment, 0, 4).Draw(t, "route"), "/")
		}), 0, 12, rapid.ID).Draw(t, "routes")
		sec := Section{Name: "a", Team: "t", Services: []Service{{Name: "s"}}}
		for _, p := range paths {
			sec.Routes = append(sec.Routes, Route{Path: p, Service: "s"})
		}
		s, err := Build(1, []Section{sec})
		assert.NilError(t, err)
		path := "/" + strings.Join(rapid.SliceOfN(segment, 0, 7).Draw(t, "path"), "/")
		path += rapid.SampledFrom([]string{"", "/"}).Draw(t, "end")
		want := ""
		for _, p := range paths {
			if isPrefix(p, path) && len(p) > len(want) {
				want = p
			}
		}
		r, ok := s.MatchRoute(path)
		assert.Equal(t, ok, want != "")
		if ok {
			assert.Equal(t, r.Path, want)
		}
	})
}

func isPrefix(prefix, path string) bool {
	return prefix == "/" || path == prefix || strings.HasPrefix(path, prefix+"/")
}

func TestMatchRouteRejectsInvalidPaths(t *testing.T) {
	s := mustBuild(t, Section{Name: "a", Team: "t", Services: []Service{{Name: "s"}}, Routes: []Route{{Path: "/", Service: "s"}}})
	for _, path := range []string{"", "x", "*", "http://h/"} {
		_, ok := s.MatchRoute(path)
		assert.Assert(t, !ok, path)
	}
}

func TestCanonicalPath(t *testing.T) {
	for raw, want := range map[string]string{
		"/": "/", "/a/b/": "/a/b/", "/%61": "/a", "/a%20b": "/a b", "/caf%C3%A9": "/café", "/a/...": "/a/...",
	} {
		got, err := CanonicalPath(raw)
		assert.NilError(t, err, raw)
		assert.Equal(t, got, want)
	}
	for _, raw := range []string{"", "a", "//a", "/a//b", "/a/./b", "/a/../b", "/..", "/%2e%2e/b", "/a%2fb", "/a%5cb", "/a%00", "/%zz", "/a\\b"} {
		_, err := CanonicalPath(raw)
		assert.Assert(t, err != nil, raw)
	}
}

func TestDiffListsItems(t *testing.T) {
	old, err := Parse("doc.yaml", []byte(validDocument))
	assert.NilError(t, err)
	text := strings.NewReplacer("50/s", "60/s", "alfold-2", "alfold-3", "9f86d081884c7d65", "9f86d081884c7d66").Replace(validDocument)
	after, err := Parse("doc.yaml", []byte(text))
	assert.NilError(t, err)
	diff := Diff(old, after)
	for _, line := range []string{
		"- section places: datacentre alfold-2\n",
		"+ section places: datacentre alfold-3\n",
		"~ section orders: workspace retail-1: rate: 50/s -> 60/s, keys:",
	} {
		assert.Assert(t, strings.Contains(diff, line), "%s", diff)
	}
	assert.Equal(t, Diff(old, old), "")
	assert.Equal(t, strings.Count(Diff(old, nil), "\n"), 9)
}

// sectionGen generates valid sections in normal form.
func sectionGen(name string) *rapid.Generator[Section] {
	return rapid.Custom(func(t *rapid.T) Section {
		sec := Section{Name: name, Team: "t"}
		for _, n := range rapid.SliceOfNDistinct(rapid.IntRange(0, 9), 0, 6, rapid.ID).Draw(t, "workspaces") {
			w := Workspace{Name: fmt.Sprintf("w-%d", n), Rate: 1, Burst: rapid.IntRange(1, 3).Draw(t, "burst")}
			if rapid.Bool().Draw(t, "keyed") {
				sum := sha256.Sum256([]byte{byte(n), byte(w.Burst)})
				w.Keys = []Key{{ID: "k-" + w.Name, SHA256: hex.EncodeToString(sum[:])}}
			}
			sec.Workspaces = append(sec.Workspaces, w)
		}
		for _, n := range rapid.SliceOfNDistinct(rapid.IntRange(0, 5), 0, 5, rapid.ID).Draw(t, "datacentres") {
			state := rapid.SampledFrom([]DataCentreState{"", DataCentreIn, DataCentreOut}).Draw(t, "state")
			sec.DataCentres = append(sec.DataCentres, DataCentre{Name: fmt.Sprintf("d-%d", n), Region: "r", State: state})
		}
		return sec.Normalize()
	})
}

func TestPatchApplyReproducesNewSection(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := sectionGen("s").Draw(t, "old"), sectionGen("s").Draw(t, "new")
		got, err := MakePatch(&a, &b).Apply(&a)
		assert.NilError(t, err)
		assert.Equal(t, Diff([]Section{b}, []Section{*got}), "")
		got, err = MakePatch(nil, &b).Apply(nil)
		assert.NilError(t, err)
		assert.Equal(t, got.Checksum(), b.Checksum())
		got, err = MakePatch(&a, nil).Apply(&a)
		assert.NilError(t, err)
		assert.Assert(t, got == nil)
	})
}

func TestPatchOnWrongSectionFails(t *testing.T) {
	a := Section{Name: "s", Team: "t", Workspaces: []Workspace{{Name: "w", Rate: 1, Burst: 1}}}
	b := a
	b.Workspaces = append(slices.Clone(a.Workspaces), Workspace{Name: "x", Rate: 1, Burst: 1})
	other := Section{Name: "s", Team: "t"}
	_, err := MakePatch(&a, &b).Apply(&other)
	assert.ErrorContains(t, err, "load the whole document")
}

// documentGen generates documents of two valid sections between which items may
// move.
func documentGen() *rapid.Generator[[]Section] {
	return rapid.Custom(func(t *rapid.T) []Section {
		whole := sectionGen("a").Draw(t, "items")
		a, b := Section{Name: "a", Team: "t"}, Section{Name: "b", Team: "t"}
		ws := whole.Workspaces
		if len(ws) > 1 && rapid.Bool().Draw(t, "swap keys") {
			ws[0].Keys, ws[1].Keys = ws[1].Keys, ws[0].Keys
		}
		for _, w := range ws {
			sec := rapid.SampledFrom([]*Section{&a, &b}).Draw(t, "section of workspace")
			sec.Workspaces = append(sec.Workspaces, w)
		}
		for _, d := range whole.DataCentres {
			sec := rapid.SampledFrom([]*Section{&a, &b}).Draw(t, "section of datacentre")
			sec.DataCentres = append(sec.DataCentres, d)
		}
		a.Services = []Service{{Name: "s"}}
		for _, p := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"/", "/a", "/a/b", "/c"}), 0, 4, rapid.ID).Draw(t, "paths") {
			sec := rapid.SampledFrom([]*Section{&a, &b}).Draw(t, "section of route")
			sec.Routes = append(sec.Routes, Route{Path: p, Service: "s"})
		}
		doc := []Section{a.Normalize(), b.Normalize()}
		assert.NilError(t, Validate(doc))
		return doc
	})
}

// TestAdvanceMatchesFullBuild compares a chain of incrementally updated snapshots
// with snapshots built from scratch, and checks that updates do not modify the
// earlier snapshots.
func TestAdvanceMatchesFullBuild(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		docs := rapid.SliceOfN(documentGen(), 2, 5).Draw(t, "documents")
		chain := []*Snapshot{BuildUnvalidated(0, docs[0])}
		for i := 1; i < len(docs); i++ {
			var patches []Patch
			for j := range docs[i] {
				patches = append(patches, MakePatch(&docs[i-1][j], &docs[i][j]))
			}
			chain = append(chain, chain[i-1].Advance(uint64(i), patches))
		}
		for i, s := range chain {
			assert.Equal(t, dump(s), dump(BuildUnvalidated(uint64(i), docs[i])))
		}
		removal := MakePatch(&docs[len(docs)-1][1], nil)
		remaining := chain[len(chain)-1].Advance(99, []Patch{removal})
		assert.Equal(t, dump(remaining), dump(BuildUnvalidated(99, docs[len(docs)-1][:1])))
	})
}

// dump returns the contents of a snapshot in a fixed order.
func dump(s *Snapshot) string {
	lines := []string{fmt.Sprint("revision ", s.Revision())}
	s.routes.all(func(k string, r *Route) bool { lines = append(lines, fmt.Sprintf("route %s %+v", k, *r)); return true })
	s.keys.all(func(k Digest, r KeyRef) bool { lines = append(lines, fmt.Sprintf("key %x %+v", k, r)); return true })
	s.Workspaces(func(w *Workspace) bool { lines = append(lines, fmt.Sprintf("workspace %+v", *w)); return true })
	s.Services(func(v *Service) bool { lines = append(lines, fmt.Sprintf("service %+v", *v)); return true })
	lines = append(lines, fmt.Sprintf("%+v", s.DataCentres()))
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}
