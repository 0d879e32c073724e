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
	// objectSnapshot names the object that holds the latest snapshot.
	objectSnapshot = "config/snapshot"
	// snapshotMagic begins the object; the digest of the rest follows in
	// hexadecimal digits and a line feed.
	snapshotMagic = "gooseberryshed-config-1 "
	// maxSnapshotBytes bounds the JSON form of a snapshot.
	maxSnapshotBytes = 128 << 20
)

// OldSnapshotError reports a snapshot that is older than wanted.
type OldSnapshotError struct{ Have, Want uint64 }

// Error implements error.
func (e *OldSnapshotError) Error() string {
	return errors.Errorf("the saved snapshot has revision %d, older than %d; load from the table or a peer", e.Have, e.Want).Error()
}

// SaveSnapshot writes the state to the object store, to spare the table when
// daemons start. It only aids: a snapshot may be old, so a starting daemon still
// asks the table or peers for the head and advances from the snapshot.
func (s *Store) SaveSnapshot(ctx context.Context, st State) error {
	if s.objects == nil {
		return errors.New("no object store; give one to New")
	}
	data, err := encodeSnapshot(st)
	if err != nil {
		return err
	}
	return errors.WithMessage(s.objects.Put(ctx, objectSnapshot, data), "save the configuration snapshot")
}

// LoadSnapshot reads the saved state. It fails with a CorruptError when the
// object is torn and with an OldSnapshotError when it is older than revision
// atLeast.
func (s *Store) LoadSnapshot(ctx context.Context, atLeast uint64) (State, error) {
	if s.objects == nil {
		return State{}, errors.New("no object store; give one to New")
	}
	data, err := s.objects.Get(ctx, objectSnapshot)
	if err != nil {
		return State{}, errors.WithMessage(err, "load the configuration snapshot")
	}
	st, err := decodeSnapshot(data)
	if err != nil {
		return State{}, &CorruptError{Key: objectSnapshot, Err: err}
	}
	if st.Revision < atLeast {
		return State{}, &OldSnapshotError{Have: st.Revision, Want: atLeast}
	}
	return st, nil
}

func encodeSnapshot(st State) ([]byte, error) {
	var packed bytes.Buffer
	zw := gzip.NewWriter(&packed)
	if err := json.NewEncoder(zw).Encode(st); err != nil {
		return nil, errors.Wrap(err, "encode the configuration snapshot")
	}
	if err := zw.Close(); err != nil {
		return nil, errors.Wrap(err, "compress the configuration snapshot")
	}
	sum := sha256.Sum256(packed.Bytes())
	head := snapshotMagic + hex.EncodeToString(sum[:]) + "\n"
	return append([]byte(head), packed.Bytes()...), nil
}

func decodeSnapshot(data []byte) (State, error) {
	rest, ok := bytes.CutPrefix(data, []byte(snapshotMagic))
	digest, packed, ok2 := bytes.Cut(rest, []byte("\n"))
	if !ok || !ok2 {
		return State{}, errors.New("the head is not of a snapshot")
	}
	sum := sha256.Sum256(packed)
	if string(digest) != hex.EncodeToString(sum[:]) {
		return State{}, errors.New("the checksum does not match")
	}
	zr, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return State{}, errors.Wrap(err, "decompress")
	}
	var st State
	if err := json.NewDecoder(io.LimitReader(zr, maxSnapshotBytes)).Decode(&st); err != nil {
		return State{}, errors.Wrap(err, "decode")
	}
	return st, nil
}
