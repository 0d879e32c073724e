package configstore

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/gooseberryshed/gooseberryshed/config"
	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

func TestViewNeverLowersRevision(t *testing.T) {
	p := standin.New()
	s := New(p, nil)
	var states []State
	for i := range 4 {
		mustApply(t, s, testChange(fmt.Sprint("c", i), uint64(i), testSection("a", i+1)))
		states = append(states, mustLoad(t, s))
	}
	deltas, err := s.Since(testContext(t), 0, 10)
	assert.NilError(t, err)
	v, err := NewView(State{}).Advance(deltas[:3])
	assert.NilError(t, err)
	assert.Equal(t, v.Snapshot.Revision(), uint64(3))
	assert.Equal(t, v.Replace(states[1]).Snapshot.Revision(), uint64(3))
	assert.Equal(t, v.Replace(states[3]).Snapshot.Revision(), uint64(4))
	again, err := v.Advance(deltas)
	assert.NilError(t, err)
	assertEqualStates(t, again.State, states[3])
	_, ok := again.Snapshot.Workspace("a-3")
	assert.Assert(t, ok)
	same, err := again.Advance(deltas[:2])
	assert.NilError(t, err)
	assert.Equal(t, same.Snapshot.Revision(), uint64(4))
}

// drawHistory generates changes of five sections, including removals, and returns
// the deltas and the state after each of them; states[i] has revision i.
func drawHistory(t *rapid.T) ([]Delta, []State) {
	p := standin.New()
	s := New(p, nil)
	states := []State{{}}
	for i := range rapid.IntRange(1, 12).Draw(t, "changes") {
		st := states[i]
		name := fmt.Sprint("t", rapid.IntRange(0, 4).Draw(t, "section"))
		old, ok := st.Section(name)
		e := Edit{Name: name, Base: st.Revision, Section: testSection(name, i+1)}
		if ok && !old.Removed && rapid.Bool().Draw(t, "remove") {
			e.Section = nil
		}
		_, err := s.Apply(t.Context(), Change{ID: fmt.Sprint("c", i), Author: "x", Edits: []Edit{e}})
		assert.NilError(t, err)
		next, err := s.Load(t.Context())
		assert.NilError(t, err)
		states = append(states, next)
	}
	deltas, err := s.Since(t.Context(), 0, len(states))
	assert.NilError(t, err)
	return deltas, states
}

// TestAssemblerWithChangingPeer takes each page from a state of the peer that is
// the same as or later than that of the previous page.
func TestAssemblerWithChangingPeer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		deltas, states := drawHistory(t)
		at := rapid.IntRange(0, len(states)-1).Draw(t, "first")
		var a StateAssembler
		for after := ""; ; {
			p := states[at].Page(after, 1)
			a.AddPage(p)
			if p.Next == "" {
				break
			}
			after = p.Next
			at = rapid.IntRange(at, len(states)-1).Draw(t, "next")
		}
		from, to := a.MissingRange()
		if from < to {
			_, err := a.Finish(nil)
			assert.ErrorContains(t, err, "load the whole document")
		}
		st, err := a.Finish(deltas[from:to])
		assert.NilError(t, err)
		assertEqualStates(t, st, states[to])
	})
}

// TestViewServesDeltasToPeers checks that a peer can catch up from a view in
// messages of limited size.
func TestViewServesDeltasToPeers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		deltas, states := drawHistory(t)
		last := uint64(len(states) - 1)
		start := rapid.Uint64Range(0, last).Draw(t, "revision of view")
		v, err := NewView(states[start]).Advance(deltas)
		assert.NilError(t, err)
		behind := rapid.Uint64Range(0, last).Draw(t, "revision of peer")
		peer := NewView(states[behind])
		for peer.State.Revision < last {
			got, ok := v.Since(peer.State.Revision, 2000)
			assert.Equal(t, ok, peer.State.Revision >= start)
			if !ok {
				return
			}
			peer, err = peer.Advance(got)
			assert.NilError(t, err)
		}
		assertEqualStates(t, peer.State, v.State)
	})
}

func TestViewTailIsBounded(t *testing.T) {
	v := NewView(State{})
	var old *config.Section
	const changes = maxTailDeltas + 10
	for i := range changes {
		sec := &config.Section{Name: "a", Team: fmt.Sprint(i)}
		d := Delta{Revision: uint64(i + 1), Message: strings.Repeat("x", 100), Patches: []config.Patch{config.MakePatch(old, sec)}}
		next, err := v.Advance([]Delta{d})
		assert.NilError(t, err)
		v, old = next, sec
	}
	_, ok := v.Since(changes-maxTailDeltas, 1<<30)
	assert.Assert(t, ok)
	_, ok = v.Since(changes-maxTailDeltas-1, 1<<30)
	assert.Assert(t, !ok)
	big := Delta{Revision: changes + 1, Message: strings.Repeat("x", maxTailBytes), Patches: nil}
	v, err := v.Advance([]Delta{big})
	assert.NilError(t, err)
	_, ok = v.Since(changes, 1<<30)
	assert.Assert(t, !ok)
}

// benchSection returns one of the 200 sections of the document that the design
// assumes.
func benchSection(i int) *config.Section {
	sec := testSection(fmt.Sprintf("team-%03d", i), 195)
	sec.Services = []config.Service{{Name: sec.Name}}
	for j := range sec.Workspaces {
		w := &sec.Workspaces[j]
		for k := range 2 {
			id := fmt.Sprintf("%s-%d", w.Name, k)
			w.Keys = append(w.Keys, config.Key{ID: id, SHA256: fmt.Sprintf("%x", sha256.Sum256([]byte(id)))})
		}
	}
	for j := range 90 {
		path := fmt.Sprintf("/%s/v1/items-%03d", sec.Name, j)
		sec.Routes = append(sec.Routes, config.Route{Path: path, Service: sec.Name})
	}
	return sec
}

// benchState returns a document of the size that the design assumes.
func benchState() State {
	st := State{Revision: 1}
	for i := range 200 {
		st.put(StoredSection{Revision: 1, Author: "bench", Section: benchSection(i).Normalize()})
	}
	return st
}

// BenchmarkApply measures a change of one workspace, including loading the whole
// document.
func BenchmarkApply(b *testing.B) {
	p := standin.New()
	s := New(p, nil)
	first := Change{ID: "first", Author: "bench"}
	for i := range 200 {
		sec := benchSection(i)
		first.Edits = append(first.Edits, Edit{Name: sec.Name, Section: sec})
	}
	mustApply(b, s, first)
	sec := benchSection(7)
	before := p.Stats()
	b.ResetTimer()
	for i := range b.N {
		sec.Workspaces[3].Burst = i + 6
		mustApply(b, s, testChange(fmt.Sprint("c", i), uint64(i+1), sec))
	}
	after := p.Stats()
	n := float64(b.N)
	b.ReportMetric(float64(after.Reads-before.Reads)/n, "reads/op")
	b.ReportMetric(float64(after.Writes-before.Writes)/n, "writes/op")
	b.ReportMetric(float64(after.BytesWritten-before.BytesWritten)/n, "written-B/op")
	b.ReportMetric(float64(after.BytesRead-before.BytesRead)/n, "read-B/op")
}

// BenchmarkSnapshotObject measures decoding the snapshot object that daemons load
// at start instead of reading the table.
func BenchmarkSnapshotObject(b *testing.B) {
	data, err := encodeSnapshot(benchState())
	assert.NilError(b, err)
	b.ResetTimer()
	for range b.N {
		_, err := decodeSnapshot(data)
		assert.NilError(b, err)
	}
	b.ReportMetric(float64(len(data)), "object-B")
}

// BenchmarkViewAdvance measures the whole work of a daemon for a change of one
// workspace.
func BenchmarkViewAdvance(b *testing.B) {
	v := NewView(benchState())
	old := v.State.Sections[7].Section
	changed := *benchSection(7)
	changed.Workspaces[3].Burst++
	changed = changed.Normalize()
	d := Delta{Revision: 2, ChangeID: NewChangeID(), Author: "bench", Patches: []config.Patch{config.MakePatch(&old, &changed)}}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		_, err := v.Advance([]Delta{d})
		assert.NilError(b, err)
	}
	b.ReportMetric(float64(jsonSize(d)), "delta-B")
}

func BenchmarkNewView(b *testing.B) {
	st := benchState()
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		NewView(st)
	}
}
