package hostd

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/gooseberryshed/gooseberryshed/link"
	"github.com/gooseberryshed/gooseberryshed/placing"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

// Headers between daemons. Ingresses drop them from callers' requests.
const (
	headerForward = "Gooseberryshed-Forward"
	headerReport  = "Gooseberryshed-Report"
	headerRefusal = "Gooseberryshed-Refusal"
)

// Forward is what a gate is told about an attempt.
type Forward struct {
	// Attempt is the caller's id of its request.
	Attempt string `json:"-"`
	Target  string `json:"t"`
	// TimeLeft is in milliseconds from when the attempt was sent.
	TimeLeftMs    int64  `json:"l"`
	Workspace     string `json:"w,omitempty"`
	CallerService string `json:"c"`
	Route         string `json:"r"`
	// ObjectiveMs is the route's latency objective in milliseconds, AimMs what is
	// left of it.
	ObjectiveMs int64 `json:"o"`
	AimMs       int64 `json:"m,omitempty"`
	Priority    int   `json:"p,omitempty"`
	Inner       bool  `json:"i,omitempty"`
	Repeatable  bool  `json:"a,omitempty"`
	// MaxWaitMs bounds the expected wait in the gate's line, in milliseconds; 0
	// allows none.
	MaxWaitMs int64 `json:"q,omitempty"`
	// MaxGray is how likely the target may be gray for the request to be sent.
	MaxGray  float64 `json:"g"`
	Revision uint64  `json:"v"`
	// Fingerprint identifies the request's sender and content.
	Fingerprint uint64 `json:"k,omitempty"`
}

// Reply is a gate's reply to an attempt: an answer of the target or a refusal.
type Reply struct {
	Answer  *Answer
	Refusal *wire.Refusal
	Report  placing.Report
}

// Answer is a target's whole answer.
type Answer struct {
	Header fasthttp.ResponseHeader
	Body   []byte
}

// wireReport is a placing.Report between daemons.
type wireReport struct {
	Life    int64   `json:"l"`
	Running int     `json:"r"`
	Waiting int     `json:"w,omitempty"`
	Slots   int     `json:"s"`
	WaitMs  int64   `json:"m,omitempty"`
	Gray    float64 `json:"g"`
	Cold    bool    `json:"c,omitempty"`
}

// wireRefusal is a wire.Refusal between daemons.
type wireRefusal struct {
	Reason wire.Reason   `json:"r"`
	Run    wire.RunState `json:"n"`
	Detail string        `json:"d"`
	WaitMs int64         `json:"w,omitempty"`
}

func encodeHeader(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		return "" // the types above always encode
	}
	return string(data)
}

// grayScale rounds a belief for the wire.
const grayScale = 1000

func writeReport(h *fasthttp.ResponseHeader, r placing.Report) {
	h.Set(headerReport, encodeHeader(wireReport{
		Life:    r.Incarnation,
		Running: r.Running,
		Waiting: r.Waiting,
		Slots:   r.Slots,
		WaitMs:  r.ExpectedWait.Milliseconds(),
		Gray:    float64(int(r.GrayProbability*grayScale)) / grayScale,
		Cold:    r.Cold,
	}))
}

func readReport(h *fasthttp.ResponseHeader, now time.Time) placing.Report {
	var w wireReport
	if json.Unmarshal(h.Peek(headerReport), &w) != nil {
		return placing.Report{}
	}
	return placing.Report{ReceivedAt: now, Incarnation: w.Life, Running: w.Running, Waiting: w.Waiting, Slots: w.Slots,
		ExpectedWait: time.Duration(w.WaitMs) * time.Millisecond, GrayProbability: w.Gray, Cold: w.Cold}
}

// writeReply fills the HTTP response of a gate to another daemon.
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
}

// Times of exchanges between daemons.
const (
	// gateDialTimeout bounds connecting to another gate: some twenty round
	// trips between data centres, and less than a lost packet's repetition, as
	// another gate is the better choice then.
	gateDialTimeout = 250 * time.Millisecond
	// gateUserTimeout ends connections whose bytes stay unacknowledged.
	gateUserTimeout = 1500 * time.Millisecond
	// bodyIdle bounds the silence within an answer's body.
	bodyIdle = 5 * time.Second
	// replyGrace is how long after the time left a gate's reply may come.
	replyGrace = 150 * time.Millisecond
	// maxAnswerBytes bounds an answer's body.
	maxAnswerBytes = 64 << 20
)

// gateClient reaches the gates of other hosts.
type gateClient struct {
	links *link.Pool
}

func newGateClient(localIP string) *gateClient {
	return &gateClient{links: link.New(link.Options{
		LocalAddr:      localIP,
		DialTimeout:    gateDialTimeout,
		TCPUserTimeout: gateUserTimeout,
	})}
}

// Forward sends an attempt to the gate of a target. It writes headers of req.
// onSend is called when the gate says that it sends the request to the target.
func (c *gateClient) Forward(ctx context.Context, t Target, f Forward, req *fasthttp.Request, onSend func()) Reply {
	req.Header.Set(headerForward, encodeHeader(f))
	left := time.Duration(f.TimeLeftMs) * time.Millisecond
	resp, err := c.links.Do(ctx, t.Gate, req, link.RequestOptions{
		Deadline:         time.Now().Add(left + replyGrace),
		FirstByteTimeout: left + replyGrace,
		IdleTimeout:      bodyIdle,
		OnInterim:        onSend,
	})
	if err != nil {
		return Reply{Refusal: refusalOfLink(err, t)}
	}
	body, err := readBody(resp)
	if err != nil {
		return Reply{Refusal: refusalOfLink(err, t)}
	}
	reply := Reply{Report: readReport(&resp.Header, time.Now())}
	if raw := resp.Header.Peek(headerRefusal); raw != nil {
		reply.Refusal = readRefusal(raw)
		return reply
	}
	resp.Header.Del(headerReport)
	reply.Answer = &Answer{Body: body}
	resp.Header.CopyTo(&reply.Answer.Header)
	return reply
}

func readBody(resp *link.Response) ([]byte, error) {
	defer resp.Body.Close()
	return io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
}

func readRefusal(raw []byte) *wire.Refusal {
	var w wireRefusal
	if json.Unmarshal(raw, &w) != nil {
		return wire.RefuseUnknown(wire.ReasonUnreachable, "the gate's refusal cannot be read")
	}
	return &wire.Refusal{Reason: w.Reason, Run: w.Run, Detail: w.Detail, RetryAfter: time.Duration(w.WaitMs) * time.Millisecond}
}

// refusalOfLink tells what an exchange that failed on the way to a gate means
// for the request.
func refusalOfLink(err error, t Target) *wire.Refusal {
	le := link.AsError(err)
	if le != nil && le.Stage == link.StageDial {
		return wire.Refuse(wire.ReasonUnreachable, "gate of %s: %v", t.Host, err)
	}
	return wire.RefuseUnknown(wire.ReasonUnreachable, "gate of %s: %v", t.Host, err)
}

// readForward reads the headers of an attempt and takes them off.
func readForward(h *fasthttp.RequestHeader) (Forward, error) {
	var f Forward
	err := json.Unmarshal(h.Peek(headerForward), &f)
	f.Attempt = karpithaz.ReadRequest(h).Attempt
	h.Del(headerForward)
	return f, err
}
