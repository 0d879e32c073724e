package claim

import (
	"context"
	"sort"
	"strings"
	"sync"

	"github.com/gooseberryshed/gooseberryshed/platform"
)

// fault is a fault injected into an operation of a fakeTable.
type fault int

const (
	faultNone fault = iota
	// faultUnavailable rejects the operation.
	faultUnavailable
	// faultReplyLost applies the operation but loses the reply.
	faultReplyLost
	// faultRequestLost loses the request, so the outcome is uncertain.
	faultRequestLost
)

// fakeTable is an in-memory table with injected faults.
type fakeTable struct {
	mu      sync.Mutex
	rows    map[string]platform.Row
	version uint64
	commits int
	// nextFault selects the fault of each operation. Nil means no faults.
	nextFault func(op string) fault
	// hideConflictKeys omits the conflicting rows from conflict errors.
	hideConflictKeys bool
}

func newFakeTable() *fakeTable { return &fakeTable{rows: map[string]platform.Row{}} }

func (t *fakeTable) fault(op string) fault {
	if t.nextFault == nil {
		return faultNone
	}
	return t.nextFault(op)
}

func (t *fakeTable) Get(_ context.Context, key string) (platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fault("get") != faultNone {
		return platform.Row{}, &platform.Error{Kind: platform.KindUnavailable, Op: "get " + key}
	}
	row, ok := t.rows[key]
	if !ok {
		return row, &platform.Error{Kind: platform.KindNotFound, Op: "get " + key}
	}
	return row, nil
}

func (t *fakeTable) Scan(_ context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []platform.Row
	for k, r := range t.rows {
		if strings.HasPrefix(k, prefix) && k > after {
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows[:min(len(rows), limit)], nil
}

func (t *fakeTable) Commit(_ context.Context, txn platform.Txn) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.commits++
	f := t.fault("commit")
	switch f {
	case faultUnavailable:
		return &platform.Error{Kind: platform.KindUnavailable, Op: "commit"}
	case faultRequestLost:
		return &platform.Error{Kind: platform.KindUncertain, Op: "commit"}
	}
	err := t.apply(txn)
	if f == faultReplyLost {
		return &platform.Error{Kind: platform.KindUncertain, Op: "commit"}
	}
	return err
}

func (t *fakeTable) apply(txn platform.Txn) error {
	var failed []string
	for _, p := range txn.Require {
		if t.rows[p.Key].Version != p.Version {
			failed = append(failed, p.Key)
		}
	}
	if len(failed) > 0 && t.hideConflictKeys {
		failed = nil
		return &platform.Error{Kind: platform.KindConflict, Op: "commit"}
	}
	if len(failed) > 0 {
		return &platform.Error{Kind: platform.KindConflict, Op: "commit", Keys: failed}
	}
	for _, w := range txn.Writes {
		if w.Delete {
			delete(t.rows, w.Key)
			continue
		}
		t.version++
		t.rows[w.Key] = platform.Row{Key: w.Key, Value: w.Value, Version: t.version}
	}
	return nil
}
