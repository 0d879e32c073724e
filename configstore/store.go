package configstore

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryshed/gooseberryshed/platform"
)

const (
	// scanBatchSize is the number of rows per read. It is small because
	// sections may be large.
	scanBatchSize = 32
	// MaxLogEntries is the number of changes that the log retains. A daemon
	// that is further behind loads the whole document.
	MaxLogEntries = 4000
	// snapshotInterval is the number of changes between saved snapshots.
	snapshotInterval = 50
	// maxApplyAttempts is the maximum number of attempts per change.
	maxApplyAttempts = 24
	// maxReconcileRounds is the maximum number of rounds in which Load catches
	// up with the head.
	maxReconcileRounds = 16
	// minBackoff and maxBackoff limit the backoff between attempts.
	minBackoff = 5 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// Store reads and changes the document. It is stateless and safe for concurrent
// use.
type Store struct {
	table         platform.Table
	objects       platform.Objects
	now           func() time.Time
	maxLogEntries uint64
}

// New returns a store. objects may be nil if snapshots are not used.
func New(table platform.Table, objects platform.Objects) *Store {
	return &Store{table: table, objects: objects, now: time.Now, maxLogEntries: MaxLogEntries}
}

// Head returns the revision of the document, or 0 if there is none yet.
func (s *Store) Head(ctx context.Context) (uint64, error) {
	head, _, err := s.readHead(ctx)
	return head, err
}

// readHead returns the revision of the document and the version of the head row.
func (s *Store) readHead(ctx context.Context) (revision, version uint64, err error) {
	row, err := s.table.Get(ctx, keyHead)
	if platform.IsKind(err, platform.KindNotFound) {
		return 0, 0, nil
	}
	if err != nil {
		return 0, 0, errors.WithMessage(err, "read the configuration head")
	}
	var h headRow
	if err := decodeRow(row, &h.Format, &h); err != nil {
		return 0, 0, err
	}
	return h.Revision, row.Version, nil
}

// Load reads the whole document. Sections that change during the read are found
// in the log and read again, so that the result is consistent at one revision.
func (s *Store) Load(ctx context.Context) (State, error) {
	head, err := s.Head(ctx)
	if err != nil {
		return State{}, err
	}
	st := State{Revision: head}
	after := ""
	for {
		rows, err := s.table.Scan(ctx, prefixSection, after, scanBatchSize)
		if err != nil {
			return State{}, errors.WithMessage(err, "read the configuration sections")
		}
		if len(rows) == 0 {
			break
		}
		for _, row := range rows {
			var r sectionRow
			if err := decodeRow(row, &r.Format, &r); err != nil {
				return State{}, err
			}
			st.Sections = append(st.Sections, r.StoredSection)
		}
		after = rows[len(rows)-1].Key
	}
	return s.reconcile(ctx, st)
}

// reconcile brings sections that were read one by one to a common revision. It
// reloads the sections that changed in the meantime until the head no longer
// changes.
func (s *Store) reconcile(ctx context.Context, st State) (State, error) {
	for range maxReconcileRounds {
		head, err := s.Head(ctx)
		if err != nil || head == st.Revision {
			return st, err
		}
		if err := s.reloadChanged(ctx, &st, head); err != nil {
			return State{}, err
		}
		st.Revision = head
	}
	return State{}, &ContentionError{Attempts: maxReconcileRounds}
}

// reloadChanged reloads the sections that changed after st.Revision, up to head.
func (s *Store) reloadChanged(ctx context.Context, st *State, head uint64) error {
	changed := map[string]bool{}
	for rev := st.Revision; rev < head; {
		deltas, err := s.Since(ctx, rev, scanBatchSize)
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
		if err := s.reloadSection(ctx, st, name); err != nil {
			return err
		}
	}
	return nil
}

func (s *Store) reloadSection(ctx context.Context, st *State, name string) error {
	row, _, err := s.readSection(ctx, name)
	if err != nil {
		return err
	}
	if row == nil {
		return &CorruptError{Key: sectionKey(name), Err: errors.New("the section is in the log but does not exist")}
	}
	st.put(*row)
	return nil
}

// readSection returns a section and the version of its row, or nil if it does not
// exist.
func (s *Store) readSection(ctx context.Context, name string) (*StoredSection, uint64, error) {
	row, err := s.table.Get(ctx, sectionKey(name))
	if platform.IsKind(err, platform.KindNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, errors.WithMessagef(err, "read configuration section %s", name)
	}
	var r sectionRow
	if err := decodeRow(row, &r.Format, &r); err != nil {
		return nil, 0, err
	}
	return &r.StoredSection, row.Version, nil
}

// Since returns up to limit changes after revision rev, oldest first. It fails
// with a GapError if the log no longer contains all of them.
func (s *Store) Since(ctx context.Context, rev uint64, limit int) ([]Delta, error) {
	rows, err := s.table.Scan(ctx, prefixLog, logKey(rev), limit)
	if err != nil {
		return nil, errors.WithMessage(err, "read the configuration log")
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
