package limit

import "time"

// Lease is an owner's own view of its lease of one row.
type Lease struct {
	Record Record
	// RenewedAt is the start of the last successful renewal.
	RenewedAt time.Time
	// Ended reports that the owner has stepped down permanently.
	Ended bool
}

// Fraction returns the part of a share that the owner may use now. shareOfBurst
// is the share of the burst in tokens.
func (l *Lease) Fraction(now time.Time, p Policy, shareOfBurst float64) float64 {
	if !l.CanGrant(now, p) {
		return 0
	}
	if !p.Divisible(shareOfBurst) {
		return l.undividedFraction()
	}
	if l.Expired(now, p) {
		return l.Record.Fraction * p.GraceFraction
	}
	return l.Record.Fraction
}

// undividedFraction returns the fraction of a share that cannot be divided: all
// of it, or nothing while a former owner may be using it.
func (l *Lease) undividedFraction() float64 {
	if len(l.Record.Reservations) > 0 {
		return 0
	}
	return 1
}

// CanGrant reports whether the owner may grant any tokens.
func (l *Lease) CanGrant(now time.Time, p Policy) bool {
	if l.Ended || l.Record.Released {
		return false
	}
	return now.Sub(l.RenewedAt) < p.LeaseDuration+p.GracePeriod
}

// Expired reports whether the lease has expired.
func (l *Lease) Expired(now time.Time, p Policy) bool {
	return l.Ended || now.Sub(l.RenewedAt) >= p.LeaseDuration
}

// VersionWatch tracks how long a row that another daemon owns has kept its
// version.
type VersionWatch struct {
	version uint64
	since   time.Time
}

// Observe records that a read which returned at now found the given version.
func (w *VersionWatch) Observe(version uint64, now time.Time) {
	if w.since.IsZero() || w.version != version {
		w.version = version
		w.since = now
	}
}

// UnchangedFor returns how long the row has been seen unchanged by a read that
// started at the given time.
func (w *VersionWatch) UnchangedFor(start time.Time) time.Duration {
	if w.since.IsZero() {
		return 0
	}
	return start.Sub(w.since)
}
