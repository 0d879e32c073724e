// Package headers removes the fields of a message that must not travel on:
// hop-by-hop fields, the fleet's internal fields, and callers' credentials.
package headers

import (
	"bytes"
	"iter"

	"github.com/valyala/fasthttp"
)

// Prefix starts the names of all internal fields.
const Prefix = "Gooseberryshed-"

// The fields that a target receives.
const (
	Workspace  = Prefix + "Workspace"
	Attempt    = Prefix + "Attempt"
	DeadlineMs = Prefix + "Deadline-Ms"
)

// The fields that callers may carry their key in.
const (
	Authorization = "Authorization"
	APIKey        = "X-Api-Key"
)

var hopByHop = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

var prefix = []byte(Prefix)

// IsInternal reports whether a field belongs to the fleet.
func IsInternal(name []byte) bool {
	return len(name) >= len(prefix) && bytes.EqualFold(name[:len(prefix)], prefix)
}

// CleanRequest removes hop-by-hop and internal fields.
func CleanRequest(h *fasthttp.RequestHeader) {
	dropNominated(h.PeekAll("Connection"), h.Del)
	for _, name := range hopByHop {
		h.Del(name)
	}
	h.Del("Expect")
	h.ResetConnectionClose()
	h.SetProtocol("HTTP/1.1")
	for _, name := range internalNames(h.All()) {
		h.Del(name)
	}
}

// DropCredentials removes the fields that callers carry their key in.
func DropCredentials(h *fasthttp.RequestHeader) {
	h.Del(Authorization)
	h.Del(APIKey)
}

// CleanResponse removes hop-by-hop and internal fields.
func CleanResponse(h *fasthttp.ResponseHeader) {
	dropNominated(h.PeekAll("Connection"), h.Del)
	for _, name := range hopByHop {
		h.Del(name)
	}
	h.ResetConnectionClose()
	h.SetNoDefaultContentType(true)
	for _, name := range internalNames(h.All()) {
		h.Del(name)
	}
}

// dropNominated removes the fields that a Connection field names.
func dropNominated(values [][]byte, del func(string)) {
	for _, value := range values {
		for name := range bytes.SplitSeq(value, []byte(",")) {
			name = bytes.TrimSpace(name)
			if len(name) > 0 && !bytes.EqualFold(name, []byte("close")) {
				del(string(name))
			}
		}
	}
}

func internalNames(fields iter.Seq2[[]byte, []byte]) []string {
	var internal []string
	for name := range fields {
		if IsInternal(name) {
			internal = append(internal, string(name))
		}
	}
	return internal
}
