package wire

import (
	"crypto/rand"
	"encoding/hex"
	"time"
)

// ID identifies one attempt and is never reused.
type ID [16]byte

// NewID returns a random ID.
func NewID() ID {
	var id ID
	rand.Read(id[:]) //nolint:errcheck // crypto/rand.Read never fails
	return id
}

// String returns the hexadecimal encoding.
func (id ID) String() string { return hex.EncodeToString(id[:]) }

// ParseID parses the hexadecimal encoding.
func ParseID(s string) (ID, bool) {
	var id ID
	if len(s) != hex.EncodedLen(len(id)) {
		return id, false
	}
	_, err := hex.Decode(id[:], []byte(s))
	return id, err == nil
}

// Epoch identifies a period in the lifetime of a gate. The gate refuses attempts
// of other incarnations and of generations that its ledger no longer covers, so a
// message cannot run an attempt however late it arrives.
type Epoch struct {
	// Incarnation is that of the gate's daemon. If it is 0 (unknown), the gate
	// refuses the attempt and returns its epoch.
	Incarnation uint64 `json:"inc"`
	// Generation is a counter that the gate increments at a fixed interval.
	Generation uint64 `json:"gen"`
}

// Attempt is one try to run a request at one target.
type Attempt struct {
	ID    ID
	Epoch Epoch
	// Service and Target (a member.Target ID) are the attempt's destination.
	Service string
	Target  string
	// Workspace and KeyID are empty on open routes.
	Workspace string
	KeyID     string
	// Route is the path prefix of the route that admitted the request.
	Route string
	// Revision is the configuration revision that the ingress used.
	Revision uint64
	// Remaining is the time until the request's deadline when the attempt was
	// sent.
	Remaining time.Duration
	// Idempotent means that the request may run more than once.
	Idempotent bool
	// NoQueue requests a refusal instead of queueing at a cold target.
	NoQueue bool
	// Fingerprint is a hash of the request's content. It is the same for all
	// attempts and serves to detect requests that crash targets.
	Fingerprint uint64
}
