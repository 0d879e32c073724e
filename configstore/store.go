package configstore

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryshed/gooseberryshed/platform"
)

const (
	// scanRows is how many rows are read at once. Sections may be large.
	scanRows = 32
	// KeepLog is how many changes the log holds. Who is further behind loads
	// the whole document.
	KeepLog = 4000
	// snapshotEvery is the number of changes from one saved snapshot to the
	// next.
	snapshotEvery = 50
	// applyAttempts bounds the tries of one change.
	applyAttempts = 24
	// settleRounds bounds the rounds in which Load catches up with the head.
	settleRounds = 16
	// firstPause and maxPause bound the pause between tries.
	firstPause = 5 * time.Millisecond
	maxPause   = 500 * time.Millisecond
)

// Store reads and changes the document. It keeps no state of its own and may be
// used concurrently.
type Store struct {
	table   platform.Table
	objects platform.Objects
	now     func() time.Time
	keepLog uint64
}

// New returns a store. objects may be nil when snapshots are not used.
func New(table platform.Table, objects platform.Objects) *Store {
	return &Store{table: table, objects: objects, now: time.Now, keepLog: KeepLog}
}

// Head returns the revision of the document, 0 when there is none yet.
func (s *Store) Head(ctx context.Context) (uint64, error) {
	head, _, err := s.head(ctx)
	return head, err
}

// head also returns the version of the head's row.
func (s *Store) head(ctx context.Context) (revision, version uint64, err error) {
	row, err := s.table.Get(ctx, keyHead)
	if platform.IsKind(err, platform.KindNotFound) {
		return 0, 0, nil
	}
	if err != nil {
		return 0, 0, errors.WithMessage(err, "read the head of the configuration")
	}
	var h headRow
	if err := decodeRow(row, &h.Format, &h); err != nil {
		return 0, 0, err
	}
	return h.Revision, row.Version, nil
}

// Load reads the whole document. Changes accepted while it reads are replayed
// from the log, so that the result is the document at one revision.
func (s *Store) Load(ctx context.Context) (State, error) {
	head, err := s.Head(ctx)
	if err != nil {
		return State{}, err
	}
	st := State{Revision: head}
	after := ""
	for {
		rows, err := s.table.Scan(ctx, prefixSection, after, scanRows)
		if err != nil {
			return State{}, errors.WithMessage(err, "read the sections")
		}
		if len(rows) == 0 {
			break
		}
		for _, row := range rows {
			var r sectionRow
			if err := decodeRow(row, &r.Format, &r); err != nil {
				return State{}, err
			}
			st.Sections = append(st.Sections, r.Stored)
		}
		after = rows[len(rows)-1].Key
	}
	return s.settle(ctx, st)
}

// settle brings sections that were read one after the other to one revision: it
// reads anew each section that changed meanwhile, until the head stands still.
func (s *Store) settle(ctx context.Context, st State) (State, error) {
	for range settleRounds {
		head, err := s.Head(ctx)
		if err != nil || head == st.Revision {
			return st, err
		}
		if err := s.rereadChanged(ctx, &st, head); err != nil {
			return State{}, err
		}
		st.Revision = head
	}
	return State{}, &BusyError{Attempts: settleRounds}
}

// rereadChanged reads anew the sections that changed after st.Revision and up to
// head.
func (s *Store) rereadChanged(ctx context.Context, st *State, head uint64) error {
	changed := map[string]bool{}
	for rev := st.Revision; rev < head; {
		deltas, err := s.Since(ctx, rev, scanRows)
		if err != nil {
			return err
		}
		if len(deltas) == 0 {
			return &GapError{Have: rev, Next: head}
		}
		for _, d := range deltas {
			for _, p := range d.Patches {
				changed[p.Section] = true
			}
		}
		rev = deltas[len(deltas)-1].Revision
	}
	for name := range changed {
		if err := s.reread(ctx, st, name); err != nil {
			return err
		}
	}
	return nil
}

func (s *Store) reread(ctx context.Context, st *State, name string) error {
	row, _, err := s.section(ctx, name)
	if err != nil {
		return err
	}
	if row == nil {
		return &CorruptError{Key: sectionKey(name), Err: errors.New("the log names it and it does not exist")}
	}
	st.put(*row)
	return nil
}

// section reads one section and its row's version; nil when it does not exist.
func (s *Store) section(ctx context.Context, name string) (*Stored, uint64, error) {
	row, err := s.table.Get(ctx, sectionKey(name))
	if platform.IsKind(err, platform.KindNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, errors.WithMessagef(err, "read section %s", name)
	}
	var r sectionRow
	if err := decodeRow(row, &r.Format, &r); err != nil {
		return nil, 0, err
	}
	return &r.Stored, row.Version, nil
}

// Since returns up to limit changes after revision rev, oldest first. It fails
// with a GapError when the log does not reach back that far.
func (s *Store) Since(ctx context.Context, rev uint64, limit int) ([]Delta, error) {
	rows, err := s.table.Scan(ctx, prefixLog, logKey(rev), limit)
	if err != nil {
		return nil, errors.WithMessage(err, "read the log")
	}
	deltas := make([]Delta, 0, len(rows))
	for i, row := range rows {
		var r logRow
		if err := decodeRow(row, &r.Format, &r); err != nil {
			return nil, err
		}
		if want := rev + 1 + uint64(i); r.Revision != want {
			return nil, &GapError{Have: want - 1, Next: r.Revision}
		}
		deltas = append(deltas, r.Delta)
	}
	return deltas, nil
}
