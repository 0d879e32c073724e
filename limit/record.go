package limit

import "time"

// Owner identifies one incarnation of a daemon.
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
	// Revision is the configuration that the former owner uses to compute
	// shares.
	Revision uint64 `json:"revision"`
	// Remaining is how long the reservation lasts. The current owner of the row
	// counts it from when it wrote or first read this record.
	Remaining time.Duration `json:"remaining"`
}

// Record is the content of a row: the ownership of a shard in a data centre.
type Record struct {
	Owner Owner  `json:"owner"`
	Epoch uint64 `json:"epoch"`
	// WriteID differs between all writes of an owner, so that a write with an
	// uncertain outcome can be told from an earlier one.
	WriteID uint64 `json:"beat"`
	// Fraction is the part of the share that the owner may use within its
	// lease.
	Fraction float64 `json:"fraction"`
	// Released reports that the owner has released the row and grants nothing
	// more.
	Released bool `json:"released,omitempty"`
	// Retired reports that the data centre was removed from the configuration.
	// The row has no owner until it is configured again.
	Retired bool `json:"retired,omitempty"`
	// Successor is the host that has received the bucket levels of a released
	// row and should acquire it before others do.
	Successor    string        `json:"heir,omitempty"`
	Reservations []Reservation `json:"standing,omitempty"`
	// Revision is the configuration that the owner uses to compute its shares.
	Revision uint64 `json:"revision"`
}

// Policy defines the durations and fractions of leases. All daemons of the
// fleet must use the same policy.
type Policy struct {
	LeaseDuration time.Duration
	// GraceFraction is the fraction that an owner may use after its lease has
	// expired.
	GraceFraction float64
	// GracePeriod is how long an owner may use GraceFraction.
	GracePeriod time.Duration
}

// clockDriftMargin allows for clocks that run at slightly different rates.
const clockDriftMargin = 1.01

// TakeoverDelay is how long a candidate must have seen a row unchanged before
// it may assume that the lease has expired.
func (p Policy) TakeoverDelay() time.Duration {
	return time.Duration(float64(p.LeaseDuration) * clockDriftMargin)
}

// reservationTime is how long the fraction of a former owner stays reserved.
func (p Policy) reservationTime() time.Duration {
	return time.Duration(float64(p.GracePeriod) * clockDriftMargin)
}

// OwnerStatus is what a candidate knows of the current owner of a row.
type OwnerStatus int

const (
	// OwnerMayBeActive means that the owner may be within its lease.
	OwnerMayBeActive OwnerStatus = iota
	// OwnerLeaseExpired means that the lease has expired, but the owner may
	// still be running.
	OwnerLeaseExpired
	// OwnerStopped means that the owner will grant nothing more.
	OwnerStopped
)

// maxReservations bounds the reservations recorded in a row.
const maxReservations = 8

// TakeOver returns the record with which a candidate acquires a row, and
// whether it may do so. A candidate whose configuration is older than the row's
// may not, because other owners already rely on the newer one.
func (r Record) TakeOver(self Owner, p Policy, status OwnerStatus, revision uint64) (Record, bool) {
	next := Record{Owner: self, Epoch: r.Epoch + 1, Revision: revision}
	switch {
	case revision < r.Revision:
		return Record{}, false
	case r.Epoch == 0:
		next.Fraction = 1
		return next, true
	case status == OwnerStopped:
		next.Fraction = r.Fraction
		next.Reservations = append(next.Reservations, r.Reservations...)
		return next, true
	case status != OwnerLeaseExpired || len(r.Reservations) >= maxReservations:
		return Record{}, false
	}
	reserved := r.Fraction * p.GraceFraction
	next.Fraction = r.Fraction - reserved
	next.Reservations = append(next.Reservations, r.Reservations...)
	next.Reservations = append(next.Reservations, Reservation{
		Owner:     r.Owner,
		Epoch:     r.Epoch,
		Fraction:  reserved,
		Revision:  r.Revision,
		Remaining: p.reservationTime(),
	})
	return next, true
}

// Renew returns the record with which the owner renews its lease. elapsed is
// the time since the record was written. The fraction of a reservation returns
// to the owner when the reservation has ended or stopped reports that its
// holder has stopped granting.
func (r Record) Renew(elapsed time.Duration, stopped func(Reservation) bool, revision uint64) Record {
	next := r
	next.Revision = revision
	next.Reservations = nil
	for _, s := range r.Reservations {
		s.Remaining -= elapsed
		if s.Remaining <= 0 || stopped(s) {
			next.Fraction += s.Fraction
			continue
		}
		next.Reservations = append(next.Reservations, s)
	}
	if len(next.Reservations) == 0 {
		next.Fraction = 1
	}
	return next
}

// Release returns the record with which the owner releases the row. successor
// may be empty.
func (r Record) Release(successor string) Record {
	next := r
	next.Released = true
	next.Successor = successor
	return next
}

// Retire returns the record with which the owner releases the row of a removed
// data centre, or false while former owners hold reservations.
func (r Record) Retire(revision uint64) (Record, bool) {
	if len(r.Reservations) > 0 {
		return Record{}, false
	}
	next := r.Release("")
	next.Retired = true
	next.Revision = revision
	return next, true
}
