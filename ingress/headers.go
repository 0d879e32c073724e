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

// headerIdempotencyKey names the header with the caller's idempotency key.
const headerIdempotencyKey = "Idempotency-Key"

// bearerPrefix precedes the key in an Authorization header, in lower case.
const bearerPrefix = "bearer "

// maxIdempotencyKey is the maximum length of an Idempotency-Key in bytes.
const maxIdempotencyKey = 255

// errConflictingKeys is returned for a request that contains different API keys.
var errConflictingKeys = errors.New("the request carries two different keys; send one")

// apiKey returns the API key of a request, or "". All occurrences of both header
// fields must contain the same key.
func apiKey(h *fasthttp.RequestHeader) (string, error) {
	found := ""
	for _, secret := range apiKeys(h) {
		if found != "" && secret != found {
			return "", errConflictingKeys
		}
		found = secret
	}
	return found, nil
}

func apiKeys(h *fasthttp.RequestHeader) []string {
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

// forwardedRequest returns a copy of a caller's request for the gates without API
// keys, internal headers, which the caller may have forged, and hop-by-hop
// headers. The body is shared with src.
func forwardedRequest(src *fasthttp.Request) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	src.Header.CopyTo(&req.Header)
	headers.CleanRequest(&req.Header)
	headers.DropCredentials(&req.Header)
	req.SetBodyRaw(src.Body())
	return req
}

// fingerprintOf returns a hash of a request's method, URI, content type and body.
func fingerprintOf(req *fasthttp.Request) uint64 {
	d := xxhash.New()
	writeContent(d, req)
	return d.Sum64()
}

// digestOf returns a collision-resistant hash of the same content as
// fingerprintOf.
func digestOf(req *fasthttp.Request) [sha256.Size]byte {
	h := sha256.New()
	writeContent(h, req)
	var sum [sha256.Size]byte
	h.Sum(sum[:0])
	return sum
}

// writeContent writes the parts with length prefixes, so that different requests
// never produce the same byte sequence. Writes to a hash never fail.
func writeContent(w io.Writer, req *fasthttp.Request) {
	parts := [][]byte{req.Header.Method(), req.Header.RequestURI(), req.Header.ContentType(), req.Body()}
	var length [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(p)))
		w.Write(length[:]) //nolint:errcheck // see above
		w.Write(p)         //nolint:errcheck // see above
	}
}
