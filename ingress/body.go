package ingress

import (
	"github.com/valyala/fasthttp"

	"github.com/gooseberryshed/gooseberryshed/wire"
)

// smallBodyBytes is the size up to which a body is read before the request is
// admitted. The connection remains usable if such a request is refused after its
// body has been read.
const smallBodyBytes = 64 << 10

// limitBody sets the body size limit of a request whose header has been read.
// Large bodies and bodies of unknown length are limited to the maximum of the
// service, or to smallBodyBytes if the request is refused, so that no memory is
// used for callers that are not admitted.
func (in *Ingress) limitBody(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if n := h.ContentLength(); n >= 0 && n <= smallBodyBytes {
		return fasthttp.RequestConfig{}
	}
	adm, refusal := admit(in.opts.Snapshot(), h)
	if refusal != nil {
		return fasthttp.RequestConfig{MaxRequestBodySize: smallBodyBytes}
	}
	return fasthttp.RequestConfig{MaxRequestBodySize: min(MaxBodyBytes, max(smallBodyBytes, adm.service.MaxBody))}
}

// oversizedRefusal returns the refusal for a request whose body exceeds its
// limit. For a chunked request, fasthttp has already reset the header, so the
// exact reason is not known.
func (in *Ingress) oversizedRefusal(h *fasthttp.RequestHeader) *wire.Refusal {
	if h.ContentLength() <= smallBodyBytes {
		return wire.Refuse(wire.ReasonTooLarge, "the body exceeds the size limit of the service, or the request is refused for another reason and its body exceeds %d bytes", smallBodyBytes)
	}
	adm, refusal := admit(in.opts.Snapshot(), h)
	if refusal != nil {
		return refusal
	}
	return tooLargeRefusal(adm.service.MaxBody)
}

func tooLargeRefusal(bound int) *wire.Refusal {
	return wire.Refuse(wire.ReasonTooLarge, "the body exceeds %d bytes", min(bound, MaxBodyBytes))
}
