package configstore

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/platform"
	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

// TestLoadDuringChanges loads the document while sections change. Each result must
// equal the document that the log yields at its revision.
func TestLoadDuringChanges(t *testing.T) {
	const changes = 60
	p := standin.New()
	writer := New(p, nil)
	for i := range 4 {
		mustApply(t, writer, testChange(fmt.Sprint("s", i), 0, testSection(fmt.Sprint("t", i), 1)))
	}
	var g errgroup.Group
	g.Go(func() error {
		for i := range changes {
			st, err := writer.Load(testContext(t))
			if err != nil {
				return err
			}
			c := testChange(fmt.Sprint("c", i), st.Revision, testSection(fmt.Sprint("t", i%4), i%7))
			if _, err := writer.Apply(testContext(t), c); err != nil {
				return err
			}
		}
		return nil
	})
	var loads []State
	for range 100 {
		st, err := New(p, nil).Load(testContext(t))
		var busy *ContentionError
		if errors.As(err, &busy) {
			continue
		}
		assert.NilError(t, err)
		loads = append(loads, st)
	}
	assert.NilError(t, g.Wait())
	deltas, err := writer.Since(testContext(t), 0, 1000)
	assert.NilError(t, err)
	for _, st := range loads {
		want, err := State{}.Advance(deltas[:st.Revision])
		assert.NilError(t, err)
		assertEqualStates(t, st, want)
	}
}

// hookedTable calls hook before the second scan.
type hookedTable struct {
	platform.Table
	scans int
	hook  func()
}

func (h *hookedTable) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	h.scans++
	if h.scans == 2 {
		h.hook()
	}
	return h.Table.Scan(ctx, prefix, after, limit)
}

// TestLoadReturnsSingleRevision changes, between two scans of a load, one section
// that was already read and one that was not. The result must not mix revisions.
func TestLoadReturnsSingleRevision(t *testing.T) {
	p := standin.New()
	writer := New(p, nil)
	first := Change{ID: "c1", Author: "x"}
	for i := range scanBatchSize + 8 {
		name := fmt.Sprintf("t-%02d", i)
		first.Edits = append(first.Edits, Edit{Name: name, Section: testSection(name, 1)})
	}
	mustApply(t, writer, first)
	early, late := first.Edits[0].Name, first.Edits[scanBatchSize+7].Name
	table := &hookedTable{Table: p, hook: func() {
		mustApply(t, writer, Change{ID: "c2", Author: "x", Edits: []Edit{
			{Name: early, Base: 1, Section: testSection(early, 2)},
			{Name: late, Base: 1, Section: testSection(late, 2)},
		}})
	}}
	st := mustLoad(t, New(table, nil))
	assertEqualStates(t, st, mustLoad(t, writer))
}
