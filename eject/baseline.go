package eject

import (
	"slices"
	"time"

	"github.com/gooseberryshed/gooseberryshed/member"
)

// Baseline summarizes the service's other targets, with which a target is
// compared.
type Baseline struct {
	// ErrorRate is the median of their shares of failed requests.
	ErrorRate float64
	// Latency is the median of their p90 latencies; 0 if unknown.
	Latency time.Duration
	// Targets is the number of targets included.
	Targets int
	// Degraded is the number of them with a score above zero, whether they are
	// confirmed suspects or not.
	Degraded int
}

// serviceWide reports whether most other targets are degraded as well, which
// means that the fault is not in one target.
func (b Baseline) serviceWide() bool { return 2*b.Degraded > b.Targets }

const permille = 1000.0

// NewBaseline summarizes the records of a service's ready targets except self.
func NewBaseline(records []member.Target, self string) Baseline {
	var errorRates, latencies []int
	troubled := 0
	for _, t := range records {
		if t.ID == self || t.State != member.TargetReady || t.LatencyMicros == 0 {
			continue
		}
		errorRates = append(errorRates, t.ErrorPermille)
		latencies = append(latencies, t.LatencyMicros)
		if t.Score > 0 {
			troubled++
		}
	}
	if len(errorRates) == 0 {
		return Baseline{}
	}
	return Baseline{
		ErrorRate: float64(lowerMedian(errorRates)) / permille,
		Latency:   time.Duration(lowerMedian(latencies)) * time.Microsecond,
		Targets:   len(errorRates),
		Degraded:  troubled,
	}
}

func lowerMedian(v []int) int {
	slices.Sort(v)
	return v[(len(v)-1)/2]
}
