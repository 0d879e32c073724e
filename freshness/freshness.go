package freshness

import (
	"cmp"
	"slices"
	"time"

	"github.com/gooseberryshed/gooseberryshed/member"
)

const (
	// FreshFor is the age up to which a read of the table counts as fresh.
	FreshFor = 4 * time.Second
	// SampleAfter is the age of the last read at which members are sampled. It
	// leaves time for the responses to arrive before FreshFor.
	SampleAfter = 3 * time.Second
	// SampleFor is how long a sample is valid, counted from its start.
	SampleFor = 3 * time.Second
	// SampleSize is the number of members queried in each data centre.
	SampleSize = 3
)

// Knowledge tracks the time of the latest known read of the table, by this daemon
// or a peer. The zero value means that no read is known.
type Knowledge struct {
	readAt time.Time
	known  bool
}

// Read records a successful read of the table that began at start.
func (k *Knowledge) Read(start time.Time) { k.advance(start) }

// Heard records the age of the last read reported by a peer in an exchange that
// began at start.
func (k *Knowledge) Heard(start time.Time, age time.Duration) {
	if age < 0 {
		return
	}
	k.advance(start.Add(-age))
}

func (k *Knowledge) advance(at time.Time) {
	if !k.known || at.After(k.readAt) {
		k.readAt = at
		k.known = true
	}
}

// Age returns the age of the latest read, which is also reported to peers. It
// returns false if no read is known.
func (k *Knowledge) Age(now time.Time) (time.Duration, bool) {
	return now.Sub(k.readAt), k.known
}

// Fresh reports whether the latest read is within FreshFor.
func (k *Knowledge) Fresh(now time.Time) bool {
	return k.known && now.Sub(k.readAt) <= FreshFor
}

// DataCentreSample is the result of querying members of one data centre.
type DataCentreSample struct {
	DataCentre string
	// Asked counts the members queried, Answered those that responded in time
	// and Fresh those that reported a fresh read. The daemon itself is not
	// counted.
	Asked    int
	Answered int
	Fresh    int
}

// Sample is the result of one round of queries.
type Sample struct {
	// Begun is the start of the round.
	Begun time.Time
	// Own is the daemon's data centre. If it has no other member to query, it
	// counts as reached once another data centre is reached.
	Own         string
	DataCentres []DataCentreSample
}

// Mode is the outcome of a decision.
type Mode int

const (
	// OutOfTouch rejects requests for routes that require a key.
	OutOfTouch Mode = iota
	// Fresh serves all routes.
	Fresh
	// TableOut serves all routes with the last known state, which no member can
	// change while the table is unavailable.
	TableOut
)

// String implements fmt.Stringer.
func (m Mode) String() string {
	return [...]string{"out-of-touch", "fresh", "table-out"}[m]
}

// Decision is the result of applying the rules.
type Decision struct {
	Mode Mode
	// Sample is set if a new round of queries is needed.
	Sample bool
}

// Serve reports whether routes that require a key are served.
func (d Decision) Serve() bool { return d.Mode != OutOfTouch }

// Decide applies the rules. sample is the latest completed sample, or nil.
func Decide(now time.Time, k Knowledge, sample *Sample) Decision {
	if k.Fresh(now) {
		age, _ := k.Age(now)
		return Decision{Mode: Fresh, Sample: age >= SampleAfter}
	}
	d := Decision{Mode: OutOfTouch, Sample: true}
	if sample == nil || now.Sub(sample.Begun) > SampleFor {
		return d
	}
	if sample.indicatesOutage() {
		d.Mode = TableOut
	}
	return d
}

// indicatesOutage implements rule 3.
func (s *Sample) indicatesOutage() bool {
	reached, total := 0, len(s.DataCentres)
	soleMember := s.Own != ""
	for _, dc := range s.DataCentres {
		if dc.DataCentre == s.Own {
			soleMember = false
		}
		if dc.Fresh > 0 {
			return false
		}
		if 2*dc.Answered > dc.Asked {
			reached++
		}
	}
	if soleMember && reached > 0 {
		reached++
	}
	if soleMember {
		total++
	}
	return 2*reached > total
}

// Rand is the source of randomness. *rand.Rand of math/rand/v2 implements it.
type Rand interface {
	IntN(n int) int
}

// Choose selects the members to query: up to SampleSize in each data centre.
// Members considered unreachable are included, because excluding them would
// shrink the denominator of the majority. self is excluded, and so is a data
// centre that has no other member.
func Choose(self string, members []member.Daemon, rng Rand) []member.Daemon {
	byDataCentre := map[string][]member.Daemon{}
	for _, d := range members {
		if d.Host != self && d.State != member.StateLeft {
			byDataCentre[d.DataCentre] = append(byDataCentre[d.DataCentre], d)
		}
	}
	names := make([]string, 0, len(byDataCentre))
	for name := range byDataCentre {
		names = append(names, name)
	}
	slices.Sort(names)
	var out []member.Daemon
	for _, name := range names {
		out = append(out, pickRandom(byDataCentre[name], rng)...)
	}
	return out
}

func pickRandom(list []member.Daemon, rng Rand) []member.Daemon {
	slices.SortFunc(list, func(a, b member.Daemon) int { return cmp.Compare(a.Host, b.Host) })
	n := min(SampleSize, len(list))
	for i := range n {
		j := i + rng.IntN(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	return list[:n]
}
