package suspect

import (
	"cmp"
	"slices"
	"time"
)

// maxDeaths bounds the deaths kept per fingerprint, cleared ones included.
const maxDeaths = 4

// Death is the crash of one incarnation of a target while a request was in flight.
type Death struct {
	// Target is the ID of the target, Incarnation the incarnation that died.
	Target      string    `json:"t"`
	Incarnation uint64    `json:"i"`
	At          time.Time `json:"at"`
	// Cleared is set if the request has been served since, by a target that lives on.
	Cleared bool `json:"x,omitempty"`
}

// sameDeath reports whether both records describe the same death.
func (d Death) sameDeath(o Death) bool {
	return d.Target == o.Target && d.Incarnation == o.Incarnation
}

// join returns the join of two records of the same death: the earlier time, and cleared if
// either is.
func (d Death) join(o Death) Death {
	if o.At.Before(d.At) {
		d.At = o.At
	}
	d.Cleared = d.Cleared || o.Cleared
	return d
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

// Entry holds the deaths of one fingerprint.
type Entry struct {
	Fingerprint uint64  `json:"f"`
	Deaths      []Death `json:"d,omitempty"`
}

// Join returns the join of two entries of the same fingerprint.
func Join(a, b Entry) Entry {
	out := Entry{Fingerprint: a.Fingerprint}
	for _, d := range slices.Concat(a.Deaths, b.Deaths) {
		if i := slices.IndexFunc(out.Deaths, d.sameDeath); i >= 0 {
			out.Deaths[i] = out.Deaths[i].join(d)
		} else {
			out.Deaths = append(out.Deaths, d)
		}
	}
	slices.SortFunc(out.Deaths, compareDeathsNewestFirst)
	out.Deaths = out.Deaths[:min(len(out.Deaths), maxDeaths)]
	return out
}

// Equal reports whether two entries are equal.
func (e Entry) Equal(o Entry) bool {
	equalDeath := func(x, y Death) bool { return x.sameDeath(y) && x.At.Equal(y.At) && x.Cleared == y.Cleared }
	return e.Fingerprint == o.Fingerprint && slices.EqualFunc(e.Deaths, o.Deaths, equalDeath)
}

// uncleared returns the number of deaths that count against the fingerprint, and the time of
// the latest of them.
func (e Entry) uncleared() (n int, last time.Time) {
	for _, d := range e.Deaths {
		if d.Cleared {
			continue
		}
		if n++; n == 1 {
			last = d.At
		}
	}
	return n, last
}

// lastDeathAt returns the time of the latest death, cleared or not.
func (e Entry) lastDeathAt() time.Time {
	if len(e.Deaths) == 0 {
		return time.Time{}
	}
	return e.Deaths[0].At
}
