package configstore

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/platform"
	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

func TestSnapshotObject(t *testing.T) {
	p := standin.New()
	s := New(p, p.Objects())
	ctx := testContext(t)
	mustApply(t, s, change("c1", 0, team("a", 50)))
	st := mustLoad(t, s)
	assert.NilError(t, s.SaveSnapshot(ctx, st))
	got, err := s.LoadSnapshot(ctx, 1)
	assert.NilError(t, err)
	assertSame(t, got, st)
	var old *OldSnapshotError
	_, err = s.LoadSnapshot(ctx, 2)
	assert.Assert(t, errors.As(err, &old), "%v", err)
	whole, err := p.Objects().Get(ctx, objectSnapshot)
	assert.NilError(t, err)
	for cut := range len(whole) {
		assert.NilError(t, p.Objects().Put(ctx, objectSnapshot, whole[:cut]))
		var corrupt *CorruptError
		_, err = s.LoadSnapshot(ctx, 0)
		assert.Assert(t, errors.As(err, &corrupt), "cut at %d: %v", cut, err)
	}
}

// brokenObjects fails every request.
type brokenObjects struct{ platform.Objects }

func (brokenObjects) Put(context.Context, string, []byte) error {
	return &platform.Error{Kind: platform.KindUnavailable, Op: "put"}
}

// TestChangesSaveSnapshots checks that a snapshot is saved now and then, and that
// no change depends on it.
func TestChangesSaveSnapshots(t *testing.T) {
	p := standin.New()
	s := New(p, p.Objects())
	for i := range snapshotEvery {
		mustApply(t, s, change(fmt.Sprint("c", i), uint64(i), team("a", i+1)))
	}
	got, err := s.LoadSnapshot(testContext(t), snapshotEvery)
	assert.NilError(t, err)
	assertSame(t, got, mustLoad(t, s))
	s = New(p, brokenObjects{})
	for i := range snapshotEvery {
		mustApply(t, s, change(fmt.Sprint("d", i), uint64(snapshotEvery+i), team("a", i+1)))
	}
	assert.Equal(t, mustLoad(t, s).Revision, uint64(2*snapshotEvery))
}
