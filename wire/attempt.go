package wire

import (
	"crypto/rand"
	"encoding/hex"
	"time"
)

// ID identifies one attempt. It is never used twice.
type ID [16]byte

// NewID returns a random ID.
func NewID() ID {
	var id ID
	rand.Read(id[:]) //nolint:errcheck // crypto/rand.Read never fails
	return id
}

// String returns the hexadecimal form.
func (id ID) String() string { return hex.EncodeToString(id[:]) }

// ParseID reads the hexadecimal form.
func ParseID(s string) (ID, bool) {
	var id ID
	if len(s) != hex.EncodedLen(len(id)) {
		return id, false
	}
	_, err := hex.Decode(id[:], []byte(s))
	return id, err == nil
}

// Epoch places an attempt in the life of a gate. The gate refuses attempts of
// other incarnations and of generations that its ledger no longer covers, so a
// message that arrives arbitrarily late cannot run.
type Epoch struct {
	// Incarnation is that of the gate's daemon; 0 means not yet known, and
	// the gate refuses, telling its epoch.
	Incarnation uint64 `json:"inc"`
	// Generation is a counter that the gate raises at a fixed interval.
	Generation uint64 `json:"gen"`
}

// Attempt is one try to run a request at one target.
type Attempt struct {
	ID    ID
	Epoch Epoch
	// Service and Target (a member.Target ID) name where it shall run.
	Service string
	Target  string
	// Workspace and KeyID are empty on open routes.
	Workspace string
	KeyID     string
	// Route is the path prefix of the route that admitted the request.
	Route string
	// Revision is the configuration that the ingress decided by.
	Revision uint64
	// Remaining is the time left for the whole request when the attempt was
	// sent.
	Remaining time.Duration
	// Idempotent allows the request to be repeated.
	Idempotent bool
	// NoQueue asks for a refusal rather than a place in the queue of a target
	// that is cold.
	NoQueue bool
	// Fingerprint identifies the request's content across attempts, for
	// recognising requests that crash targets.
	Fingerprint uint64
}
