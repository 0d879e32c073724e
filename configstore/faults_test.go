package configstore

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/platform"
	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

// flaky loses commits or their replies as told by a script.
type flaky struct {
	platform.Table
	// script has an entry for each commit: 'a' lost after the effect, 'b' lost
	// before it, 'd' delayed until the next commit begins, '.' no fault.
	script  string
	delayed func()
}

func (f *flaky) Commit(ctx context.Context, txn platform.Txn) error {
	step := byte('.')
	if f.script != "" {
		step, f.script = f.script[0], f.script[1:]
	}
	if f.delayed != nil {
		f.delayed()
		f.delayed = nil
	}
	lost := &platform.Error{Kind: platform.KindUncertain, Op: "commit"}
	switch step {
	case 'a':
		_ = f.Table.Commit(ctx, txn)
		return lost
	case 'b':
		return lost
	case 'd':
		f.delayed = func() { _ = f.Table.Commit(ctx, txn) }
		return lost
	}
	return f.Table.Commit(ctx, txn)
}

// TestLostReplies demands exactly one effect whatever becomes of the commits.
func TestLostReplies(t *testing.T) {
	for _, script := range []string{"a", "b", "d", "ba", "bb", "bd", "db", "da", "dd", "bbd"} {
		t.Run(script, func(t *testing.T) {
			p := standin.New()
			s := New(&flaky{Table: p, script: script}, nil)
			res := mustApply(t, s, change("c1", 0, team("a", 1)))
			assert.Equal(t, res, Result{Revision: 1})
			assertHistory(t, New(p, nil), 1)
		})
	}
}

// TestLostReplyThenRival lets a rival change the section after a commit whose
// reply was lost; the caller must still learn that its change was accepted.
func TestLostReplyThenRival(t *testing.T) {
	p := standin.New()
	rival := New(p, nil)
	table := &flaky{Table: p, script: "d"}
	s := New(table, nil)
	mustApply(t, s, change("c1", 0, team("a", 1)))
	mustApply(t, rival, change("c2", 1, team("a", 2)))
	res := mustApply(t, s, change("c1", 0, team("a", 1)))
	assert.Equal(t, res, Result{Revision: 1, Repeated: true})
	assertHistory(t, rival, 2)
}

func TestReusedChangeID(t *testing.T) {
	p := standin.New()
	s := New(p, nil)
	mustApply(t, s, change("c1", 0, team("a", 1)))
	_, err := s.Apply(testContext(t), change("c1", 1, team("a", 2)))
	var reused *ReusedIDError
	assert.Assert(t, errors.As(err, &reused), "%v", err)
}

func TestOutage(t *testing.T) {
	p := standin.New()
	s := New(p, nil)
	p.SetFault(standin.Fault{Mode: standin.ModeDown})
	_, err := s.Apply(testContext(t), change("c1", 0, team("a", 1)))
	assert.Assert(t, platform.IsKind(err, platform.KindUnavailable), "%v", err)
	_, err = s.Load(testContext(t))
	assert.Assert(t, platform.IsKind(err, platform.KindUnavailable), "%v", err)
	p.SetFault(standin.Fault{Mode: standin.ModeOK})
	mustApply(t, s, change("c1", 0, team("a", 1)))
}

// downAfter takes the platform down once a commit has been sent.
type downAfter struct{ *standin.Platform }

func (d downAfter) Commit(ctx context.Context, txn platform.Txn) error {
	d.SetFault(standin.Fault{Mode: standin.ModeLoseReplies})
	err := d.Platform.Commit(ctx, txn)
	d.SetFault(standin.Fault{Mode: standin.ModeDown})
	return err
}

// TestOutageAfterCommit demands that an unknown outcome is not called a failure,
// and that a repetition with the same id finds the accepted change.
func TestOutageAfterCommit(t *testing.T) {
	p := standin.New()
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_, err := New(downAfter{p}, nil).Apply(ctx, change("c1", 0, team("a", 1)))
	var uncertain *UncertainError
	assert.Assert(t, errors.As(err, &uncertain), "%v", err)
	assert.Equal(t, uncertain.ChangeID, "c1")
	p.SetFault(standin.Fault{Mode: standin.ModeOK})
	res := mustApply(t, New(p, nil), change("c1", 0, team("a", 1)))
	assert.Equal(t, res, Result{Revision: 1, Repeated: true})
}
