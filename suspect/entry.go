package suspect

import (
	"cmp"
	"slices"
	"time"
)

// maxDeaths bounds the deaths kept per fingerprint.
const maxDeaths = 4

// Death is the crash of one incarnation of a target.
type Death struct {
	// Target is the member.Target ID, Incarnation the incarnation that died.
	Target      string    `json:"t"`
	Incarnation uint64    `json:"i"`
	At          time.Time `json:"at"`
}

// sameDeath reports whether both records describe the same death.
func (d Death) sameDeath(o Death) bool {
	return d.Target == o.Target && d.Incarnation == o.Incarnation
}

func compareDeathsNewestFirst(a, b Death) int {
	if c := b.At.Compare(a.At); c != 0 {
		return c
	}
	if c := cmp.Compare(a.Target, b.Target); c != 0 {
		return c
	}
	return cmp.Compare(a.Incarnation, b.Incarnation)
}

// Entry holds the deaths and the latest success of one fingerprint.
type Entry struct {
	Fingerprint uint64  `json:"f"`
	Deaths      []Death `json:"d,omitempty"`
	// Cleared is the time of the latest success; zero for none.
	Cleared time.Time `json:"c,omitzero"`
}

// Join returns the join of two entries of the same fingerprint.
func Join(a, b Entry) Entry {
	out := Entry{Fingerprint: a.Fingerprint, Cleared: a.Cleared}
	if b.Cleared.After(out.Cleared) {
		out.Cleared = b.Cleared
	}
	all := slices.Concat(a.Deaths, b.Deaths)
	slices.SortFunc(all, compareDeathsNewestFirst)
	for _, d := range all {
		duplicate := slices.ContainsFunc(out.Deaths, d.sameDeath)
		if !duplicate && !d.At.Before(out.Cleared) && len(out.Deaths) < maxDeaths {
			out.Deaths = append(out.Deaths, d)
		}
	}
	return out
}

// Equal reports whether two entries are equal.
func (e Entry) Equal(o Entry) bool {
	equalDeath := func(x, y Death) bool { return x.sameDeath(y) && x.At.Equal(y.At) }
	return e.Fingerprint == o.Fingerprint && e.Cleared.Equal(o.Cleared) &&
		slices.EqualFunc(e.Deaths, o.Deaths, equalDeath)
}

// lastEventAt returns the time of the latest death or success.
func (e Entry) lastEventAt() time.Time {
	if len(e.Deaths) > 0 && e.Deaths[0].At.After(e.Cleared) {
		return e.Deaths[0].At
	}
	return e.Cleared
}
