package hostd

import (
	"context"
	"encoding/json"
	"math"
	"runtime"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/gooseberryshed/gooseberryshed/changes"
	"github.com/gooseberryshed/gooseberryshed/link"
	"github.com/gooseberryshed/gooseberryshed/memory"
	"github.com/gooseberryshed/gooseberryshed/placing"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/retry"
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
	// headerQuestion replaces headerAgain where a gate is asked for its record of an
	// attempt, without the body. Daemons of versions that have no records refuse it with
	// status 400.
	headerQuestion = "Gooseberryshed-Forward-Question"
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
	// Repeat is set if the request may have arrived at a target before. The retry budgets
	// of the services that it calls then count its calls.
	Repeat bool `json:"b,omitempty"`
	// MaxWaitMs bounds the expected wait in the gate's queue, in milliseconds.
	// 0 allows no wait.
	MaxWaitMs int64 `json:"q,omitempty"`
	// MaxGray is the highest probability that the target is gray at which the
	// request may be sent.
	MaxGray float64 `json:"g"`
	// UsualUs is the usual duration of the route at the service's targets in microseconds,
	// or 0 if the sender does not know it.
	UsualUs  int64  `json:"d,omitempty"`
	Revision uint64 `json:"v"`
	// Served is the rank of the request that a nested call serves. It is nil if that is
	// not known.
	Served *retry.Rank `json:"u,omitempty"`
	// Use is the recent use of the service by the workspace through the sender. It is nil
	// if there is none.
	Use *recentUse `json:"x,omitempty"`
	// Incarnation is set in an offer that is made again: that of the gate's process at
	// the first offer. A later process does not know whether the request has run.
	Incarnation int64 `json:"n,omitempty"`
	// Fingerprint is a hash of the request's sender and content.
	Fingerprint uint64 `json:"k,omitempty"`
	// bodyBytes is the size of the request's body, which the gate sets.
	bodyBytes int64
}

// Reply is a gate's reply to an attempt: an answer of the target or a refusal.
type Reply struct {
	Answer  *Answer
	Refusal *wire.Refusal
	// Settled is set in a refusal if the gate's record says that the attempt was not sent
	// and will not be.
	Settled bool
	Report  placing.Report
	// Rollout is what the gate knows of the roll-out of its service, or nil.
	Rollout *rollout.Directive
}

// Answer is a complete answer of a target.
type Answer struct {
	Header fasthttp.ResponseHeader
	Body   []byte
	// lease is the memory of the body, or nil. The answer is a user of it until release,
	// if owner is set.
	lease   *memory.Lease
	owner   bool
	cleanup runtime.Cleanup
}

// newAnswer returns an answer with a body and its memory, which is released at the latest
// when the answer is garbage: that of an attempt that came second has no other end.
func newAnswer(body []byte, lease *memory.Lease) *Answer {
	a := &Answer{Body: body, lease: lease, owner: true}
	a.cleanup = runtime.AddCleanup(a, (*memory.Lease).Release, lease)
	return a
}

// release ends the answer's use of its memory.
func (a *Answer) release() {
	if a != nil && a.owner {
		a.owner = false
		a.cleanup.Stop()
		a.lease.Release()
	}
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
	// Slowness is 0 for 1, and TypicalUs a number of microseconds.
	Slowness  float64 `json:"x,omitempty"`
	TypicalUs int64   `json:"d,omitempty"`
	Shortage  float64 `json:"h,omitempty"`
	MeanLoad  float64 `json:"e,omitempty"`
	Resumes   bool    `json:"z,omitempty"`
}

// wireRefusal is the encoding of a wire.Refusal between daemons.
type wireRefusal struct {
	Reason wire.Reason   `json:"r"`
	Run    wire.RunState `json:"n"`
	Detail string        `json:"d"`
	WaitMs int64         `json:"w,omitempty"`
	// Settled is not known to daemons of earlier versions, which leave it out.
	Settled bool `json:"s,omitempty"`
}

// reasonNoRecord is the reason of a gate's answer to a question about an attempt of which it
// has no record. It is used between daemons only.
const reasonNoRecord wire.Reason = "no-record"

func encodeHeader(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		return "" // the types above can always be encoded
	}
	return string(data)
}

// grayScale rounds gray probabilities to three decimal places.
const grayScale = 1000

// slownessScale rounds the slowness and the mean load to two decimal places.
const slownessScale = 100

func roundHundredth(x float64) float64 { return math.Round(x*slownessScale) / slownessScale }

// encodeSlowness returns the slowness for a report, in which 0 stands for 1.
func encodeSlowness(slowness float64) float64 {
	if rounded := roundHundredth(slowness); rounded != 1 {
		return rounded
	}
	return 0
}

func writeReport(h *fasthttp.ResponseHeader, r placing.Report) {
	h.Set(headerReport, encodeHeader(wireReport{
		Incarnation: r.Incarnation,
		Running:     r.Running,
		Waiting:     r.Waiting,
		Slots:       r.Slots,
		WaitMs:      r.ExpectedWait.Milliseconds(),
		Gray:        float64(int(r.GrayProbability*grayScale)) / grayScale,
		Cold:        r.Cold,
		Slowness:    encodeSlowness(r.Slowness),
		TypicalUs:   r.Typical.Microseconds(),
		Shortage:    r.Shortage,
		MeanLoad:    roundHundredth(r.MeanLoad),
		Resumes:     true,
	}))
}

func readReport(h *fasthttp.ResponseHeader, now time.Time) placing.Report {
	var w wireReport
	if json.Unmarshal(h.Peek(headerReport), &w) != nil {
		return placing.Report{}
	}
	return placing.Report{ReceivedAt: now, Incarnation: w.Incarnation, Running: w.Running, Waiting: w.Waiting, Slots: w.Slots,
		ExpectedWait: time.Duration(w.WaitMs) * time.Millisecond, GrayProbability: w.Gray, Cold: w.Cold, Resumes: w.Resumes,
		Slowness: w.Slowness, Shortage: w.Shortage, MeanLoad: w.MeanLoad, Typical: time.Duration(w.TypicalUs) * time.Microsecond}
}

// writeReply writes a gate's reply to another daemon.
func writeReply(resp *fasthttp.Response, r Reply) {
	if r.Refusal != nil {
		resp.SetStatusCode(fasthttp.StatusServiceUnavailable)
		resp.Header.Set(headerRefusal, encodeHeader(wireRefusal{
			Reason:  r.Refusal.Reason,
			Run:     r.Refusal.Run,
			Detail:  r.Refusal.Detail,
			WaitMs:  r.Refusal.RetryAfter.Milliseconds(),
			Settled: r.Settled,
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
	links  *link.Pool
	memory *memory.Account
	// host is this host, and known returns the value of the configuration's row that it has, or
	// nil.
	host  string
	known func() *changes.Value
}

func newGateClient(localIP string, account *memory.Account) *gateClient {
	return &gateClient{memory: account, known: func() *changes.Value { return nil }, links: link.New(link.Options{
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

// OfferAgain sends an attempt again on a new connection. A body is sent only if the gate has
// no record of the attempt. It modifies the headers of req.
func (c *gateClient) OfferAgain(ctx context.Context, t Target, f Forward, req *fasthttp.Request, ev offerEvents) Reply {
	if len(req.Body()) > 0 {
		if reply, known := c.askRecord(ctx, t, f, req, ev); known || ctx.Err() != nil {
			return reply
		}
		ev.heartbeat() // the connection is not silent
	}
	req.Header.Set(headerAgain, encodeHeader(f))
	reply := c.offer(ctx, t, f, req, ev, true)
	if reply.Answer != nil && reply.Report.Incarnation == 0 {
		return Reply{Refusal: wire.RefuseUnknown(wire.ReasonUnreachable, "the gate of %s knows no offers that are made again; it may be of an earlier version", t.Host)}
	}
	return reply
}

// askRecord asks a gate for its record of an attempt. It returns false if the gate has none, or
// is of an earlier version, which gets the body.
func (c *gateClient) askRecord(ctx context.Context, t Target, f Forward, req *fasthttp.Request, ev offerEvents) (reply Reply, known bool) {
	question := &fasthttp.Request{}
	req.Header.CopyTo(&question.Header)
	question.Header.Set(headerQuestion, encodeHeader(f))
	reply = c.offer(ctx, t, f, question, ev, true)
	earlierVersion := reply.Answer != nil && reply.Report.Incarnation == 0
	return reply, !earlierVersion && (reply.Refusal == nil || reply.Refusal.Reason != reasonNoRecord)
}

func (c *gateClient) offer(ctx context.Context, t Target, f Forward, req *fasthttp.Request, ev offerEvents, fresh bool) Reply {
	left := time.Duration(f.TimeLeftMs) * time.Millisecond
	beforeSend := ev.beforeSend
	if fresh {
		beforeSend = nil // a repeat names the process that it is for
	}
	resp, err := c.links.Do(ctx, t.Gate, req, link.RequestOptions{
		NewConnection:    fresh,
		Deadline:         time.Now().Add(left + replyGrace),
		FirstByteTimeout: left + replyGrace,
		IdleTimeout:      bodyIdleTimeout,
		OnInterim:        ev.onInterim,
		BeforeSend:       beforeSend,
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
	body, lease, err := readBody(resp, c.memory)
	if err != nil {
		return Reply{}, err
	}
	reply := Reply{Report: readReport(&resp.Header, time.Now()), Rollout: readDirective(&resp.Header)}
	if raw := resp.Header.Peek(headerRefusal); raw != nil {
		reply.Refusal, reply.Settled = readRefusal(raw)
		lease.Release()
		return reply, nil
	}
	resp.Header.Del(headerReport)
	resp.Header.Del(headerRollout)
	reply.Answer = newAnswer(body, lease)
	resp.Header.CopyTo(&reply.Answer.Header)
	return reply, nil
}

func readRefusal(raw []byte) (r *wire.Refusal, settled bool) {
	var w wireRefusal
	if json.Unmarshal(raw, &w) != nil {
		return wire.RefuseUnknown(wire.ReasonUnreachable, "invalid refusal header from the gate"), false
	}
	return &wire.Refusal{Reason: w.Reason, Run: w.Run, Detail: w.Detail, RetryAfter: time.Duration(w.WaitMs) * time.Millisecond}, w.Settled
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
	for _, name := range []string{headerAgain, headerQuestion} {
		if raw == nil {
			raw = h.Peek(name)
		}
	}
	err := json.Unmarshal(raw, &f)
	f.Attempt = karpithaz.ParseRequest(h).Attempt
	h.Del(headerForward)
	h.Del(headerAgain)
	h.Del(headerQuestion)
	return f, err
}
