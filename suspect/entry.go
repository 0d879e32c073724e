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
	// ClearedAt is the time of the latest success; zero for none.
	ClearedAt time.Time `json:"c,omitzero"`
}

// Join returns the join of two entries of the same fingerprint.
func Join(a, b Entry) Entry {
	out := Entry{Fingerprint: a.Fingerprint, ClearedAt: a.ClearedAt}
	if b.ClearedAt.After(out.ClearedAt) {
		out.ClearedAt = b.ClearedAt
	}
	all := slices.Concat(a.Deaths, b.Deaths)
	slices.SortFunc(all, compareDeathsNewestFirst)
	for _, d := range all {
		duplicate := slices.ContainsFunc(out.Deaths, d.sameDeath)
		if !duplicate && !d.At.Before(out.ClearedAt) && len(out.Deaths) < maxDeaths {
			out.Deaths = append(out.Deaths, d)
		}
	}
	return out
}

// Equal reports whether two entries are equal.
func (e Entry) Equal(o Entry) bool {
	equalDeath := func(x, y Death) bool { return x.sameDeath(y) && x.At.Equal(y.At) }
	return e.Fingerprint == o.Fingerprint && e.ClearedAt.Equal(o.ClearedAt) &&
		slices.EqualFunc(e.Deaths, o.Deaths, equalDeath)
}

// lastEventAt returns the time of the latest death or success.
func (e Entry) lastEventAt() time.Time {
	if len(e.Deaths) > 0 && e.Deaths[0].At.After(e.ClearedAt) {
		return e.Deaths[0].At
	}
	return e.ClearedAt
}
