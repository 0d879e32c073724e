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

// TestLoadDuringChanges loads while sections change; each load must be the
// document at its revision, which the log reproduces.
func TestLoadDuringChanges(t *testing.T) {
	const changes = 60
	p := standin.New()
	writer := New(p, nil)
	for i := range 4 {
		mustApply(t, writer, change(fmt.Sprint("s", i), 0, team(fmt.Sprint("t", i), 1)))
	}
	var g errgroup.Group
	g.Go(func() error {
		for i := range changes {
			st, err := writer.Load(testContext(t))
			if err != nil {
				return err
			}
			c := change(fmt.Sprint("c", i), st.Revision, team(fmt.Sprint("t", i%4), i%7))
			if _, err := writer.Apply(testContext(t), c); err != nil {
				return err
			}
		}
		return nil
	})
	var loads []State
	for range 100 {
		st, err := New(p, nil).Load(testContext(t))
		var busy *BusyError
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
		assertSame(t, st, want)
	}
}

// hooked runs a hook before the second scan of a load.
type hooked struct {
	platform.Table
	scans int
	hook  func()
}

func (h *hooked) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	h.scans++
	if h.scans == 2 {
		h.hook()
	}
	return h.Table.Scan(ctx, prefix, after, limit)
}

// TestLoadIsOfOneRevision changes, between two pages of a load, one section that
// was read and one that was not.
func TestLoadIsOfOneRevision(t *testing.T) {
	p := standin.New()
	writer := New(p, nil)
	first := Change{ID: "c1", Author: "x"}
	for i := range scanRows + 8 {
		name := fmt.Sprintf("t-%02d", i)
		first.Edits = append(first.Edits, Edit{Name: name, Section: team(name, 1)})
	}
	mustApply(t, writer, first)
	early, late := first.Edits[0].Name, first.Edits[scanRows+7].Name
	table := &hooked{Table: p, hook: func() {
		mustApply(t, writer, Change{ID: "c2", Author: "x", Edits: []Edit{
			{Name: early, Base: 1, Section: team(early, 2)},
			{Name: late, Base: 1, Section: team(late, 2)},
		}})
	}}
	st := mustLoad(t, New(table, nil))
	assertSame(t, st, mustLoad(t, writer))
}
