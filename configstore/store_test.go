package configstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/config"
	"github.com/gooseberryshed/gooseberryshed/platform"
	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	return ctx
}

// testSection returns a section with n workspaces.
func testSection(name string, n int) *config.Section {
	s := &config.Section{Name: name, Team: name}
	for i := range n {
		s.Workspaces = append(s.Workspaces, config.Workspace{Name: fmt.Sprintf("%s-%d", name, i), Rate: 10, Burst: 5})
	}
	return s
}

func testChange(id string, base uint64, s *config.Section) Change {
	return Change{ID: id, Author: "op-" + id, Edits: []Edit{{Name: s.Name, Base: base, Section: s}}}
}

func mustApply(t testing.TB, s *Store, c Change) Result {
	t.Helper()
	res, err := s.Apply(testContext(t), c)
	assert.NilError(t, err)
	return res
}

func mustLoad(t testing.TB, s *Store) State {
	t.Helper()
	st, err := s.Load(testContext(t))
	assert.NilError(t, err)
	return st
}

func TestApplyLoadSince(t *testing.T) {
	p := standin.New()
	s := New(p, p.Objects())
	head, err := s.Head(testContext(t))
	assert.NilError(t, err)
	assert.Equal(t, head, uint64(0))
	assert.Equal(t, mustApply(t, s, testChange("c1", 0, testSection("a", 2))).Revision, uint64(1))
	early := mustLoad(t, s)
	assert.Equal(t, mustApply(t, s, testChange("c2", 1, testSection("a", 3))).Revision, uint64(2))
	assert.Equal(t, mustApply(t, s, testChange("c3", 0, testSection("b", 1))).Revision, uint64(3))

	deltas, err := s.Since(testContext(t), 1, 10)
	assert.NilError(t, err)
	assert.Equal(t, len(deltas), 2)
	late, err := early.Advance(deltas)
	assert.NilError(t, err)
	assertEqualStates(t, late, mustLoad(t, s))
	assert.Equal(t, early.Revision, uint64(1))
	assert.Equal(t, len(early.Document()[0].Workspaces), 2)
	snap, err := late.Snapshot()
	assert.NilError(t, err)
	assert.Equal(t, snap.Revision(), uint64(3))
	_, ok := snap.Workspace("a-2")
	assert.Assert(t, ok)
}

func assertEqualStates(t assert.TestingT, a, b State) {
	x, err := json.Marshal(a)
	assert.NilError(t, err)
	y, err := json.Marshal(b)
	assert.NilError(t, err)
	assert.Equal(t, string(x), string(y))
}

func TestAdvanceNeverLowersRevision(t *testing.T) {
	p := standin.New()
	s := New(p, nil)
	for i := range 4 {
		mustApply(t, s, testChange(fmt.Sprint("c", i), uint64(i), testSection("a", i+1)))
	}
	deltas, err := s.Since(testContext(t), 0, 10)
	assert.NilError(t, err)
	st, err := State{}.Advance(deltas)
	assert.NilError(t, err)
	again, err := st.Advance(deltas[:2])
	assert.NilError(t, err)
	assertEqualStates(t, again, st)
	var gap *GapError
	_, err = State{}.Advance(deltas[1:])
	assert.Assert(t, errors.As(err, &gap))
	assert.Equal(t, *gap, GapError{Have: 0, Next: 2})
	deltas[1].Patches[0].Checksum++
	got, err := State{}.Advance(deltas)
	assert.ErrorContains(t, err, "load the whole document")
	assert.Equal(t, got.Revision, uint64(0))
}

func TestInvalidDocumentIsRejected(t *testing.T) {
	p := standin.New()
	s := New(p, nil)
	sec := testSection("a", 1)
	sec.Routes = []config.Route{{Path: "/", Service: "absent"}}
	_, err := s.Apply(testContext(t), testChange("c1", 0, sec))
	var problems config.Problems
	assert.Assert(t, errors.As(err, &problems), "%v", err)
	assert.Equal(t, p.Stats().Writes, int64(0))
}

func TestStaleBaseConflicts(t *testing.T) {
	p := standin.New()
	s := New(p, nil)
	mustApply(t, s, testChange("c1", 0, testSection("a", 1)))
	mustApply(t, s, testChange("c2", 1, testSection("a", 2)))
	_, err := s.Apply(testContext(t), testChange("c3", 1, testSection("a", 3)))
	var conflict *ConflictError
	assert.Assert(t, errors.As(err, &conflict), "%v", err)
	assert.Equal(t, conflict.Current, uint64(2))
	assert.ErrorContains(t, err, "by op-c2")
	assert.ErrorContains(t, err, "+ section a: workspace a-2")
	res := mustApply(t, s, testChange("c4", 1, testSection("a", 2)))
	assert.Equal(t, res, Result{Revision: 2, Unchanged: true})
}

// TestRemovedSectionStaysRemoved checks that a change based on a revision before
// the removal of a section does not restore it.
func TestRemovedSectionStaysRemoved(t *testing.T) {
	p := standin.New()
	s := New(p, nil)
	mustApply(t, s, testChange("c1", 0, testSection("a", 1)))
	before := mustLoad(t, s)
	mustApply(t, s, Change{ID: "c2", Author: "x", Edits: []Edit{{Name: "a", Base: 1}}})
	_, err := s.Apply(testContext(t), testChange("c3", 1, testSection("a", 2)))
	assert.ErrorContains(t, err, "was removed at revision 2")
	assert.Equal(t, len(mustLoad(t, s).Document()), 0)
	deltas, err := s.Since(testContext(t), 1, 10)
	assert.NilError(t, err)
	after, err := before.Advance(deltas)
	assert.NilError(t, err)
	assertEqualStates(t, after, mustLoad(t, s))
	mustApply(t, s, testChange("c4", 2, testSection("a", 2)))
	assert.Equal(t, len(mustLoad(t, s).Document()), 1)
}

// TestConcurrentChangesToDifferentSections checks that concurrent changes by
// several operators are all accepted if they edit different sections.
func TestConcurrentChangesToDifferentSections(t *testing.T) {
	const operators, changes = 8, 5
	p := standin.New()
	var g errgroup.Group
	for op := range operators {
		g.Go(func() error {
			s := New(p, nil)
			base := uint64(0)
			for i := range changes {
				name := fmt.Sprintf("team-%d", op)
				res, err := s.Apply(testContext(t), testChange(fmt.Sprintf("c-%d-%d", op, i), base, testSection(name, i+1)))
				if err != nil {
					return err
				}
				base = res.Revision
			}
			return nil
		})
	}
	assert.NilError(t, g.Wait())
	assertLogMatchesDocument(t, New(p, nil), operators*changes)
}

// assertLogMatchesDocument checks that the log has the given number of revisions
// and that replaying it yields the loaded document.
func assertLogMatchesDocument(t *testing.T, s *Store, revisions int) {
	t.Helper()
	deltas, err := s.Since(testContext(t), 0, 1000)
	assert.NilError(t, err)
	assert.Equal(t, len(deltas), revisions)
	st, err := State{}.Advance(deltas)
	assert.NilError(t, err)
	assertEqualStates(t, st, mustLoad(t, s))
}

// TestConcurrentChangesToOneSection checks that exactly one of several concurrent
// changes with the same base revision is accepted.
func TestConcurrentChangesToOneSection(t *testing.T) {
	const operators = 8
	p := standin.New()
	mustApply(t, New(p, nil), testChange("c0", 0, testSection("a", 1)))
	results := make([]error, operators)
	var g errgroup.Group
	for op := range operators {
		g.Go(func() error {
			_, results[op] = New(p, nil).Apply(testContext(t), testChange(fmt.Sprint("c-", op), 1, testSection("a", op+2)))
			return nil
		})
	}
	assert.NilError(t, g.Wait())
	accepted := 0
	for _, err := range results {
		var conflict *ConflictError
		if err == nil {
			accepted++
		} else {
			assert.Assert(t, errors.As(err, &conflict), "%v", err)
		}
	}
	assert.Equal(t, accepted, 1)
	assertLogMatchesDocument(t, New(p, nil), 2)
}

func TestLogIsTrimmed(t *testing.T) {
	p := standin.New()
	s := New(p, nil)
	s.maxLogEntries = 5
	for i := range 12 {
		mustApply(t, s, testChange(fmt.Sprint("c", i), uint64(i), testSection("a", i+1)))
	}
	rows, err := p.Scan(testContext(t), "config/", "", 100)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 1+1+5+5)
	_, err = s.Since(testContext(t), 3, 10)
	var gap *GapError
	assert.Assert(t, errors.As(err, &gap), "%v", err)
	deltas, err := s.Since(testContext(t), 7, 10)
	assert.NilError(t, err)
	assert.Equal(t, len(deltas), 5)
}

func TestUpdateRetriesAfterConflict(t *testing.T) {
	p := standin.New()
	s := New(p, nil)
	mustApply(t, s, testChange("c0", 0, testSection("a", 1)))
	conflicts := 2
	res, err := s.Update(testContext(t), Change{ID: "u", Author: "x"}, func(st State) ([]Edit, error) {
		sec := *testSection("a", len(st.Sections[0].Section.Workspaces)+1)
		if conflicts > 0 {
			conflicts--
			mustApply(t, s, testChange(fmt.Sprint("r", conflicts), st.Revision, &sec))
		}
		sec.Team = "updated"
		return []Edit{{Name: "a", Base: st.Revision, Section: &sec}}, nil
	})
	assert.NilError(t, err)
	assert.Equal(t, res.Revision, uint64(4))
	assert.Equal(t, len(mustLoad(t, s).Sections[0].Section.Workspaces), 4)
}

func TestNewerRowFormatIsRejected(t *testing.T) {
	p := standin.New()
	row := platform.Write{Key: keyHead, Value: []byte(`{"format":2,"revision":9}`)}
	assert.NilError(t, p.Commit(testContext(t), platform.Txn{Writes: []platform.Write{row}}))
	_, err := New(p, nil).Head(testContext(t))
	assert.ErrorContains(t, err, "upgrade this program")
}
