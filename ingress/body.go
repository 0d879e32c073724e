package ingress

import (
	"github.com/valyala/fasthttp"

	"github.com/gooseberryshed/gooseberryshed/wire"
)

// smallBody is how large a body may be to be read before the request is
// admitted, in bytes. Refusing such requests after the body keeps their
// connections usable.
const smallBody = 64 << 10

// boundBody bounds the body of a request whose header has been read. Bodies that
// are large, or of unknown length, are bounded by what the service takes, and
// hardly read at all when the request is refused anyway: memory is not held for
// callers who may not send.
func (in *Ingress) boundBody(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if n := h.ContentLength(); n >= 0 && n <= smallBody {
		return fasthttp.RequestConfig{}
	}
	adm, refusal := admit(in.opts.Snapshot(), h)
	if refusal != nil {
		return fasthttp.RequestConfig{MaxRequestBodySize: smallBody}
	}
	return fasthttp.RequestConfig{MaxRequestBodySize: min(MaxBodyBytes, max(smallBody, adm.service.MaxBody))}
}

// oversized is the refusal of a request whose body exceeded its bound. The
// library forgets the header of a chunked request by then.
func (in *Ingress) oversized(h *fasthttp.RequestHeader) *wire.Refusal {
	if h.ContentLength() <= smallBody {
		return wire.Refuse(wire.ReasonTooLarge, "the body exceeds what the service takes, or the request is not admitted")
	}
	adm, refusal := admit(in.opts.Snapshot(), h)
	if refusal != nil {
		return refusal
	}
	return tooLarge(adm.service.MaxBody)
}

func tooLarge(bound int) *wire.Refusal {
	return wire.Refuse(wire.ReasonTooLarge, "the body exceeds %d bytes", min(bound, MaxBodyBytes))
}
