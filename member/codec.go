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

// maxUnpackedBytes bounds what a packed list of changes may expand to.
const maxUnpackedBytes = 4 << 20

// packDictionary holds the text that most changes have in common, so that even
// a single change packs well.
const packDictionary = `[{"b":1,"host":"","dc":"","inc":17,"ver":,"state":"serving","fwd":"10.0.0.1:","rpc":"10.0.0.1:",` +
	`"in":"10.0.0.1:","adm":"10.0.0.1:","rev":,"tok":true,"tg":[{"id":"","svc":"","inc":17,"state":"leaving",` +
	`"state":"ready","slots":7,"limit":7,"sus":true,"score":18,"err":50,"lat":,"v":}],"hv":,"fv":},{"b":`

// Changes is a list of changes; its JSON form is packed: deflated with a common
// dictionary, in base64.
type Changes []Change

var packers = sync.Pool{New: func() any {
	w, err := flate.NewWriterDict(nil, flate.DefaultCompression, []byte(packDictionary))
	if err != nil {
		panic(err) // the level is a constant
	}
	return w
}}

// MarshalJSON implements json.Marshaler.
func (c Changes) MarshalJSON() ([]byte, error) {
	raw, err := json.Marshal([]Change(c))
	if err != nil {
		return nil, err
	}
	var packed bytes.Buffer
	w := packers.Get().(*flate.Writer)
	defer packers.Put(w)
	w.Reset(&packed)
	if _, err := w.Write(raw); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return json.Marshal(packed.Bytes())
}

// UnmarshalJSON implements json.Unmarshaler.
func (c *Changes) UnmarshalJSON(data []byte) error {
	var packed []byte
	if err := json.Unmarshal(data, &packed); err != nil {
		return err
	}
	r := flate.NewReaderDict(bytes.NewReader(packed), []byte(packDictionary))
	raw, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes+1))
	if err != nil {
		return errors.Wrap(err, "unpack member changes; run the same version on all daemons")
	}
	if len(raw) > maxUnpackedBytes {
		return errors.Errorf("member changes exceed %d bytes; lower MaxChangeBytes of the sender", maxUnpackedBytes)
	}
	return json.Unmarshal(raw, (*[]Change)(c))
}

// Wants is a list of wants; its JSON form is packed in binary: for each want the
// key and two varints, in base64.
type Wants []Want

// MarshalJSON implements json.Marshaler.
func (w Wants) MarshalJSON() ([]byte, error) {
	var packed []byte
	for _, x := range w {
		packed = appendKey(packed, x.Key)
		packed = binary.AppendUvarint(packed, x.Incarnation)
		packed = binary.AppendUvarint(packed, x.Version)
	}
	return json.Marshal(packed)
}

// UnmarshalJSON implements json.Unmarshaler.
func (w *Wants) UnmarshalJSON(data []byte) error {
	var packed []byte
	if err := json.Unmarshal(data, &packed); err != nil {
		return err
	}
	r := bytes.NewReader(packed)
	*w = nil
	for r.Len() > 0 {
		x, err := readWant(r)
		if err != nil {
			return errors.Wrap(err, "unpack member wants; run the same version on all daemons")
		}
		*w = append(*w, x)
	}
	return nil
}

func readWant(r *bytes.Reader) (Want, error) {
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
