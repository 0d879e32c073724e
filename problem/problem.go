// Package problem writes refusals to callers as RFC 9457 problem documents.
package problem

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/gooseberryshed/gooseberryshed/wire"
)

// ContentType is the media type of a problem document.
const ContentType = "application/problem+json"

// RunStateHeader is the response header that tells callers whether their request
// ran.
const RunStateHeader = "Gooseberryshed-Run"

// typePrefix is the prefix of the type URIs; the reason follows it.
const typePrefix = "urn:gooseberryshed:problem:"

// Document is the JSON body of a refusal.
type Document struct {
	Type   string        `json:"type"`
	Title  string        `json:"title"`
	Status int           `json:"status"`
	Detail string        `json:"detail"`
	Reason wire.Reason   `json:"reason"`
	Run    wire.RunState `json:"run"`
	Remedy string        `json:"remedy"`
}

// Write sets resp to the problem document for a refusal. The run state of a
// request that ran or is running, but has no response, is reported to the caller
// as "unknown".
func Write(resp *fasthttp.Response, r *wire.Refusal) {
	run := wire.Unknown
	if r.Run == wire.NotRun {
		run = wire.NotRun
	}
	doc := Document{
		Type:   typePrefix + string(r.Reason),
		Title:  string(r.Reason),
		Status: r.Reason.Status(),
		Detail: r.Detail,
		Reason: r.Reason,
		Run:    run,
		Remedy: r.Reason.Remedy(),
	}
	body, err := json.Marshal(doc)
	if err != nil {
		panic(err) // cannot happen: the document has only strings and an int
	}
	resp.Reset()
	resp.SetStatusCode(doc.Status)
	resp.Header.SetContentType(ContentType)
	resp.Header.Set(RunStateHeader, string(run))
	resp.Header.Set("Cache-Control", "no-store")
	if r.RetryAfter > 0 {
		resp.Header.Set("Retry-After", retryAfter(r.RetryAfter))
	}
	if doc.Status == fasthttp.StatusUnauthorized {
		resp.Header.Set("WWW-Authenticate", "Bearer")
	}
	resp.SetBodyRaw(body)
}

// retryAfter rounds up to whole seconds, as the Retry-After header requires.
func retryAfter(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}
