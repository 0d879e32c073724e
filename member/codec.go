package member

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"encoding/json"
	"io"
	"sync"

	"github.com/pkg/errors"
)

// maxDecompressedBytes limits the decompressed size of a list of changes.
const maxDecompressedBytes = 4 << 20

// compressionDictionary is a preset DEFLATE dictionary of the text that most
// changes have in common, so that even a single change compresses well.
const compressionDictionary = `[{"b":1,"host":"","dc":"","inc":17,"ver":,"state":"serving","fwd":"10.0.0.1:","rpc":"10.0.0.1:",` +
	`"in":"10.0.0.1:","adm":"10.0.0.1:","rev":,"tok":true,"tg":[{"id":"","svc":"","inc":17,"state":"leaving",` +
	`"state":"ready","slots":7,"limit":7,"sus":true,"score":18,"err":50,"lat":,"v":}],"hv":,"fv":},{"b":`

// Changes is a list of changes. Its JSON form is a base64 string of the list
// compressed with DEFLATE and compressionDictionary.
type Changes []Change

var compressorPool = sync.Pool{New: func() any {
	w, err := flate.NewWriterDict(nil, flate.DefaultCompression, []byte(compressionDictionary))
	if err != nil {
		panic(err) // unreachable: the compression level is valid
	}
	return w
}}

// MarshalJSON implements json.Marshaler.
func (c Changes) MarshalJSON() ([]byte, error) {
	raw, err := json.Marshal([]Change(c))
	if err != nil {
		return nil, err
	}
	var compressed bytes.Buffer
	w := compressorPool.Get().(*flate.Writer)
	defer compressorPool.Put(w)
	w.Reset(&compressed)
	if _, err := w.Write(raw); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return json.Marshal(compressed.Bytes())
}

// UnmarshalJSON implements json.Unmarshaler.
func (c *Changes) UnmarshalJSON(data []byte) error {
	var compressed []byte
	if err := json.Unmarshal(data, &compressed); err != nil {
		return err
	}
	r := flate.NewReaderDict(bytes.NewReader(compressed), []byte(compressionDictionary))
	raw, err := io.ReadAll(io.LimitReader(r, maxDecompressedBytes+1))
	if err != nil {
		return errors.Wrap(err, "decompress member changes; run the same version on all daemons")
	}
	if len(raw) > maxDecompressedBytes {
		return errors.Errorf("member changes exceed %d bytes; lower MaxChangeBytes of the sender", maxDecompressedBytes)
	}
	return json.Unmarshal(raw, (*[]Change)(c))
}

// Wants is a list of record requests. Its JSON form is a base64 string with, for
// each request, the key and the incarnation and version as varints.
type Wants []Want

// MarshalJSON implements json.Marshaler.
func (w Wants) MarshalJSON() ([]byte, error) {
	var encoded []byte
	for _, x := range w {
		encoded = appendKey(encoded, x.Key)
		encoded = binary.AppendUvarint(encoded, x.Incarnation)
		encoded = binary.AppendUvarint(encoded, x.Version)
	}
	return json.Marshal(encoded)
}

// UnmarshalJSON implements json.Unmarshaler.
func (w *Wants) UnmarshalJSON(data []byte) error {
	var encoded []byte
	if err := json.Unmarshal(data, &encoded); err != nil {
		return err
	}
	r := bytes.NewReader(encoded)
	*w = nil
	for r.Len() > 0 {
		x, err := decodeWant(r)
		if err != nil {
			return errors.Wrap(err, "decode member wants; run the same version on all daemons")
		}
		*w = append(*w, x)
	}
	return nil
}

func decodeWant(r *bytes.Reader) (Want, error) {
	var key [8]byte
	if _, err := io.ReadFull(r, key[:keyBytes]); err != nil {
		return Want{}, err
	}
	inc, err := binary.ReadUvarint(r)
	if err != nil {
		return Want{}, err
	}
	version, err := binary.ReadUvarint(r)
	if err != nil {
		return Want{}, err
	}
	return Want{Key(binary.LittleEndian.Uint64(key[:])), inc, version}, nil
}

func appendKey(b []byte, k Key) []byte {
	var raw [8]byte
	binary.LittleEndian.PutUint64(raw[:], uint64(k))
	return append(b, raw[:keyBytes]...)
}
