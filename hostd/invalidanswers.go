package hostd

import (
	"github.com/gooseberryshed/gooseberryshed/decisions"
	"github.com/gooseberryshed/gooseberryshed/metrics"
	"github.com/gooseberryshed/gooseberryshed/respsyntax"
)

// Senders of answers, in counters and log lines.
const (
	fromTarget = "target"
	fromHost   = "host"
	fromStore  = "store"
)

// recordInvalid returns a function that counts and logs answers that are invalid HTTP/1.1.
func recordInvalid(from string, l *decisions.Log, m *metrics.Registry) func(addr string, v *respsyntax.Violation) {
	return func(addr string, v *respsyntax.Violation) {
		m.Add("answers_invalid_"+from, 1)
		m.Add("answers_invalid_"+from+"_"+string(v.Rule), 1)
		l.Decide("answer-invalid", "from", from, "address", addr, "rule", v.Rule, "source", v.Rule.Source(), "bytes", v.Quoted(), "offset", v.Offset)
	}
}
