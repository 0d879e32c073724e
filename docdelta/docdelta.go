package docdelta

import (
	"crypto/sha256"
	"encoding/hex"
	"math/bits"

	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
)

// MaxBytes is the maximum size of a document.
const MaxBytes = 64 << 20

// dictionaryID marks frames that need the base.
const dictionaryID = 1

// Digest identifies the bytes of a document.
func Digest(document []byte) string {
	sum := sha256.Sum256(document)
	return hex.EncodeToString(sum[:])
}

// Encode returns document in compressed form, without the parts that it shares with base. An
// empty base shares nothing.
func Encode(base, document []byte) ([]byte, error) {
	if len(document) > MaxBytes || len(base) > MaxBytes {
		return nil, errors.Errorf("documents of %d and %d bytes exceed the limit of %d", len(base), len(document), MaxBytes)
	}
	opts := []zstd.EOption{zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedDefault), zstd.WithWindowSize(window(len(base) + len(document)))}
	if len(base) > 0 {
		opts = append(opts, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	enc, err := zstd.NewWriter(nil, opts...)
	if err != nil {
		return nil, errors.Wrap(err, "encode a document")
	}
	defer enc.Close()
	return enc.EncodeAll(document, nil), nil
}

// Decode returns the document of which data is the encoded form, with the base that it was
// encoded with. size is that of the document in bytes.
func Decode(base, data []byte, size int) ([]byte, error) {
	if size < 0 || size > MaxBytes {
		return nil, errors.Errorf("a document of %d bytes exceeds the limit of %d", size, MaxBytes)
	}
	opts := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(2 * MaxBytes), zstd.WithDecodeAllCapLimit(true), zstd.WithDecoderMaxWindow(uint64(window(2 * MaxBytes)))}
	if len(base) > 0 {
		opts = append(opts, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	dec, err := zstd.NewReader(nil, opts...)
	if err != nil {
		return nil, errors.Wrap(err, "decode a document")
	}
	defer dec.Close()
	document, err := dec.DecodeAll(data, make([]byte, 0, size+1))
	if err != nil {
		return nil, errors.Wrap(err, "decode a document")
	}
	if len(document) != size {
		return nil, errors.Errorf("a document of %d bytes has %d after decoding", size, len(document))
	}
	return document, nil
}

// window returns the smallest window of the format that holds n bytes.
func window(n int) int {
	n = max(n, zstd.MinWindowSize)
	return min(1<<bits.Len(uint(n-1)), zstd.MaxWindowSize)
}
