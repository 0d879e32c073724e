package forward

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/gooseberryshed/gooseberryshed/headers"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

// Internal header fields of messages between daemons. The envelope and the reply
// are URL-encoded parameters.
const (
	fieldAttempt  = headers.Attempt
	fieldEnvelope = headers.Prefix + "Envelope"
	fieldMAC      = headers.Prefix + "Mac"
	fieldReply    = headers.Prefix + "Reply"
)

// Parameters of the envelope; some are also used in replies.
const (
	paramIncarnation = "incarnation"
	paramGeneration  = "generation"
	paramService     = "service"
	paramTarget      = "target"
	paramWorkspace   = "workspace"
	paramKeyID       = "key"
	paramRoute       = "route"
	paramRevision    = "revision"
	paramRemaining   = "remaining-us"
	paramIdempotent  = "idempotent"
	paramFingerprint = "fingerprint"
	paramNoQueue     = "no-queue"
)

const (
	decimal = 10
	bits64  = 64
)

var errMalformed = errors.New("malformed message between daemons; run the same version everywhere")

// writeAttempt encodes an attempt into the header and signs it.
func writeAttempt(h *fasthttp.RequestHeader, att wire.Attempt, s *signer) {
	args := fasthttp.AcquireArgs()
	defer fasthttp.ReleaseArgs(args)
	setEpoch(args, att.Epoch)
	args.Set(paramService, att.Service)
	args.Set(paramTarget, att.Target)
	args.Set(paramWorkspace, att.Workspace)
	args.Set(paramKeyID, att.KeyID)
	args.Set(paramRoute, att.Route)
	setUint(args, paramRevision, att.Revision)
	setUint(args, paramRemaining, uint64(max(att.Remaining.Microseconds(), 0)))
	args.Set(paramIdempotent, strconv.FormatBool(att.Idempotent))
	args.Set(paramNoQueue, strconv.FormatBool(att.NoQueue))
	setUint(args, paramFingerprint, att.Fingerprint)
	h.Set(fieldAttempt, att.ID.String())
	h.SetBytesV(fieldEnvelope, args.QueryString())
	h.Set(fieldMAC, hex.EncodeToString(s.sign(h)))
}

// readAttempt decodes the attempt from a header whose MAC has been verified.
func readAttempt(h *fasthttp.RequestHeader) (wire.Attempt, error) {
	id, ok := wire.ParseID(string(h.Peek(fieldAttempt)))
	if !ok {
		return wire.Attempt{}, errors.Wrap(errMalformed, fieldAttempt)
	}
	p := parseParams(h.Peek(fieldEnvelope))
	defer p.release()
	att := wire.Attempt{
		ID:          id,
		Epoch:       p.epoch(),
		Service:     p.text(paramService),
		Target:      p.text(paramTarget),
		Workspace:   p.text(paramWorkspace),
		KeyID:       p.text(paramKeyID),
		Route:       p.text(paramRoute),
		Revision:    p.uint(paramRevision),
		Remaining:   p.micros(paramRemaining),
		Idempotent:  p.text(paramIdempotent) == strconv.FormatBool(true),
		NoQueue:     p.text(paramNoQueue) == strconv.FormatBool(true),
		Fingerprint: p.uint(paramFingerprint),
	}
	return att, p.err
}

func setUint(args *fasthttp.Args, name string, v uint64) {
	var buf [20]byte
	args.SetBytesV(name, strconv.AppendUint(buf[:0], v, decimal))
}

func setEpoch(args *fasthttp.Args, e wire.Epoch) {
	setUint(args, paramIncarnation, e.Incarnation)
	setUint(args, paramGeneration, e.Generation)
}

// params decodes URL-encoded parameters and retains the first error.
type params struct {
	args *fasthttp.Args
	err  error
}

func parseParams(encoded []byte) *params {
	p := &params{args: fasthttp.AcquireArgs()}
	p.args.ParseBytes(encoded)
	return p
}

func (p *params) release() { fasthttp.ReleaseArgs(p.args) }

func (p *params) text(name string) string { return string(p.args.Peek(name)) }

func (p *params) uint(name string) uint64 {
	v, err := strconv.ParseUint(p.text(name), decimal, bits64)
	if err != nil && p.err == nil {
		p.err = errors.Wrap(errMalformed, name)
	}
	return v
}

func (p *params) micros(name string) time.Duration {
	return time.Duration(p.uint(name)) * time.Microsecond
}

func (p *params) epoch() wire.Epoch {
	return wire.Epoch{Incarnation: p.uint(paramIncarnation), Generation: p.uint(paramGeneration)}
}

// signer computes HMACs with one secret; it pools the hash state.
type signer struct{ pool sync.Pool }

func newSigner(secret string) *signer {
	key := []byte(secret)
	return &signer{pool: sync.Pool{New: func() any { return hmac.New(sha256.New, key) }}}
}

// sign computes the HMAC over attempt ID, envelope, method and URI. Each part has
// a length prefix, so that bytes cannot be moved between parts.
func (s *signer) sign(h *fasthttp.RequestHeader) []byte {
	mac := s.pool.Get().(hash.Hash)
	defer s.pool.Put(mac)
	mac.Reset()
	for _, part := range [][]byte{h.Peek(fieldAttempt), h.Peek(fieldEnvelope), h.Method(), h.RequestURI()} {
		var size [4]byte
		binary.BigEndian.PutUint32(size[:], uint32(len(part)))
		mac.Write(size[:])
		mac.Write(part)
	}
	return mac.Sum(nil)
}

// verify reports whether the header's MAC matches one of the signers.
func verify(h *fasthttp.RequestHeader, signers []*signer) bool {
	got, err := hex.DecodeString(string(h.Peek(fieldMAC)))
	if err != nil {
		return false
	}
	for _, s := range signers {
		if hmac.Equal(got, s.sign(h)) {
			return true
		}
	}
	return false
}
