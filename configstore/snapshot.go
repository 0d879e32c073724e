package configstore

import (
	"bytes"
	"compress/gzip"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

const (
	// snapshotObject is the name of the object that holds the latest snapshot.
	snapshotObject = "config/snapshot"
	// snapshotMagic is the prefix of the object. It is followed by the
	// hexadecimal SHA-256 digest of the data, a line feed and the data.
	snapshotMagic = "gooseberryshed-config-1 "
	// maxSnapshotBytes is the maximum size of a decompressed snapshot.
	maxSnapshotBytes = 128 << 20
)

// StaleSnapshotError reports that the saved snapshot is older than the required
// revision.
type StaleSnapshotError struct{ Have, Want uint64 }

// Error implements error.
func (e *StaleSnapshotError) Error() string {
	return errors.Errorf("the saved snapshot has revision %d, older than the required %d; load from the table or a peer", e.Have, e.Want).Error()
}

// SaveSnapshot writes the state to the object store, to reduce the load on the
// table when daemons start. It is only an optimisation: a snapshot may be out of
// date, so a starting daemon still gets the head from the table or its peers and
// advances from the snapshot.
func (s *Store) SaveSnapshot(ctx context.Context, st State) error {
	if s.objects == nil {
		return errors.New("no object store configured")
	}
	data, err := encodeSnapshot(st)
	if err != nil {
		return err
	}
	return errors.WithMessage(s.objects.Put(ctx, snapshotObject, data), "save the configuration snapshot")
}

// LoadSnapshot reads the saved state. It fails with a CorruptError if the object
// is truncated or damaged, and with a StaleSnapshotError if it is older than
// revision atLeast.
func (s *Store) LoadSnapshot(ctx context.Context, atLeast uint64) (State, error) {
	if s.objects == nil {
		return State{}, errors.New("no object store configured")
	}
	data, err := s.objects.Get(ctx, snapshotObject)
	if err != nil {
		return State{}, errors.WithMessage(err, "load the configuration snapshot")
	}
	st, err := decodeSnapshot(data)
	if err != nil {
		return State{}, &CorruptError{Key: snapshotObject, Err: err}
	}
	if st.Revision < atLeast {
		return State{}, &StaleSnapshotError{Have: st.Revision, Want: atLeast}
	}
	return st, nil
}

func encodeSnapshot(st State) ([]byte, error) {
	var compressed bytes.Buffer
	zw := gzip.NewWriter(&compressed)
	if err := json.NewEncoder(zw).Encode(st); err != nil {
		return nil, errors.Wrap(err, "encode the configuration snapshot")
	}
	if err := zw.Close(); err != nil {
		return nil, errors.Wrap(err, "compress the configuration snapshot")
	}
	sum := sha256.Sum256(compressed.Bytes())
	header := snapshotMagic + hex.EncodeToString(sum[:]) + "\n"
	return append([]byte(header), compressed.Bytes()...), nil
}

func decodeSnapshot(data []byte) (State, error) {
	rest, hasMagic := bytes.CutPrefix(data, []byte(snapshotMagic))
	digest, compressed, hasDigest := bytes.Cut(rest, []byte("\n"))
	if !hasMagic || !hasDigest {
		return State{}, errors.New("the object has no snapshot header")
	}
	sum := sha256.Sum256(compressed)
	if string(digest) != hex.EncodeToString(sum[:]) {
		return State{}, errors.New("the checksum does not match")
	}
	zr, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return State{}, errors.Wrap(err, "decompress")
	}
	var st State
	if err := json.NewDecoder(io.LimitReader(zr, maxSnapshotBytes)).Decode(&st); err != nil {
		return State{}, errors.Wrap(err, "decode")
	}
	return st, nil
}
