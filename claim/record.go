package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"net/url"
	"time"

	"github.com/gooseberryshed/gooseberryshed/wire"
)

// AttemptRef identifies an attempt and the host whose gate can settle it.
type AttemptRef struct {
	Host  string
	ID    wire.ID
	Epoch wire.Epoch
}

// HeaderField is one header field.
type HeaderField struct {
	Name  string `json:"n"`
	Value string `json:"v"`
}

// StoredResponse is a response stored for replay.
type StoredResponse struct {
	Status int           `json:"status"`
	Header []HeaderField `json:"header,omitempty"`
	Body   []byte        `json:"body,omitempty"`
	// BodyOmitted reports that the body exceeded the size limit and was not
	// stored.
	BodyOmitted bool `json:"dropped,omitempty"`
}

// record is the content of a row.
type record struct {
	// Token identifies the claim that wrote the row. WriteSeq numbers its
	// writes.
	Token    string     `json:"token"`
	WriteSeq int        `json:"change"`
	Digest   string     `json:"digest"`
	Host     string     `json:"host"`
	ID       string     `json:"id"`
	Epoch    wire.Epoch `json:"epoch"`
	// Expires is the Unix time in seconds from which the row may be removed.
	Expires int64 `json:"expires"`
	// Stored is the response. It is set when the request is done.
	Stored *StoredResponse `json:"stored,omitempty"`
}

func (r *record) attempt() AttemptRef {
	id, _ := wire.ParseID(r.ID)
	return AttemptRef{Host: r.Host, ID: id, Epoch: r.Epoch}
}

func (r *record) assign(att AttemptRef) {
	r.Host = att.Host
	r.ID = att.ID.String()
	r.Epoch = att.Epoch
}

func (r *record) expired(now time.Time) bool { return now.Unix() >= r.Expires }

// rowStatus is the meaning of an existing row for a new claim.
type rowStatus int

const (
	rowOwn rowStatus = iota + 1
	rowCompleted
	rowPending
	rowMismatch
	rowExpired
)

// classify determines what an existing row means for the claim with the given
// token and digest.
func classify(found *record, token, digest string, now time.Time) rowStatus {
	switch {
	case found.Token == token:
		return rowOwn
	case found.expired(now):
		return rowExpired
	case found.Digest != digest:
		return rowMismatch
	case found.Stored != nil:
		return rowCompleted
	default:
		return rowPending
	}
}

// keyPrefix is the common prefix of the table keys of claims.
const keyPrefix = "claim/"

// rowKey returns the table key for an Idempotency-Key of a workspace. The
// Idempotency-Key is hashed because callers choose it.
func rowKey(workspace, key string) string {
	sum := sha256.Sum256([]byte(key))
	return keyPrefix + url.PathEscape(workspace) + "/" + hex.EncodeToString(sum[:])
}
