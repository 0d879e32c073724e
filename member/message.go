package member

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// RPC methods of the exchange.
const (
	// MethodExchange takes an ExchangeMessage and returns an ExchangeResponse.
	MethodExchange = "member.exchange"
	// MethodFinish takes a FinishRequest and returns a FinishResponse.
	MethodFinish = "member.finish"
)

// ControlStatus is the status that the control loops of two daemons attach to
// each exchange. Gossip does not interpret it.
type ControlStatus struct {
	// Revision is the configuration revision in force at the sender.
	Revision uint64 `json:"rev,omitempty"`
	// TableKnown reports whether TableAge is valid.
	TableKnown bool `json:"tk,omitempty"`
	// TableAge is the time since the latest read of the table that the sender
	// made or learned of from a peer.
	TableAge time.Duration `json:"ta,omitempty"`
}

// ExchangeMessage opens an exchange. Sequence numbers are local to the daemon
// that assigns them.
type ExchangeMessage struct {
	Host        string `json:"h"`
	Incarnation uint64 `json:"i"`
	// Peer is the incarnation of the peer that Ack refers to.
	Peer uint64 `json:"p,omitempty"`
	// Ack is the highest sequence number of the peer that the sender has
	// processed.
	Ack uint64 `json:"a,omitempty"`
	// Digest lists the records changed up to sequence number Seq.
	Digest Digest `json:"n,omitempty"`
	Seq    uint64 `json:"s,omitempty"`
	// Suspicions lists members that did not respond.
	Suspicions []Suspicion   `json:"x,omitempty"`
	Status     ControlStatus `json:"t"`
}

// ExchangeResponse is the response to an ExchangeMessage. It has the same contents
// and requests the records that its sender lacks.
type ExchangeResponse struct {
	ExchangeMessage
	Wants Wants `json:"w,omitempty"`
	// Predecessor is the record of the receiver's previous incarnation, sent to
	// a daemon that has just started.
	Predecessor *Daemon `json:"o,omitempty"`
}

// FinishRequest carries the records that an ExchangeResponse requested, and
// requests others.
type FinishRequest struct {
	Host        string `json:"h"`
	Incarnation uint64 `json:"i"`
	// Seq is the sequence number that the receiver has processed once it has
	// merged Changes, provided that Complete is set.
	Seq      uint64  `json:"s,omitempty"`
	Complete bool    `json:"c,omitempty"`
	Changes  Changes `json:"r,omitempty"`
	Wants    Wants   `json:"w,omitempty"`
}

// FinishResponse carries the records that a FinishRequest requested.
type FinishResponse struct {
	Host        string  `json:"h"`
	Incarnation uint64  `json:"i"`
	Complete    bool    `json:"c,omitempty"`
	Changes     Changes `json:"r,omitempty"`
}

// Want requests a record and states the version that the requester has.
type Want struct {
	Key         Key    `json:"k"`
	Incarnation uint64 `json:"i,omitempty"`
	Version     uint64 `json:"v,omitempty"`
}

// Suspicion reports that a member did not respond, as of a version of its record.
type Suspicion struct {
	Host        string `json:"h"`
	Incarnation uint64 `json:"i"`
	Version     uint64 `json:"v"`
}

// Key is the hash that identifies a host in digests.
type Key uint64

// Encoded lengths.
const (
	keyBytes = 5
	tagBytes = 3
)

// KeyOf returns the key of a host.
func KeyOf(host string) Key {
	return Key(xxhash.Sum64String(host) & (1<<(8*keyBytes) - 1))
}

// incarnationTag returns a short hash of an incarnation. Different tags imply
// different incarnations.
func incarnationTag(inc uint64) uint32 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], inc)
	return uint32(xxhash.Sum64(b[:]) & (1<<(8*tagBytes) - 1))
}

// Digest is the binary encoding of a list of record versions: for each record
// the key, the incarnation tag and the version as a varint.
type Digest []byte

// digestEntry is one record in a Digest.
type digestEntry struct {
	key     Key
	tag     uint32
	version uint64
}

func (d Digest) appendEntry(e digestEntry) Digest {
	out := appendKey(d, e.key)
	var tag [4]byte
	binary.LittleEndian.PutUint32(tag[:], e.tag)
	out = append(out, tag[:tagBytes]...)
	return binary.AppendUvarint(out, e.version)
}

// decode returns the entries of the digest. A malformed tail is ignored.
func (d Digest) decode() []digestEntry {
	const fixed = keyBytes + tagBytes
	out := make([]digestEntry, 0, len(d)/(fixed+1))
	for len(d) > fixed {
		var key [8]byte
		var tag [4]byte
		copy(key[:], d[:keyBytes])
		copy(tag[:], d[keyBytes:fixed])
		v, n := binary.Uvarint(d[fixed:])
		if n <= 0 {
			return out
		}
		out = append(out, digestEntry{
			key:     Key(binary.LittleEndian.Uint64(key[:])),
			tag:     binary.LittleEndian.Uint32(tag[:]),
			version: v,
		})
		d = d[fixed+n:]
	}
	return out
}
