package eject

import (
	"slices"
	"time"

	"github.com/gooseberryshed/gooseberryshed/member"
)

// Baseline is what the service's other targets show.
type Baseline struct {
	// ErrorRate is the median share of failed requests.
	ErrorRate float64
	// Latency is the median of their p90 latencies; 0 when unknown.
	Latency time.Duration
	// Targets is how many targets it rests on.
	Targets int
	// Troubled is how many of them gather evidence against themselves, be it
	// confirmed or not.
	Troubled int
}

// serviceWide reports whether most other targets are in trouble as well.
func (b Baseline) serviceWide() bool { return 2*b.Troubled > b.Targets }

const permille = 1000.0

// NewBaseline summarises the records of a service's ready targets but self.
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
		Troubled:  troubled,
	}
}

func lowerMedian(v []int) int {
	slices.Sort(v)
	return v[(len(v)-1)/2]
}
