package hostd

import (
	"context"
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/gooseberryshed/gooseberryshed/link"
	"github.com/gooseberryshed/gooseberryshed/placing"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/rollout"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

// Headers used between daemons. Ingresses drop them from callers' requests.
const (
	headerForward = "Gooseberryshed-Forward"
	headerReport  = "Gooseberryshed-Report"
	headerRefusal = "Gooseberryshed-Refusal"
	headerRollout = "Gooseberryshed-Rollout"
	// headerAgain replaces headerForward where an attempt is offered again. Daemons
	// of versions that cannot tell such an offer from a first one do not know it.
	headerAgain = "Gooseberryshed-Forward-Again"
)

// Forward describes an attempt to a gate.
type Forward struct {
	// Attempt is the caller's request ID.
	Attempt string `json:"-"`
	// Target is the target that the sender knows on the gate's host. Another target
	// of the same Service that has replaced it serves the request in its place.
	Target  string `json:"t"`
	Service string `json:"s,omitempty"`
	// TimeLeftMs is the time left when the attempt was sent, in milliseconds.
	TimeLeftMs    int64  `json:"l"`
	Workspace     string `json:"w,omitempty"`
	CallerService string `json:"c"`
	Route         string `json:"r"`
	// ObjectiveMs is the route's latency objective in milliseconds, and
	// ObjectiveLeftMs the part of it that is left.
	ObjectiveMs     int64 `json:"o"`
	ObjectiveLeftMs int64 `json:"m,omitempty"`
	Priority        int   `json:"p,omitempty"`
	Nested          bool  `json:"i,omitempty"`
	Repeatable      bool  `json:"a,omitempty"`
	// MaxWaitMs bounds the expected wait in the gate's queue, in milliseconds.
	// 0 allows no wait.
	MaxWaitMs int64 `json:"q,omitempty"`
	// MaxGray is the highest probability that the target is gray at which the
	// request may be sent.
	MaxGray  float64 `json:"g"`
	Revision uint64  `json:"v"`
	// Incarnation is set in an offer that is made again: that of the gate's process at
	// the first offer. A later process does not know whether the request has run.
	Incarnation int64 `json:"n,omitempty"`
	// Fingerprint is a hash of the request's sender and content.
	Fingerprint uint64 `json:"k,omitempty"`
}

// Reply is a gate's reply to an attempt: an answer of the target or a refusal.
type Reply struct {
	Answer  *Answer
	Refusal *wire.Refusal
	Report  placing.Report
	// Rollout is what the gate knows of the roll-out of its service, or nil.
	Rollout *rollout.Directive
}

// Answer is a complete answer of a target.
type Answer struct {
	Header fasthttp.ResponseHeader
	Body   []byte
}

// wireReport is the encoding of a placing.Report between daemons.
type wireReport struct {
	Incarnation int64   `json:"l"`
	Running     int     `json:"r"`
	Waiting     int     `json:"w,omitempty"`
	Slots       int     `json:"s"`
	WaitMs      int64   `json:"m,omitempty"`
	Gray        float64 `json:"g"`
	Cold        bool    `json:"c,omitempty"`
	Resumes     bool    `json:"z,omitempty"`
}

// wireRefusal is the encoding of a wire.Refusal between daemons.
type wireRefusal struct {
	Reason wire.Reason   `json:"r"`
	Run    wire.RunState `json:"n"`
	Detail string        `json:"d"`
	WaitMs int64         `json:"w,omitempty"`
}

func encodeHeader(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		return "" // the types above can always be encoded
	}
	return string(data)
}

// grayScale rounds gray probabilities to three decimal places.
const grayScale = 1000

func writeReport(h *fasthttp.ResponseHeader, r placing.Report) {
	h.Set(headerReport, encodeHeader(wireReport{
		Incarnation: r.Incarnation,
		Running:     r.Running,
		Waiting:     r.Waiting,
		Slots:       r.Slots,
		WaitMs:      r.ExpectedWait.Milliseconds(),
		Gray:        float64(int(r.GrayProbability*grayScale)) / grayScale,
		Cold:        r.Cold,
		Resumes:     true,
	}))
}

func readReport(h *fasthttp.ResponseHeader, now time.Time) placing.Report {
	var w wireReport
	if json.Unmarshal(h.Peek(headerReport), &w) != nil {
		return placing.Report{}
	}
	return placing.Report{ReceivedAt: now, Incarnation: w.Incarnation, Running: w.Running, Waiting: w.Waiting, Slots: w.Slots,
		ExpectedWait: time.Duration(w.WaitMs) * time.Millisecond, GrayProbability: w.Gray, Cold: w.Cold, Resumes: w.Resumes}
}

// writeReply writes a gate's reply to another daemon.
func writeReply(resp *fasthttp.Response, r Reply) {
	if r.Refusal != nil {
		resp.SetStatusCode(fasthttp.StatusServiceUnavailable)
		resp.Header.Set(headerRefusal, encodeHeader(wireRefusal{
			Reason: r.Refusal.Reason,
			Run:    r.Refusal.Run,
			Detail: r.Refusal.Detail,
			WaitMs: r.Refusal.RetryAfter.Milliseconds(),
		}))
	} else {
		r.Answer.Header.CopyTo(&resp.Header)
		resp.SetBodyRaw(r.Answer.Body)
	}
	writeReport(&resp.Header, r.Report)
	resp.Header.Del(headerRollout)
	if r.Rollout != nil {
		resp.Header.Set(headerRollout, encodeHeader(r.Rollout))
	}
}

// Time and size limits of exchanges between daemons.
const (
	// gateDialTimeout bounds connecting to another gate. It is about twenty
	// round trips between data centres and shorter than the retransmission of a
	// lost packet, in which case another gate is the better choice.
	gateDialTimeout = 250 * time.Millisecond
	// gateUserTimeout bounds how long sent bytes may remain unacknowledged.
	gateUserTimeout = 1500 * time.Millisecond
	// bodyIdleTimeout bounds the time between reads of an answer's body, which a gate
	// sends only when it has the whole answer.
	bodyIdleTimeout = 5 * time.Second
	// replyGrace is how long after the deadline a gate's reply may arrive.
	replyGrace = 150 * time.Millisecond
)

// gateClient reaches the gates of other hosts.
type gateClient struct {
	links   *link.Pool
	answers *byteBudget
}

func newGateClient(localIP string, answers *byteBudget) *gateClient {
	return &gateClient{answers: answers, links: link.New(link.Options{
		LocalAddr:      localIP,
		DialTimeout:    gateDialTimeout,
		TCPUserTimeout: gateUserTimeout,
	})}
}

// Forward sends an attempt to the gate of a target. It modifies the headers of
// req.
func (c *gateClient) Forward(ctx context.Context, t Target, f Forward, req *fasthttp.Request, ev offerEvents) Reply {
	req.Header.Set(headerForward, encodeHeader(f))
	return c.offer(ctx, t, f, req, ev, false)
}

// OfferAgain sends an attempt again on a new connection. It modifies the headers of req.
func (c *gateClient) OfferAgain(ctx context.Context, t Target, f Forward, req *fasthttp.Request, ev offerEvents) Reply {
	req.Header.Set(headerAgain, encodeHeader(f))
	reply := c.offer(ctx, t, f, req, ev, true)
	if reply.Answer != nil && reply.Report.Incarnation == 0 {
		return Reply{Refusal: wire.RefuseUnknown(wire.ReasonUnreachable, "the gate of %s knows no offers that are made again; it may be of an earlier version", t.Host)}
	}
	return reply
}

func (c *gateClient) offer(ctx context.Context, t Target, f Forward, req *fasthttp.Request, ev offerEvents, fresh bool) Reply {
	left := time.Duration(f.TimeLeftMs) * time.Millisecond
	resp, err := c.links.Do(ctx, t.Gate, req, link.RequestOptions{
		NewConnection:    fresh,
		Deadline:         time.Now().Add(left + replyGrace),
		FirstByteTimeout: left + replyGrace,
		IdleTimeout:      bodyIdleTimeout,
		OnInterim:        ev.onInterim,
	})
	if err != nil {
		return Reply{Refusal: refusalFromLinkError(err, t, fresh)}
	}
	reply, err := c.readReply(resp)
	if err != nil {
		return Reply{Refusal: refusalFromLinkError(err, t, fresh)}
	}
	return reply
}

// readReply reads the reply of a gate.
func (c *gateClient) readReply(resp *link.Response) (Reply, error) {
	body, err := readBody(resp, c.answers)
	if err != nil {
		return Reply{}, err
	}
	reply := Reply{Report: readReport(&resp.Header, time.Now()), Rollout: readDirective(&resp.Header)}
	if raw := resp.Header.Peek(headerRefusal); raw != nil {
		reply.Refusal = readRefusal(raw)
		return reply, nil
	}
	resp.Header.Del(headerReport)
	resp.Header.Del(headerRollout)
	reply.Answer = &Answer{Body: body}
	resp.Header.CopyTo(&reply.Answer.Header)
	return reply, nil
}

func readRefusal(raw []byte) *wire.Refusal {
	var w wireRefusal
	if json.Unmarshal(raw, &w) != nil {
		return wire.RefuseUnknown(wire.ReasonUnreachable, "invalid refusal header from the gate")
	}
	return &wire.Refusal{Reason: w.Reason, Run: w.Run, Detail: w.Detail, RetryAfter: time.Duration(w.WaitMs) * time.Millisecond}
}

// refusalFromLinkError returns the refusal for a request whose exchange with a
// gate failed. A request that is offered again may have arrived with the first offer.
func refusalFromLinkError(err error, t Target, again bool) *wire.Refusal {
	le := link.AsError(err)
	if le != nil && le.Stage == link.StageDial && !again {
		return wire.Refuse(wire.ReasonUnreachable, "gate of %s: %v", t.Host, err)
	}
	return wire.RefuseUnknown(wire.ReasonUnreachable, "gate of %s: %v", t.Host, err)
}

// readForward decodes an attempt from its headers and removes the encoding.
func readForward(h *fasthttp.RequestHeader) (Forward, error) {
	var f Forward
	raw := h.Peek(headerForward)
	if raw == nil {
		raw = h.Peek(headerAgain)
	}
	err := json.Unmarshal(raw, &f)
	f.Attempt = karpithaz.ParseRequest(h).Attempt
	h.Del(headerForward)
	h.Del(headerAgain)
	return f, err
}
