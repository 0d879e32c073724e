package forward

import (
	"io"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/gooseberryshed/gooseberryshed/wire"
)

// Parameters of the reply, in addition to those of the epoch.
const (
	paramReason       = "reason"
	paramRun          = "run"
	paramDetail       = "detail"
	paramRetryAfter   = "retry-after-us"
	paramInFlight     = "in-flight"
	paramLimit        = "limit"
	paramGateRevision = "gate-revision"
	paramLength       = "length"

	maxDetail = 512 // bytes
)

var errAttemptMismatch = errors.New("the response does not carry the ID of this attempt")

// reply is the gate's metadata for an attempt, sent along with the target's
// response.
type reply struct {
	epoch wire.Epoch
	load  wire.Load
	// length is the length of a body sent in chunks, or negative if unknown.
	length int
	// refusal is set if there is no response of a target.
	refusal *wire.Refusal
}

// write encodes the reply to an attempt into a header.
func (r reply) write(h *fasthttp.ResponseHeader, id string) {
	args := fasthttp.AcquireArgs()
	defer fasthttp.ReleaseArgs(args)
	setEpoch(args, r.epoch)
	setUint(args, paramInFlight, uint64(max(r.load.InFlight, 0)))
	setUint(args, paramLimit, uint64(max(r.load.Limit, 0)))
	setUint(args, paramGateRevision, r.load.Revision)
	if r.length >= 0 {
		setUint(args, paramLength, uint64(r.length))
	}
	if r.refusal != nil {
		setRefusal(args, r.refusal)
	}
	h.Set(fieldAttempt, id)
	h.SetBytesV(fieldReply, args.QueryString())
}

func setRefusal(args *fasthttp.Args, ref *wire.Refusal) {
	detail := ref.Detail
	if len(detail) > maxDetail {
		detail = detail[:maxDetail]
	}
	args.Set(paramReason, string(ref.Reason))
	args.Set(paramRun, string(ref.Run))
	args.Set(paramDetail, detail)
	setUint(args, paramRetryAfter, uint64(max(ref.RetryAfter.Microseconds(), 0)))
	setUint(args, paramRevision, ref.Revision)
}

// readReply decodes the reply to an attempt.
func readReply(h *fasthttp.ResponseHeader, id wire.ID) (reply, error) {
	if string(h.Peek(fieldAttempt)) != id.String() {
		return reply{}, errAttemptMismatch
	}
	p := parseParams(h.Peek(fieldReply))
	defer p.release()
	r := reply{
		epoch: p.epoch(),
		load: wire.Load{
			InFlight: int(p.uint(paramInFlight)),
			Limit:    int(p.uint(paramLimit)),
			Revision: p.uint(paramGateRevision),
		},
		length: -1,
	}
	if p.args.Has(paramLength) {
		r.length = int(p.uint(paramLength))
	}
	if p.args.Has(paramReason) {
		r.refusal = p.refusal(r)
	}
	return r, p.err
}

// refusal decodes a refusal. Any run state other than NotRun becomes Unknown.
func (p *params) refusal(r reply) *wire.Refusal {
	ref := &wire.Refusal{
		Reason:     wire.Reason(p.text(paramReason)),
		Run:        wire.Unknown,
		Detail:     p.text(paramDetail),
		RetryAfter: p.micros(paramRetryAfter),
		Epoch:      r.epoch,
		Revision:   p.uint(paramRevision),
		Load:       r.load,
	}
	if wire.RunState(p.text(paramRun)) == wire.NotRun {
		ref.Run = wire.NotRun
	}
	return ref
}

// writeRefusal encodes a refusal into resp.
func writeRefusal(resp *fasthttp.Response, id string, ref *wire.Refusal) {
	resp.Reset()
	resp.SetStatusCode(ref.Reason.Status())
	resp.Header.SetNoDefaultContentType(true)
	reply{epoch: ref.Epoch, load: ref.Load, length: -1, refusal: ref}.write(&resp.Header, id)
}

// lengthCheckedBody verifies that a chunked body has the declared length.
type lengthCheckedBody struct {
	io.ReadCloser
	left int
}

// Read implements io.Reader.
func (b *lengthCheckedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.left -= n
	if b.left < 0 || (err == io.EOF && b.left != 0) {
		b.Close()
		return 0, errors.Errorf("response body length does not match the length declared by the gate: declared minus received is %d bytes", b.left)
	}
	return n, err
}
