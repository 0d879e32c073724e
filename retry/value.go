package retry

import "github.com/gooseberryshed/gooseberryshed/admission"

// Value orders repeats by what they are worth, the most valuable last.
type Value int

const (
	// LowestValue is that of a repeat of which nothing is known.
	LowestValue Value = 0
	// HighestValue is that of every repeat where all requests have the same rank.
	HighestValue = Value(admission.LowestPriority+1) * valuesPerPriority

	// valuesPerPriority is the number of values of one priority: all combinations of
	// Rank.Once, Repeat.Nested and Repeat.Hedge.
	valuesPerPriority = 8
)

// Rank is the rank of a request.
type Rank struct {
	// Priority is the request's priority; 0 is the most urgent.
	Priority int `json:"p"`
	// Once is set if the request may run only once. Its caller cannot safely repeat it.
	Once bool `json:"o,omitempty"`
}

// Repeat describes a retry or hedge.
type Repeat struct {
	// Rank is that of the request or, for a nested call, that of the request it serves.
	Rank   Rank
	Nested bool
	// Hedge is set if another attempt is still running, which may succeed.
	Hedge bool
}

// Value returns the value of a repeat: by priority, then requests that may run only
// once, then calls made by running work, which is wasted if they fail, and hedges last.
func (r Repeat) Value() Value {
	p := min(max(r.Rank.Priority, 0), admission.LowestPriority)
	v := Value(admission.LowestPriority-p)*valuesPerPriority + 1
	if r.Rank.Once {
		v += 4
	}
	if r.Nested {
		v += 2
	}
	if !r.Hedge {
		v++
	}
	return v
}

// lowestReserveShare is the share of the fleet's reserve that is kept from repeats of
// the lowest value. The rest covers single failures of requests of any rank.
const lowestReserveShare = 0.75

// ReserveShare returns the share of the fleet's reserve that must remain after a repeat
// of this value, for more valuable ones.
func (v Value) ReserveShare() float64 {
	v = min(max(v, LowestValue), HighestValue)
	return lowestReserveShare * float64(HighestValue-v) / float64(HighestValue)
}

// Running counts the requests that a target is running, by rank.
type Running struct {
	counts [admission.LowestPriority + 1][2]int
}

func (r *Running) count(k Rank) *int {
	once := 0
	if k.Once {
		once = 1
	}
	return &r.counts[min(max(k.Priority, 0), admission.LowestPriority)][once]
}

// Add records the start of a request.
func (r *Running) Add(k Rank) { *r.count(k)++ }

// Remove records the end of a request.
func (r *Running) Remove(k Rank) { *r.count(k)-- }

// Highest returns the highest rank among the requests. It returns false if there are
// none.
func (r *Running) Highest() (k Rank, ok bool) {
	for p, c := range r.counts {
		switch {
		case c[1] > 0:
			return Rank{Priority: p, Once: true}, true
		case c[0] > 0:
			return Rank{Priority: p}, true
		}
	}
	return Rank{}, false
}
