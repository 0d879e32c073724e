package target

import "time"

// Truncation says where an answer is cut short.
type Truncation string

const (
	// TruncateLength cuts a body with Content-Length.
	TruncateLength Truncation = "length"
	// TruncateChunked cuts a chunked body before its last chunk.
	TruncateChunked Truncation = "chunked"
)

// Faults is the misbehaviour of a target. The zero value behaves well.
type Faults struct {
	// ErrorShare is the share of requests answered 500, evenly spread.
	ErrorShare float64 `json:"error_share"`
	// LatencyMS is added to each request, in milliseconds.
	LatencyMS int `json:"latency_ms"`
	// LatencyFactor multiplies the work time when it is above 0.
	LatencyFactor float64 `json:"latency_factor"`
	// Bears makes the target cold: more requests than this at once are shed
	// and recorded. 0 bears all.
	Bears int `json:"bears"`
	// FlapMS alternates between good and failing service, in milliseconds.
	FlapMS int `json:"flap_ms"`
	// LieHealth answers health checks well whatever the service is like.
	LieHealth bool `json:"lie_health"`
	// LieLoad reports no load at all times.
	LieLoad bool `json:"lie_load"`
	// Truncate cuts answers short.
	Truncate Truncation `json:"truncate"`
	// Stray puts a second answer behind each answer on a connection, so that
	// later answers on it are one too late.
	Stray bool `json:"stray"`
	// Swap gives each request the answer of the one before it, with that
	// one's attempt id in its header.
	Swap bool `json:"swap"`
	// Silent takes requests on connections opened before the fault and never
	// answers, as though they had been lost on the way.
	Silent bool `json:"silent"`
	// Shed answers 503 without doing any work.
	Shed bool `json:"shed"`
	// Leaving announces departure.
	Leaving bool `json:"leaving"`
	// Mute stops the announcements.
	Mute bool `json:"mute"`
}

// plan is what the target does with one request.
type plan struct {
	fail bool
	work time.Duration
}

// decide is pure: seq numbers the request, age is the time since the faults
// were set.
func (f Faults) decide(seq int, age, work time.Duration) plan {
	if f.LatencyFactor > 0 {
		work = time.Duration(float64(work) * f.LatencyFactor)
	}
	work += time.Duration(f.LatencyMS) * time.Millisecond
	return plan{fail: f.failing(age) || f.failsNow(seq), work: work}
}

func (f Faults) failsNow(seq int) bool {
	return int(float64(seq+1)*f.ErrorShare) > int(float64(seq)*f.ErrorShare)
}

func (f Faults) failing(age time.Duration) bool {
	if f.FlapMS <= 0 {
		return false
	}
	period := time.Duration(f.FlapMS) * time.Millisecond
	return age/period%2 == 0
}

// healthy is what an honest health check says.
func (f Faults) healthy(age time.Duration) bool {
	return f.LieHealth || !f.failing(age) && f.ErrorShare < 0.5
}
