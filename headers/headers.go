// Package headers removes header fields that must not be forwarded: hop-by-hop
// fields, internal fields, and callers' credentials.
package headers

import (
	"bytes"
	"iter"

	"github.com/valyala/fasthttp"
)

// Prefix is the prefix of the names of all internal fields.
const Prefix = "Gooseberryshed-"

// Internal fields that are sent to targets.
const (
	Workspace  = Prefix + "Workspace"
	Attempt    = Prefix + "Attempt"
	DeadlineMs = Prefix + "Deadline-Ms"
)

// Fields in which callers may send their API key.
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

// IsInternal reports whether name is that of an internal field.
func IsInternal(name []byte) bool {
	return len(name) >= len(prefix) && bytes.EqualFold(name[:len(prefix)], prefix)
}

// CleanRequest removes hop-by-hop and internal fields from a request.
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

// DropCredentials removes the fields in which callers send their API key.
func DropCredentials(h *fasthttp.RequestHeader) {
	h.Del(Authorization)
	h.Del(APIKey)
}

// CleanResponse removes hop-by-hop and internal fields from a response.
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

// dropNominated removes the fields listed in the values of the Connection field.
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
