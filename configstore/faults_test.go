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

// faultyTable loses or delays commits or loses their replies according to a
// script.
type faultyTable struct {
	platform.Table
	// script has one character for each commit: 'a' reply lost after the
	// commit, 'b' request lost before the commit, 'd' commit delayed until the
	// next one begins, '.' no fault.
	script  string
	delayed func()
}

func (f *faultyTable) Commit(ctx context.Context, txn platform.Txn) error {
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

// TestLostCommitReplies checks that a change takes effect exactly once if its
// commits are lost or delayed.
func TestLostCommitReplies(t *testing.T) {
	for _, script := range []string{"a", "b", "d", "ba", "bb", "bd", "db", "da", "dd", "bbd"} {
		t.Run(script, func(t *testing.T) {
			p := standin.New()
			s := New(&faultyTable{Table: p, script: script}, nil)
			res := mustApply(t, s, testChange("c1", 0, testSection("a", 1)))
			assert.Equal(t, res, Result{Revision: 1})
			assertLogMatchesDocument(t, New(p, nil), 1)
		})
	}
}

// TestLostReplyThenConcurrentChange changes the section from another store after a
// commit whose reply was lost. A retry of the first change must still report that
// it was accepted.
func TestLostReplyThenConcurrentChange(t *testing.T) {
	p := standin.New()
	other := New(p, nil)
	table := &faultyTable{Table: p, script: "d"}
	s := New(table, nil)
	mustApply(t, s, testChange("c1", 0, testSection("a", 1)))
	mustApply(t, other, testChange("c2", 1, testSection("a", 2)))
	res := mustApply(t, s, testChange("c1", 0, testSection("a", 1)))
	assert.Equal(t, res, Result{Revision: 1, Repeated: true})
	assertLogMatchesDocument(t, other, 2)
}

func TestReusedChangeID(t *testing.T) {
	p := standin.New()
	s := New(p, nil)
	mustApply(t, s, testChange("c1", 0, testSection("a", 1)))
	_, err := s.Apply(testContext(t), testChange("c1", 1, testSection("a", 2)))
	var reused *ReusedIDError
	assert.Assert(t, errors.As(err, &reused), "%v", err)
}

func TestApplyDuringOutage(t *testing.T) {
	p := standin.New()
	s := New(p, nil)
	p.SetFault(standin.Fault{Mode: standin.ModeDown})
	_, err := s.Apply(testContext(t), testChange("c1", 0, testSection("a", 1)))
	assert.Assert(t, platform.IsKind(err, platform.KindUnavailable), "%v", err)
	_, err = s.Load(testContext(t))
	assert.Assert(t, platform.IsKind(err, platform.KindUnavailable), "%v", err)
	p.SetFault(standin.Fault{Mode: standin.ModeOK})
	mustApply(t, s, testChange("c1", 0, testSection("a", 1)))
}

// downAfterCommit loses the reply of a commit and then makes the platform
// unavailable.
type downAfterCommit struct{ *standin.Platform }

func (d downAfterCommit) Commit(ctx context.Context, txn platform.Txn) error {
	d.SetFault(standin.Fault{Mode: standin.ModeLoseReplies})
	err := d.Platform.Commit(ctx, txn)
	d.SetFault(standin.Fault{Mode: standin.ModeDown})
	return err
}

// TestOutageAfterCommit checks that an unknown outcome is reported as an
// UncertainError and not as a failure, and that a retry with the same ID finds the
// accepted change.
func TestOutageAfterCommit(t *testing.T) {
	p := standin.New()
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_, err := New(downAfterCommit{p}, nil).Apply(ctx, testChange("c1", 0, testSection("a", 1)))
	var uncertain *UncertainError
	assert.Assert(t, errors.As(err, &uncertain), "%v", err)
	assert.Equal(t, uncertain.ChangeID, "c1")
	p.SetFault(standin.Fault{Mode: standin.ModeOK})
	res := mustApply(t, New(p, nil), testChange("c1", 0, testSection("a", 1)))
	assert.Equal(t, res, Result{Revision: 1, Repeated: true})
}
