package freshness

import (
	"cmp"
	"slices"
	"time"

	"github.com/gooseberryshed/gooseberryshed/member"
)

const (
	// MaxAge is the age up to which a read of the table counts as fresh.
	MaxAge = 4 * time.Second
	// SampleAge is the age of the last read at which members are sampled. It
	// leaves time for the responses to arrive before MaxAge.
	SampleAge = 3 * time.Second
	// SampleTTL is how long a sample is valid, counted from its start.
	SampleTTL = 3 * time.Second
	// SampleSize is the number of members queried in each data centre.
	SampleSize = 3
)

// Tracker holds the time of the latest known read of the table, by this daemon or
// a peer. The zero value means that no read is known.
type Tracker struct {
	readAt time.Time
	known  bool
}

// ObserveRead records a successful read of the table that began at start.
func (t *Tracker) ObserveRead(start time.Time) { t.advance(start) }

// ObservePeer records the age of the last read reported by a peer in an exchange
// that began at start.
func (t *Tracker) ObservePeer(start time.Time, age time.Duration) {
	if age < 0 {
		return
	}
	t.advance(start.Add(-age))
}

func (t *Tracker) advance(at time.Time) {
	if !t.known || at.After(t.readAt) {
		t.readAt = at
		t.known = true
	}
}

// Age returns the age of the latest read, which is also reported to peers. It
// returns false if no read is known.
func (t *Tracker) Age(now time.Time) (time.Duration, bool) {
	return now.Sub(t.readAt), t.known
}

// Fresh reports whether the latest read is within MaxAge.
func (t *Tracker) Fresh(now time.Time) bool {
	return t.known && now.Sub(t.readAt) <= MaxAge
}

// DataCentreSample is the result of querying members of one data centre.
type DataCentreSample struct {
	DataCentre string
	// Queried counts the members queried, Responded those that responded in time
	// and Fresh those that reported a fresh read. The daemon itself is not
	// counted.
	Queried   int
	Responded int
	Fresh     int
}

// Sample is the result of one round of queries.
type Sample struct {
	Start time.Time
	// LocalDataCentre is the daemon's data centre. If it has no other member to
	// query, it counts as reached once another data centre is reached.
	LocalDataCentre string
	DataCentres     []DataCentreSample
}

// Mode is the outcome of a decision.
type Mode int

const (
	// Stale rejects requests for routes that require a key.
	Stale Mode = iota
	// Fresh serves all routes.
	Fresh
	// TableOutage serves all routes with the last known state, which no member
	// can change while the table is unavailable.
	TableOutage
)

// String implements fmt.Stringer.
func (m Mode) String() string {
	return [...]string{"out-of-touch", "fresh", "table-out"}[m]
}

// Decision is the result of applying the rules.
type Decision struct {
	Mode Mode
	// SampleNeeded is set if a new round of queries is needed.
	SampleNeeded bool
}

// Serve reports whether routes that require a key are served.
func (d Decision) Serve() bool { return d.Mode != Stale }

// Decide applies the rules. sample is the latest completed sample, or nil.
func Decide(now time.Time, tracker Tracker, sample *Sample) Decision {
	if tracker.Fresh(now) {
		age, _ := tracker.Age(now)
		return Decision{Mode: Fresh, SampleNeeded: age >= SampleAge}
	}
	d := Decision{Mode: Stale, SampleNeeded: true}
	if sample == nil || now.Sub(sample.Start) > SampleTTL {
		return d
	}
	if sample.indicatesOutage() {
		d.Mode = TableOutage
	}
	return d
}

// indicatesOutage implements rule 3.
func (s *Sample) indicatesOutage() bool {
	reached, total := 0, len(s.DataCentres)
	soleMember := s.LocalDataCentre != ""
	for _, dc := range s.DataCentres {
		if dc.DataCentre == s.LocalDataCentre {
			soleMember = false
		}
		if dc.Fresh > 0 {
			return false
		}
		if 2*dc.Responded > dc.Queried {
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

// SelectMembers selects the members to query: up to SampleSize in each data
// centre. Members considered unreachable are included, because excluding them
// would shrink the denominator of the majority. self is excluded, and so is a
// data centre that has no other member.
func SelectMembers(self string, members []member.Daemon, rng Rand) []member.Daemon {
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
