package forward

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"strconv"
	"time"

	"github.com/gooseberryshed/gooseberryshed/headers"
	"github.com/gooseberryshed/gooseberryshed/wire"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// The internal fields of requests between daemons.
const (
	fieldAttempt     = headers.Attempt
	fieldWorkspace   = headers.Workspace
	fieldIncarnation = headers.Prefix + "Incarnation"
	fieldGeneration  = headers.Prefix + "Generation"
	fieldService     = headers.Prefix + "Service"
	fieldTarget      = headers.Prefix + "Target"
	fieldKeyID       = headers.Prefix + "Key-Id"
	fieldRoute       = headers.Prefix + "Route"
	fieldRevision    = headers.Prefix + "Revision"
	fieldRemaining   = headers.Prefix + "Remaining-Us"
	fieldIdempotent  = headers.Prefix + "Idempotent"
	fieldFingerprint = headers.Prefix + "Fingerprint"
	fieldMAC         = headers.Prefix + "Mac"
)

const (
	decimal    = 10
	bits64     = 64
	idempotent = "1"
)

var errMalformed = errors.New("malformed attempt")

// writeAttempt puts an attempt into the header and signs it.
func writeAttempt(h *fasthttp.RequestHeader, att wire.Attempt, secret []byte) {
	h.Set(fieldAttempt, att.ID.String())
	setUint(h.Set, fieldIncarnation, att.Epoch.Incarnation)
	setUint(h.Set, fieldGeneration, att.Epoch.Generation)
	setText(h.Set, fieldService, att.Service)
	setText(h.Set, fieldTarget, att.Target)
	setText(h.Set, fieldWorkspace, att.Workspace)
	setText(h.Set, fieldKeyID, att.KeyID)
	setText(h.Set, fieldRoute, att.Route)
	setUint(h.Set, fieldRevision, att.Revision)
	setUint(h.Set, fieldRemaining, uint64(max(att.Remaining.Microseconds(), 0)))
	if att.Idempotent {
		h.Set(fieldIdempotent, idempotent)
	}
	setUint(h.Set, fieldFingerprint, att.Fingerprint)
	h.Set(fieldMAC, hex.EncodeToString(sign(h, secret)))
}

func setUint(set func(k, v string), name string, v uint64) {
	set(name, strconv.FormatUint(v, decimal))
}

func setText(set func(k, v string), name, v string) {
	if v != "" {
		set(name, v)
	}
}

// signed lists the fields that the MAC covers, in order.
var signed = []string{
	fieldAttempt, fieldIncarnation, fieldGeneration, fieldService, fieldTarget,
	fieldWorkspace, fieldKeyID, fieldRoute, fieldRevision, fieldRemaining,
	fieldIdempotent, fieldFingerprint,
}

// sign computes the MAC over the signed fields, method and URI. Each part is
// preceded by its length, so that parts cannot be shifted.
func sign(h *fasthttp.RequestHeader, secret []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	for _, name := range signed {
		writePart(mac, h.Peek(name))
	}
	writePart(mac, h.Method())
	writePart(mac, h.RequestURI())
	return mac.Sum(nil)
}

func writePart(mac hash.Hash, part []byte) {
	var size [4]byte
	binary.BigEndian.PutUint32(size[:], uint32(len(part)))
	mac.Write(size[:])
	mac.Write(part)
}

// verify reports whether the header was signed with one of the secrets.
func verify(h *fasthttp.RequestHeader, secrets [][]byte) bool {
	got, err := hex.DecodeString(string(h.Peek(fieldMAC)))
	if err != nil {
		return false
	}
	valid := false
	for _, secret := range secrets {
		if hmac.Equal(got, sign(h, secret)) {
			valid = true
		}
	}
	return valid
}

// readAttempt parses the attempt of an authenticated header.
func readAttempt(h *fasthttp.RequestHeader) (wire.Attempt, error) {
	var att wire.Attempt
	id, ok := wire.ParseID(string(h.Peek(fieldAttempt)))
	if !ok {
		return att, errors.Wrap(errMalformed, fieldAttempt)
	}
	p := parser{h: h}
	att = wire.Attempt{
		ID:          id,
		Epoch:       wire.Epoch{Incarnation: p.uint(fieldIncarnation), Generation: p.uint(fieldGeneration)},
		Service:     string(h.Peek(fieldService)),
		Target:      string(h.Peek(fieldTarget)),
		Workspace:   string(h.Peek(fieldWorkspace)),
		KeyID:       string(h.Peek(fieldKeyID)),
		Route:       string(h.Peek(fieldRoute)),
		Revision:    p.uint(fieldRevision),
		Remaining:   time.Duration(p.uint(fieldRemaining)) * time.Microsecond,
		Idempotent:  string(h.Peek(fieldIdempotent)) == idempotent,
		Fingerprint: p.uint(fieldFingerprint),
	}
	return att, p.err
}

// parser reads numbers and keeps the first error.
type parser struct {
	h interface {
		Peek(key string) []byte
	}
	err error
}

func (p *parser) uint(name string) uint64 {
	v, err := strconv.ParseUint(string(p.h.Peek(name)), decimal, bits64)
	if err != nil && p.err == nil {
		p.err = errors.Wrap(errMalformed, name)
	}
	return v
}
