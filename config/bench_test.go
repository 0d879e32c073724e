package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"
)

// Size of the document that the design assumes.
const (
	benchSections         = 200
	benchRoutes           = 18_000
	benchWorkspaces       = 39_000
	benchKeysPerWorkspace = 2
)

func benchSection(n int) Section {
	team := fmt.Sprintf("team-%03d", n)
	s := Section{Name: team, Team: team, Services: []Service{{Name: team + "-service", Floor: 0.7, Timeout: DefaultTimeout}}}
	for i := range benchWorkspaces / benchSections {
		w := Workspace{Name: fmt.Sprintf("%s-workspace-%04d", team, i), Rate: 10, Burst: 20}
		for k := range benchKeysPerWorkspace {
			id := fmt.Sprintf("%s-%d", w.Name, k)
			sum := sha256.Sum256([]byte(id))
			w.Keys = append(w.Keys, Key{ID: id, SHA256: hex.EncodeToString(sum[:])})
		}
		s.Workspaces = append(s.Workspaces, w)
	}
	for i := range benchRoutes / benchSections {
		s.Routes = append(s.Routes, Route{Path: fmt.Sprintf("/%s/v1/items-%03d", team, i), Service: team + "-service"})
	}
	return s
}

func benchDocument() []Section {
	sections := make([]Section, benchSections)
	for i := range sections {
		sections[i] = benchSection(i)
	}
	return sections
}

func BenchmarkParse(b *testing.B) {
	text, err := Marshal(Document{Sections: benchDocument()})
	assert.NilError(b, err)
	b.SetBytes(int64(len(text)))
	b.ResetTimer()
	for range b.N {
		_, err := Parse("doc.yaml", text)
		assert.NilError(b, err)
	}
	b.ReportMetric(float64(len(text)), "document-B")
}

func BenchmarkDecodeJSON(b *testing.B) {
	data, err := json.Marshal(benchDocument())
	assert.NilError(b, err)
	b.SetBytes(int64(len(data)))
	for range b.N {
		var sections []Section
		assert.NilError(b, json.Unmarshal(data, &sections))
	}
}

func BenchmarkValidate(b *testing.B) {
	sections := benchDocument()
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		assert.NilError(b, Validate(sections))
	}
}

func BenchmarkBuildUnvalidated(b *testing.B) {
	sections := benchDocument()
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		BuildUnvalidated(1, sections)
	}
}

func BenchmarkBuild(b *testing.B) {
	sections := benchDocument()
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		_, err := Build(1, sections)
		assert.NilError(b, err)
	}
}

// BenchmarkSnapshotBytes reports the heap memory of sections and of a snapshot.
func BenchmarkSnapshotBytes(b *testing.B) {
	for range b.N {
		before := liveHeap()
		sections := benchDocument()
		withSections := liveHeap()
		s, err := Build(1, sections)
		assert.NilError(b, err)
		after := liveHeap()
		b.ReportMetric(float64(withSections-before), "sections-B")
		b.ReportMetric(float64(after-withSections), "snapshot-B")
		runtime.KeepAlive(sections)
		runtime.KeepAlive(s)
	}
}

func liveHeap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func BenchmarkMatchRoute(b *testing.B) {
	s := mustBuild(b, benchDocument()...)
	paths := make([]string, 1024)
	for i := range paths {
		paths[i] = fmt.Sprintf("/team-%03d/v1/items-%03d/orders/%d", i%benchSections, i%90, i)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		if _, ok := s.MatchRoute(paths[i%len(paths)]); !ok {
			b.Fatal("no route")
		}
	}
}

func BenchmarkCanonicalPath(b *testing.B) {
	b.ReportAllocs()
	for range b.N {
		if _, err := CanonicalPath("/team-017/v1/items-042/orders/12345"); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkFindKey(b *testing.B) {
	s := mustBuild(b, benchDocument()...)
	digests := make([]Digest, 1024)
	for i := range digests {
		digests[i] = sha256.Sum256([]byte(fmt.Sprintf("team-%03d-workspace-%04d-0", i%benchSections, i%195)))
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		if _, ok := s.FindKey(digests[i%len(digests)]); !ok {
			b.Fatal("no key")
		}
	}
}

// BenchmarkPatch measures applying a patch that changes one workspace's keys.
func BenchmarkPatch(b *testing.B) {
	old := benchSection(0).Normalize()
	changed := old
	changed.Workspaces = append([]Workspace(nil), old.Workspaces...)
	changed.Workspaces[7].Keys = changed.Workspaces[7].Keys[:1]
	p := MakePatch(&old, &changed)
	patch, err := json.Marshal(p)
	assert.NilError(b, err)
	whole, err := json.Marshal(changed)
	assert.NilError(b, err)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		_, err := p.Apply(&old)
		assert.NilError(b, err)
	}
	b.ReportMetric(float64(len(patch)), "patch-B")
	b.ReportMetric(float64(len(whole)), "section-B")
}

// BenchmarkAdvance measures updating a snapshot after a change of one workspace's
// keys.
func BenchmarkAdvance(b *testing.B) {
	sections := benchDocument()
	s := BuildUnvalidated(1, sections)
	changed := sections[17]
	changed.Workspaces = append([]Workspace(nil), changed.Workspaces...)
	changed.Workspaces[7].Keys = changed.Workspaces[7].Keys[:1]
	patches := []Patch{MakePatch(&sections[17], &changed)}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		s.Advance(2, patches)
	}
}
