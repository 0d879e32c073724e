package target

import "time"

// Truncation is the way in which a response is truncated.
type Truncation string

const (
	// TruncateLength truncates a body sent with Content-Length.
	TruncateLength Truncation = "length"
	// TruncateChunked ends a chunked body before its last chunk.
	TruncateChunked Truncation = "chunked"
)

// Faults are the faults that a target injects. The zero value injects none.
type Faults struct {
	// ErrorShare is the share of requests that get status 500, evenly spread.
	ErrorShare float64 `json:"error_share"`
	// LatencyMS is added to each request, in milliseconds.
	LatencyMS int `json:"latency_ms"`
	// LatencyFactor multiplies the work time if it is above 0.
	LatencyFactor float64 `json:"latency_factor"`
	// ConcurrencyLimit makes the target cold: it sheds, and records, requests
	// beyond this number of concurrent ones. 0 means no limit.
	ConcurrencyLimit int `json:"bears"`
	// FlapMS makes the target alternate between failing and working; it is the
	// length of each phase in milliseconds.
	FlapMS int `json:"flap_ms"`
	// FakeHealth makes health checks succeed regardless of the other faults.
	FakeHealth bool `json:"lie_health"`
	// FakeLoad makes the load report always show no load.
	FakeLoad bool `json:"lie_load"`
	// Truncate truncates responses; empty means off.
	Truncate Truncation `json:"truncate"`
	// ExtraResponse sends an extra response after each response, so that the later
	// responses on the connection are off by one.
	ExtraResponse bool `json:"stray"`
	// SwapResponses sends each request the response to the previous request, with
	// the attempt id of the latter in the header.
	SwapResponses bool `json:"swap"`
	// IgnoreOpenConns ignores requests on connections opened before the fault was
	// set, as if the packets had been lost.
	IgnoreOpenConns bool `json:"silent"`
	// Shed rejects all requests with 503 before doing any work.
	Shed bool `json:"shed"`
	// Leaving announces that the target is leaving.
	Leaving bool `json:"leaving"`
	// StopAnnouncing stops the announcements.
	StopAnnouncing bool `json:"mute"`
}

// plan is how the target processes one request.
type plan struct {
	fail bool
	work time.Duration
}

// decide returns the plan for request number seq. age is the time since the
// faults were set, work the work time without faults.
func (f Faults) decide(seq int, age, work time.Duration) plan {
	if f.LatencyFactor > 0 {
		work = time.Duration(float64(work) * f.LatencyFactor)
	}
	work += time.Duration(f.LatencyMS) * time.Millisecond
	return plan{fail: f.flapFailing(age) || f.failsRequest(seq), work: work}
}

func (f Faults) failsRequest(seq int) bool {
	return int(float64(seq+1)*f.ErrorShare) > int(float64(seq)*f.ErrorShare)
}

func (f Faults) flapFailing(age time.Duration) bool {
	if f.FlapMS <= 0 {
		return false
	}
	period := time.Duration(f.FlapMS) * time.Millisecond
	return age/period%2 == 0
}

// healthy returns the result of a health check.
func (f Faults) healthy(age time.Duration) bool {
	return f.FakeHealth || !f.flapFailing(age) && f.ErrorShare < 0.5
}
