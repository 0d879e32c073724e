package limit

import "time"

// Owner identifies one run of one daemon.
type Owner struct {
	Host        string `json:"host"`
	Addr        string `json:"addr"`
	Incarnation uint64 `json:"inc"`
}

// Reservation is the fraction that a former owner may still be using.
type Reservation struct {
	Owner    Owner   `json:"owner"`
	Epoch    uint64  `json:"epoch"`
	Fraction float64 `json:"fraction"`
	// Revision is the configuration by which the former owner computes shares.
	Revision uint64 `json:"revision"`
	// Remaining is how long the reservation lasts, counted by whoever holds
	// the row from when it wrote or first saw this record.
	Remaining time.Duration `json:"remaining"`
}

// Record is the content of a row: who owns a shard in a data centre.
type Record struct {
	Owner Owner  `json:"owner"`
	Epoch uint64 `json:"epoch"`
	// Beat differs between all writes of an owner, so that a write whose reply
	// was lost can be told from an earlier one.
	Beat uint64 `json:"beat"`
	// Fraction of the share is what the owner holds within its lease.
	Fraction float64 `json:"fraction"`
	// Released reports that the owner gave the row up and grants nothing more.
	Released bool `json:"released,omitempty"`
	// Retired reports that the data centre was removed from the configuration
	// and that the row has no owner until it is configured again.
	Retired bool `json:"retired,omitempty"`
	// Heir names the host that has the levels of a released row and should
	// take it before others.
	Heir     string        `json:"heir,omitempty"`
	Standing []Reservation `json:"standing,omitempty"`
	// Revision is the configuration by which the owner computes its shares.
	Revision uint64 `json:"revision"`
}

// Policy sets the times and fractions of leases. The same policy must be in
// force in the whole fleet.
type Policy struct {
	Lease time.Duration
	// Standing is the fraction that an owner keeps past its lease.
	Standing float64
	// Term is how long it keeps it.
	Term time.Duration
}

// clockDriftMargin allows for clocks that run at slightly different speeds.
const clockDriftMargin = 1.01

// WatchTime is how long a taker must have seen a row unchanged.
func (p Policy) WatchTime() time.Duration {
	return time.Duration(float64(p.Lease) * clockDriftMargin)
}

// reservationTime is how long a taker must leave a former owner its fraction.
func (p Policy) reservationTime() time.Duration {
	return time.Duration(float64(p.Term) * clockDriftMargin)
}

// Evidence is what a taker knows of the present owner of a row.
type Evidence int

const (
	// EvidenceNone means that the owner may be within its lease.
	EvidenceNone Evidence = iota
	// EvidenceLapsed means that its lease has ended but it may be running.
	EvidenceLapsed
	// EvidenceGone means that it will grant nothing more.
	EvidenceGone
)

// maxReservations bounds the former owners recorded in a row.
const maxReservations = 8

// TakeOver returns the record with which a taker claims a row, and whether it
// may claim it. A taker whose configuration is older than the row's may not,
// because other owners already rely on the newer one.
func (r Record) TakeOver(self Owner, p Policy, status Evidence, revision uint64) (Record, bool) {
	next := Record{Owner: self, Epoch: r.Epoch + 1, Revision: revision}
	switch {
	case revision < r.Revision:
		return Record{}, false
	case r.Epoch == 0:
		next.Fraction = 1
		return next, true
	case status == EvidenceGone:
		next.Fraction = r.Fraction
		next.Standing = append(next.Standing, r.Standing...)
		return next, true
	case status != EvidenceLapsed || len(r.Standing) >= maxReservations:
		return Record{}, false
	}
	kept := r.Fraction * p.Standing
	next.Fraction = r.Fraction - kept
	next.Standing = append(next.Standing, r.Standing...)
	next.Standing = append(next.Standing, Reservation{
		Owner:     r.Owner,
		Epoch:     r.Epoch,
		Fraction:  kept,
		Revision:  r.Revision,
		Remaining: p.reservationTime(),
	})
	return next, true
}

// Renew returns the record with which the owner renews its lease after the
// given time since the record was written. Reservations that have ended, or
// whose holder gone reports as gone, return their fraction to the owner.
func (r Record) Renew(elapsed time.Duration, stopped func(Reservation) bool, revision uint64) Record {
	next := r
	next.Revision = revision
	next.Standing = nil
	for _, s := range r.Standing {
		s.Remaining -= elapsed
		if s.Remaining <= 0 || stopped(s) {
			next.Fraction += s.Fraction
			continue
		}
		next.Standing = append(next.Standing, s)
	}
	if len(next.Standing) == 0 {
		next.Fraction = 1
	}
	return next
}

// Release returns the record with which the owner gives the row up. heir may be
// empty.
func (r Record) Release(heir string) Record {
	next := r
	next.Released = true
	next.Heir = heir
	return next
}

// Retire returns the record with which the owner gives up the row of a removed
// data centre. It may not while former owners hold reservations.
func (r Record) Retire(revision uint64) (Record, bool) {
	if len(r.Standing) > 0 {
		return Record{}, false
	}
	next := r.Release("")
	next.Retired = true
	next.Revision = revision
	return next, true
}
