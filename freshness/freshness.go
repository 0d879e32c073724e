package freshness

import (
	"cmp"
	"slices"
	"time"

	"github.com/gooseberryshed/gooseberryshed/member"
)

const (
	// FreshFor is how long a reading of the table counts.
	FreshFor = 4 * time.Second
	// SampleAfter is the age of knowledge at which members are sampled, early
	// enough for the answers to arrive before FreshFor.
	SampleAfter = 3 * time.Second
	// SampleFor is how long a sample counts.
	SampleFor = 3 * time.Second
	// SampleSize is how many members of each data centre are asked.
	SampleSize = 3
)

// Knowledge is how recent the table is known here. The zero value knows
// nothing.
type Knowledge struct {
	readAt time.Time
	known  bool
}

// Read takes a successful reading of the table that was begun at the given
// time.
func (k *Knowledge) Read(begun time.Time) { k.advance(begun) }

// Heard takes a peer's stated age from an exchange begun at the given time.
func (k *Knowledge) Heard(begun time.Time, age time.Duration) {
	if age < 0 {
		return
	}
	k.advance(begun.Add(-age))
}

func (k *Knowledge) advance(at time.Time) {
	if !k.known || at.After(k.readAt) {
		k.readAt = at
		k.known = true
	}
}

// Age is the age to state to peers; false when nothing is known.
func (k *Knowledge) Age(now time.Time) (time.Duration, bool) {
	return now.Sub(k.readAt), k.known
}

// Fresh reports whether the knowledge counts as fresh.
func (k *Knowledge) Fresh(now time.Time) bool {
	return k.known && now.Sub(k.readAt) <= FreshFor
}

// DataCentreSample is the outcome of asking members of one data centre.
type DataCentreSample struct {
	DataCentre string
	// Asked counts the members asked, Answered those that answered in time,
	// and Fresh those that claimed to be fresh. The daemon itself does not
	// count.
	Asked    int
	Answered int
	Fresh    int
}

// Sample is the outcome of one round.
type Sample struct {
	// Begun is when the round began.
	Begun time.Time
	// Own is the daemon's data centre. When it has no other member to ask, it
	// counts as reached as soon as another data centre is.
	Own         string
	DataCentres []DataCentreSample
}

// Mode is the decision.
type Mode int

const (
	// OutOfTouch refuses keyed routes.
	OutOfTouch Mode = iota
	// Fresh serves.
	Fresh
	// TableOut serves by what is known, because nobody can change it.
	TableOut
)

// String names the mode.
func (m Mode) String() string {
	return [...]string{"out-of-touch", "fresh", "table-out"}[m]
}

// Decision is what a daemon does now.
type Decision struct {
	Mode Mode
	// Sample asks for a round of sampling.
	Sample bool
}

// Serve reports whether keyed routes are served.
func (d Decision) Serve() bool { return d.Mode != OutOfTouch }

// Decide applies the rule. last is the latest finished sample, or nil.
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

// indicatesOutage applies rule 3.
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

// Choose returns the members to ask: SampleSize of each data centre, those
// thought unreachable included, as belief must not shrink the denominator.
// self is left out; a data centre whose only member is self has none to ask
// and is left out too.
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
