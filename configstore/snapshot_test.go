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
	mustApply(t, s, testChange("c1", 0, testSection("a", 50)))
	st := mustLoad(t, s)
	assert.NilError(t, s.SaveSnapshot(ctx, st))
	got, err := s.LoadSnapshot(ctx, 1)
	assert.NilError(t, err)
	assertEqualStates(t, got, st)
	var old *StaleSnapshotError
	_, err = s.LoadSnapshot(ctx, 2)
	assert.Assert(t, errors.As(err, &old), "%v", err)
	whole, err := p.Objects().Get(ctx, snapshotObject)
	assert.NilError(t, err)
	for cut := range len(whole) {
		assert.NilError(t, p.Objects().Put(ctx, snapshotObject, whole[:cut]))
		var corrupt *CorruptError
		_, err = s.LoadSnapshot(ctx, 0)
		assert.Assert(t, errors.As(err, &corrupt), "cut at %d: %v", cut, err)
	}
}

// failingObjects fails every Put.
type failingObjects struct{ platform.Objects }

func (failingObjects) Put(context.Context, string, []byte) error {
	return &platform.Error{Kind: platform.KindUnavailable, Op: "put"}
}

// TestApplySavesSnapshots checks that a snapshot is saved after snapshotInterval
// changes, and that changes succeed even if it cannot be saved.
func TestApplySavesSnapshots(t *testing.T) {
	p := standin.New()
	s := New(p, p.Objects())
	for i := range snapshotInterval {
		mustApply(t, s, testChange(fmt.Sprint("c", i), uint64(i), testSection("a", i+1)))
	}
	got, err := s.LoadSnapshot(testContext(t), snapshotInterval)
	assert.NilError(t, err)
	assertEqualStates(t, got, mustLoad(t, s))
	s = New(p, failingObjects{})
	for i := range snapshotInterval {
		mustApply(t, s, testChange(fmt.Sprint("d", i), uint64(snapshotInterval+i), testSection("a", i+1)))
	}
	assert.Equal(t, mustLoad(t, s).Revision, uint64(2*snapshotInterval))
}
