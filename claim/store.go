package claim

import (
	"context"
	"encoding/hex"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/gooseberryshed/gooseberryshed/platform"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

// maxClaimAttempts bounds the writes of one claim while the row keeps changing.
const maxClaimAttempts = 4

// Outcome is the result of Begin or TakeOver.
type Outcome int

const (
	// Proceed means that the attempt may run. Result.Claim is set.
	Proceed Outcome = iota + 1
	// Replay means that the request is done. Result.Stored is set.
	Replay
	// InProgress means that another attempt may be running or may have run.
	// Result.Attempt is set: settle it, and call TakeOver if it did not run.
	InProgress
	// Mismatch means that the key was used with a different request.
	Mismatch
)

// Result is the decision about a keyed request.
type Result struct {
	Outcome Outcome
	Claim   *Claim
	Stored  *StoredResponse
	Attempt AttemptRef

	// version is the version of the row if Outcome is InProgress.
	version uint64
}

// Request identifies a keyed request.
type Request struct {
	Workspace string
	// Key is the caller's Idempotency-Key.
	Key string
	// Digest is the digest of the request's method, path and body.
	Digest [32]byte
}

// Store manages claims. Its methods are safe for concurrent use.
type Store struct {
	table     platform.Table
	opts      Options
	committer *committer
	counters  counters
	deferred  deferredWrites
}

// New returns a store backed by the given table.
func New(table platform.Table, opts Options) *Store {
	opts = opts.withDefaults()
	return &Store{
		table:     table,
		opts:      opts,
		committer: &committer{table: table, opts: opts},
	}
}

// Begin claims a request for an attempt. The error is an *Error; if there is
// one, the request must not run.
func (s *Store) Begin(ctx context.Context, req Request, att AttemptRef) (Result, error) {
	s.counters.begun.Add(1)
	return s.claim(ctx, req, att, 0)
}

// TakeOver replaces the attempt of a Result with the outcome InProgress after
// that attempt has been settled as not run. It may return any Outcome.
func (s *Store) TakeOver(ctx context.Context, req Request, found Result, att AttemptRef) (Result, error) {
	s.counters.takeovers.Add(1)
	return s.claim(ctx, req, att, found.version)
}

// claim writes the row if it has the given version, and otherwise decides based
// on its content.
func (s *Store) claim(ctx context.Context, req Request, att AttemptRef, version uint64) (Result, error) {
	rec := record{
		Token:   wire.NewID().String(),
		Digest:  hex.EncodeToString(req.Digest[:]),
		Expires: s.opts.Clock().Add(s.opts.Retention).Unix(),
	}
	rec.assign(att)
	c := &Claim{store: s, key: rowKey(req.Workspace, req.Key), version: version, rec: rec}
	for range maxClaimAttempts {
		err := c.write(ctx, rec)
		if err == nil {
			return s.proceed(c), nil
		}
		if !platform.IsKind(err, platform.KindConflict) && !platform.IsKind(err, platform.KindUncertain) {
			return Result{}, s.unconfirmed(err)
		}
		res, retry, err := s.inspect(ctx, c)
		if err != nil {
			return Result{}, s.unconfirmed(err)
		}
		if !retry {
			return res, nil
		}
	}
	return Result{}, s.unconfirmed(errors.New("claim row kept changing"))
}

// inspect decides based on the row in the table. If retry is true, the write is
// to be repeated with the updated c.version.
func (s *Store) inspect(ctx context.Context, c *Claim) (res Result, retry bool, err error) {
	found, version, err := s.read(ctx, c.key)
	if err != nil {
		return Result{}, false, err
	}
	if version == 0 {
		c.version = 0
		return Result{}, true, nil
	}
	switch classify(&found, c.rec.Token, c.rec.Digest, s.opts.Clock()) {
	case rowOwn:
		c.version = version
		return s.proceed(c), false, nil
	case rowExpired:
		c.version = version
		return Result{}, true, nil
	case rowMismatch:
		s.counters.mismatches.Add(1)
		return Result{Outcome: Mismatch}, false, nil
	case rowCompleted:
		s.counters.replays.Add(1)
		return Result{Outcome: Replay, Stored: found.Stored}, false, nil
	}
	s.counters.inProgress.Add(1)
	return Result{Outcome: InProgress, Attempt: found.attempt(), version: version}, false, nil
}

func (s *Store) proceed(c *Claim) Result {
	s.counters.proceeded.Add(1)
	return Result{Outcome: Proceed, Claim: c}
}

func (s *Store) unconfirmed(err error) error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	s.counters.unconfirmed.Add(1)
	return &Error{Kind: KindUnconfirmed, Err: err}
}

// read returns a row. A missing row has version 0.
func (s *Store) read(ctx context.Context, key string) (record, uint64, error) {
	s.counters.reads.Add(1)
	ctx, cancel := context.WithTimeout(ctx, s.opts.TableTimeout)
	defer cancel()
	row, err := s.table.Get(ctx, key)
	if platform.IsKind(err, platform.KindNotFound) {
		return record{}, 0, nil
	}
	if err != nil {
		return record{}, 0, err
	}
	var rec record
	err = json.Unmarshal(row.Value, &rec)
	return rec, row.Version, errors.Wrapf(err, "row %s", key)
}
