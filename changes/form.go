package changes

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/gooseberryshed/gooseberryshed/docdelta"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
)

// ContentType is the media type of the form.
const ContentType = "application/vnd.gooseberryshed.changes"

// Changes are changes of a table.
type Changes struct {
	// Full is set if Rows is the whole table rather than a delta.
	Full bool `json:"whole,omitempty"`
	// Version is the version up to which Rows is complete.
	Version uint64          `json:"version"`
	Rows    []karpithaz.Row `json:"rows"`
}

// head is the first line of the form.
type head struct {
	Changes
	Document *document `json:"document,omitempty"`
}

// document describes the value of the document's row, which follows the head.
type document struct {
	// Row is the position of the document in Rows.
	Row int `json:"row"`
	// Base is the digest of the value from which the document differs, or empty if the whole
	// document follows. Digest and Size are those of the document.
	Base   string `json:"base,omitempty"`
	Digest string `json:"digest"`
	Size   int    `json:"size"`
}

// Encode returns changes in this form. key is that of the document; base is the value that the
// asker has, or nil.
func Encode(c Changes, key string, base *Value) ([]byte, error) {
	h := head{Changes: c}
	var frame []byte
	for i, row := range c.Rows {
		if row.Key != key || row.Removed || len(row.Value) == 0 {
			continue
		}
		h.Document = &document{Row: i, Digest: docdelta.Digest(row.Value), Size: len(row.Value)}
		var former []byte
		if base != nil {
			h.Document.Base, former = base.Digest, base.Data
		}
		var err error
		if frame, err = docdelta.Encode(former, row.Value); err != nil {
			return nil, err
		}
		h.Rows = append([]karpithaz.Row(nil), c.Rows...)
		h.Rows[i].Value = nil
		break
	}
	line, err := json.Marshal(h)
	if err != nil {
		return nil, errors.Wrap(err, "encode changes")
	}
	return append(append(line, '\n'), frame...), nil
}

// Decode reads changes in this form. base is the value that was named in the request, or nil.
func Decode(data []byte, base *Value) (Changes, error) {
	line, frame, found := bytes.Cut(data, []byte{'\n'})
	if !found {
		return Changes{}, errors.Errorf("changes of %d bytes have no head", len(data))
	}
	var h head
	if err := json.Unmarshal(line, &h); err != nil {
		return Changes{}, errors.Wrap(err, "decode the head of changes")
	}
	d := h.Document
	if d == nil {
		return h.Changes, nil
	}
	if d.Row < 0 || d.Row >= len(h.Rows) {
		return Changes{}, errors.Errorf("the document is row %d of %d", d.Row, len(h.Rows))
	}
	var former []byte
	if d.Base != "" {
		if base == nil || base.Digest != d.Base {
			return Changes{}, errors.Errorf("changes to a document that was not asked for, %s", d.Base)
		}
		former = base.Data
	}
	value, err := docdelta.Decode(former, frame, d.Size)
	if err != nil {
		return Changes{}, err
	}
	if got := docdelta.Digest(value); got != d.Digest {
		return Changes{}, errors.Errorf("the document has digest %s, not %s", got, d.Digest)
	}
	h.Rows[d.Row].Value = value
	return h.Changes, nil
}
