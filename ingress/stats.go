package ingress

import "sync/atomic"

// Stats holds the counters of an Ingress since its start. InFlight is a gauge.
type Stats struct {
	Requests  atomic.Int64
	Served    atomic.Int64
	Refused   atomic.Int64
	Unknown   atomic.Int64
	Limited   atomic.Int64
	Malformed atomic.Int64
	Truncated atomic.Int64
	Attempts  atomic.Int64
	Retries   atomic.Int64
	Settles   atomic.Int64
	Replays   atomic.Int64
	InFlight  atomic.Int64
}

// Counts is a snapshot of Stats.
type Counts struct {
	Requests  int64 `json:"requests"`
	Served    int64 `json:"served"`
	Refused   int64 `json:"refused"`
	Unknown   int64 `json:"unknown"`
	Limited   int64 `json:"limited"`
	Malformed int64 `json:"malformed"`
	Truncated int64 `json:"truncated"`
	Attempts  int64 `json:"attempts"`
	Retries   int64 `json:"retries"`
	Settles   int64 `json:"settles"`
	Replays   int64 `json:"replays"`
	InFlight  int64 `json:"in_flight"`
}

// Counts returns a snapshot of the counters.
func (s *Stats) Counts() Counts {
	return Counts{
		Requests:  s.Requests.Load(),
		Served:    s.Served.Load(),
		Refused:   s.Refused.Load(),
		Unknown:   s.Unknown.Load(),
		Limited:   s.Limited.Load(),
		Malformed: s.Malformed.Load(),
		Truncated: s.Truncated.Load(),
		Attempts:  s.Attempts.Load(),
		Retries:   s.Retries.Load(),
		Settles:   s.Settles.Load(),
		Replays:   s.Replays.Load(),
		InFlight:  s.InFlight.Load(),
	}
}
