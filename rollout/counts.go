package rollout

import (
	"maps"
	"math"
	"slices"
	"time"
)

// histogramBase is the ratio of the bounds of a latency bucket. It is small compared
// with slowFactor.
const histogramBase = 1.25

// maxBucket is the last bucket; it holds all answers above about a minute.
const maxBucket = 50

// abandonedBucket holds requests that were given up before their answer. Ingresses repeat
// slow reads elsewhere and give up the slower attempt, so that the latencies of answers
// alone do not show a slow version.
const abandonedBucket = maxBucket + 1

// Histogram holds the number of latencies by bucket. Empty buckets are absent.
type Histogram map[int]int

// bucketOf returns the bucket of a latency.
func bucketOf(took time.Duration) int {
	ms := float64(took) / float64(time.Millisecond)
	if ms <= 1 {
		return 0
	}
	return min(int(math.Log(ms)/math.Log(histogramBase)), maxBucket)
}

func (h Histogram) total() int {
	n := 0
	for _, c := range h {
		n += c
	}
	return n
}

// above returns the number of latencies in buckets above a bucket.
func (h Histogram) above(bucket int) int {
	n := 0
	for b, c := range h {
		if b > bucket {
			n += c
		}
	}
	return n
}

// median returns the bucket of the median.
func (h Histogram) median() int {
	buckets := slices.Sorted(maps.Keys(h))
	left := (h.total() + 1) / 2
	for _, b := range buckets {
		if left -= h[b]; left <= 0 {
			return b
		}
	}
	return 0
}

// Tally counts the answers of one version on one route.
type Tally struct {
	// Answers is the number of requests with a result, and Failed the number of those
	// that failed.
	Answers int `json:"a,omitempty"`
	Failed  int `json:"f,omitempty"`
	// Latency holds the latencies of answers of targets that were not cold.
	Latency Histogram `json:"h,omitempty"`
}

// add adds the counts of other to t.
func (t *Tally) add(other Tally) {
	t.Answers += other.Answers
	t.Failed += other.Failed
	for b, n := range other.Latency {
		if t.Latency == nil {
			t.Latency = Histogram{}
		}
		t.Latency[b] += n
	}
}

// Tallies holds tallies by route.
type Tallies map[string]Tally

func (ts Tallies) add(route string, t Tally) {
	sum := ts[route]
	sum.add(t)
	ts[route] = sum
}

// maxRoutes bounds the routes of a state, so that its row stays below 64 KiB. All
// further routes are counted together under the name otherRoutes.
const maxRoutes = 32

const otherRoutes = "*"

// fold returns the name under which a route is counted in ts.
func (ts Tallies) fold(route string) string {
	if _, known := ts[route]; known || len(ts) < maxRoutes {
		return route
	}
	return otherRoutes
}

// clone returns a deep copy.
func (ts Tallies) clone() Tallies {
	out := make(Tallies, len(ts))
	for route, t := range ts {
		out.add(route, t)
	}
	return out
}

// quantile returns the upper bound of a quantile of the latencies.
func (h Histogram) quantile(q float64) time.Duration {
	buckets := slices.Sorted(maps.Keys(h))
	left := int(math.Ceil(q * float64(h.total())))
	for _, b := range buckets {
		if left -= h[b]; left <= 0 {
			return time.Duration(math.Pow(histogramBase, float64(b+1)) * float64(time.Millisecond))
		}
	}
	return 0
}
