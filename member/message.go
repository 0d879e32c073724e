package member

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Names of the methods that carry the messages between daemons.
const (
	// MethodExchange takes a Begin and returns an Answer.
	MethodExchange = "member.exchange"
	// MethodFinish takes a Finish and returns a Final.
	MethodFinish = "member.finish"
)

// Touch is what the control loops of two daemons tell each other with each
// exchange. Gossip does not interpret it.
type Touch struct {
	// Revision is the configuration in force at the sender.
	Revision uint64 `json:"rev,omitempty"`
	// TableKnown tells that TableAge is valid.
	TableKnown bool `json:"tk,omitempty"`
	// TableAge is how long ago the sender, or one it heard of, read the table.
	TableAge time.Duration `json:"ta,omitempty"`
}

// Begin opens an exchange.
type Begin struct {
	Host        string `json:"h"`
	Incarnation uint64 `json:"i"`
	// Peer is the incarnation whose numbers Ack refers to.
	Peer uint64 `json:"p,omitempty"`
	// Ack is the highest number of the peer's changes that is processed here.
	Ack uint64 `json:"a,omitempty"`
	// News lists changes up to number Seq.
	News Digest `json:"n,omitempty"`
	Seq  uint64 `json:"s,omitempty"`
	// Suspicions lists members that did not answer.
	Suspicions []Suspicion `json:"x,omitempty"`
	Touch      Touch       `json:"t"`
}

// Answer replies to a Begin with the same contents and the records lacking.
type Answer struct {
	Begin
	Wants Wants `json:"w,omitempty"`
	// Predecessor is the record of the asker's earlier incarnation, told to a
	// daemon that has just started.
	Predecessor *Daemon `json:"o,omitempty"`
}

// Finish carries the records that an Answer asked for and asks in turn.
type Finish struct {
	Host        string `json:"h"`
	Incarnation uint64 `json:"i"`
	// Seq is the number that the peer may hold for processed when Complete.
	Seq      uint64  `json:"s,omitempty"`
	Complete bool    `json:"c,omitempty"`
	Changes  Changes `json:"r,omitempty"`
	Wants    Wants   `json:"w,omitempty"`
}

// Final carries the records that a Finish asked for.
type Final struct {
	Host        string  `json:"h"`
	Incarnation uint64  `json:"i"`
	Complete    bool    `json:"c,omitempty"`
	Changes     Changes `json:"r,omitempty"`
}

// Want asks for a record, naming the version that the asker has.
type Want struct {
	Key         Key    `json:"k"`
	Incarnation uint64 `json:"i,omitempty"`
	Version     uint64 `json:"v,omitempty"`
}

// Suspicion tells that a member at this version did not answer.
type Suspicion struct {
	Host        string `json:"h"`
	Incarnation uint64 `json:"i"`
	Version     uint64 `json:"v"`
}

// Key identifies a host in digests.
type Key uint64

// Lengths in packed form.
const (
	keyBytes = 5
	tagBytes = 3
)

// KeyOf returns the key of a host.
func KeyOf(host string) Key {
	return Key(xxhash.Sum64String(host) & (1<<(8*keyBytes) - 1))
}

// incarnationTag shortens an incarnation; a different tag means another incarnation.
func incarnationTag(inc uint64) uint32 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], inc)
	return uint32(xxhash.Sum64(b[:]) & (1<<(8*tagBytes) - 1))
}

// Digest lists record versions in packed form: for each record the key, the
// tag of the incarnation and the version as a varint.
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

// decode unpacks the digest; a malformed rest is ignored.
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
