package ingress

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/gooseberryshed/gooseberryshed/headers"
)

// headerIdempotencyKey carries the caller's name for a request.
const headerIdempotencyKey = "Idempotency-Key"

// bearerPrefix starts an Authorization header with a key.
const bearerPrefix = "bearer "

// maxIdempotencyKey bounds an Idempotency-Key in bytes.
const maxIdempotencyKey = 255

// errTwoKeys reports a request that carries different keys.
var errTwoKeys = errors.New("the request carries two different keys; send one")

// secretOf returns the key that a request carries, or "". Each form counts each
// time it is given.
func secretOf(h *fasthttp.RequestHeader) (string, error) {
	found := ""
	for _, secret := range secretsOf(h) {
		if found != "" && secret != found {
			return "", errTwoKeys
		}
		found = secret
	}
	return found, nil
}

func secretsOf(h *fasthttp.RequestHeader) []string {
	var secrets []string
	for _, key := range h.PeekAll(headers.APIKey) {
		secrets = append(secrets, string(key))
	}
	for _, value := range h.PeekAll(headers.Authorization) {
		auth := string(value)
		if len(auth) > len(bearerPrefix) && strings.EqualFold(auth[:len(bearerPrefix)], bearerPrefix) {
			secrets = append(secrets, strings.TrimSpace(auth[len(bearerPrefix):]))
		}
	}
	return secrets
}

// outgoing copies a caller's request for the gates: without the key in any
// form, without internal headers that the caller may have forged, and without
// headers that concern only the caller's connection. The body is shared.
func outgoing(src *fasthttp.Request) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	src.Header.CopyTo(&req.Header)
	headers.CleanRequest(&req.Header)
	headers.DropCredentials(&req.Header)
	req.SetBodyRaw(src.Body())
	return req
}

// fingerprintOf identifies a request's content: method, URI and body.
func fingerprintOf(req *fasthttp.Request) uint64 {
	d := xxhash.New()
	writeContent(d, req)
	return d.Sum64()
}

// digestOf is the collision-resistant form of fingerprintOf.
func digestOf(req *fasthttp.Request) [sha256.Size]byte {
	h := sha256.New()
	writeContent(h, req)
	var sum [sha256.Size]byte
	h.Sum(sum[:0])
	return sum
}

// writeContent writes the parts with their lengths, so that no two contents
// run together. Hashes never fail to take them.
func writeContent(w io.Writer, req *fasthttp.Request) {
	parts := [][]byte{req.Header.Method(), req.Header.RequestURI(), req.Header.ContentType(), req.Body()}
	var length [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(p)))
		w.Write(length[:]) //nolint:errcheck // see above
		w.Write(p)         //nolint:errcheck // see above
	}
}
