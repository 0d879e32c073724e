package forward

import (
	"io"
	"net/url"
	"strconv"
	"time"

	"github.com/gooseberryshed/gooseberryshed/headers"
	"github.com/gooseberryshed/gooseberryshed/wire"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// The internal fields of answers between daemons, besides the attempt's.
const (
	fieldReason     = headers.Prefix + "Reason"
	fieldRun        = headers.Prefix + "Run"
	fieldDetail     = headers.Prefix + "Detail"
	fieldRetryAfter = headers.Prefix + "Retry-After-Us"
	fieldInFlight   = headers.Prefix + "In-Flight"
	fieldLimit      = headers.Prefix + "Limit"
	fieldGateRev    = headers.Prefix + "Gate-Revision"
	fieldLength     = headers.Prefix + "Length"
	maxDetail       = 512 // bytes
)

var errOtherAttempt = errors.New("the answer is to another attempt")

func writeEpoch(h *fasthttp.ResponseHeader, e wire.Epoch) {
	setUint(h.Set, fieldIncarnation, e.Incarnation)
	setUint(h.Set, fieldGeneration, e.Generation)
}

func writeLoad(h *fasthttp.ResponseHeader, l wire.Load) {
	setUint(h.Set, fieldInFlight, uint64(max(l.InFlight, 0)))
	setUint(h.Set, fieldLimit, uint64(max(l.Limit, 0)))
	setUint(h.Set, fieldGateRev, l.Revision)
}

// writeRefusal makes resp carry a refusal.
func writeRefusal(resp *fasthttp.Response, id string, ref *wire.Refusal) {
	resp.Reset()
	resp.SetStatusCode(ref.Reason.Status())
	resp.Header.SetNoDefaultContentType(true)
	h := &resp.Header
	h.Set(fieldAttempt, id)
	h.Set(fieldReason, string(ref.Reason))
	h.Set(fieldRun, string(ref.Run))
	detail := ref.Detail
	if len(detail) > maxDetail {
		detail = detail[:maxDetail]
	}
	h.Set(fieldDetail, url.QueryEscape(detail))
	setUint(h.Set, fieldRetryAfter, uint64(max(ref.RetryAfter.Microseconds(), 0)))
	writeEpoch(h, ref.Epoch)
	setUint(h.Set, fieldRevision, ref.Revision)
	writeLoad(h, ref.Load)
}

// readRefusal returns the refusal that an answer carries, or nil.
func readRefusal(h *fasthttp.ResponseHeader) *wire.Refusal {
	reason := h.Peek(fieldReason)
	if len(reason) == 0 {
		return nil
	}
	p := parser{h: h}
	ref := &wire.Refusal{
		Reason:     wire.Reason(reason),
		Run:        wire.Unknown,
		RetryAfter: time.Duration(p.uint(fieldRetryAfter)) * time.Microsecond,
		Epoch:      readEpoch(&p),
		Revision:   p.uint(fieldRevision),
		Load:       readLoad(&p),
	}
	ref.Detail, _ = url.QueryUnescape(string(h.Peek(fieldDetail)))
	if run := wire.RunState(h.Peek(fieldRun)); run == wire.NotRun {
		ref.Run = wire.NotRun
	}
	return ref
}

func readEpoch(p *parser) wire.Epoch {
	return wire.Epoch{Incarnation: p.uint(fieldIncarnation), Generation: p.uint(fieldGeneration)}
}

func readLoad(p *parser) wire.Load {
	return wire.Load{
		InFlight: int(p.uint(fieldInFlight)),
		Limit:    int(p.uint(fieldLimit)),
		Revision: p.uint(fieldGateRev),
	}
}

// setLength tells the length of a body that is sent in chunks; a negative one
// is not known.
func setLength(h *fasthttp.ResponseHeader, length int) {
	if length >= 0 {
		setUint(h.Set, fieldLength, uint64(length))
	}
}

// readLength returns the length that setLength told.
func readLength(h *fasthttp.ResponseHeader) (int, bool) {
	length, err := strconv.Atoi(string(h.Peek(fieldLength)))
	return length, err == nil && length >= 0
}

// countedBody checks that a chunked body has the length that was told.
type countedBody struct {
	io.ReadCloser
	left int
}

var errLength = errors.New("the body's length is not the one told")

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.left -= n
	if b.left < 0 || (err == io.EOF && b.left != 0) {
		b.Close()
		return 0, errLength
	}
	return n, err
}
