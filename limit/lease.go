package limit

import "time"

// Lease is an owner's own view of its lease of one row.
type Session struct {
	Record Record
	// RenewedAt is the start of the last successful renewal.
	RenewedAt time.Time
	// Ended reports that the owner has stepped down permanently.
	Ended bool
}

// Fraction returns the part of a share that the owner may use now. shareOfBurst
// is the share of the burst in tokens.
func (s *Session) Fraction(now time.Time, p Policy, shareOfBurst float64) float64 {
	if !s.Grants(now, p) {
		return 0
	}
	if !p.Divisible(shareOfBurst) {
		return s.undividedFraction()
	}
	if s.Lapsed(now, p) {
		return s.Record.Fraction * p.Standing
	}
	return s.Record.Fraction
}

// undividedFraction returns the fraction of a share that cannot be divided: all
// of it, or nothing while a former owner may be using it.
func (s *Session) undividedFraction() float64 {
	if len(s.Record.Standing) > 0 {
		return 0
	}
	return 1
}

// CanGrant reports whether the owner may grant any tokens.
func (s *Session) Grants(now time.Time, p Policy) bool {
	if s.Ended || s.Record.Released {
		return false
	}
	return now.Sub(s.RenewedAt) < p.Lease+p.Term
}

// Expired reports whether the lease has expired.
func (s *Session) Lapsed(now time.Time, p Policy) bool {
	return s.Ended || now.Sub(s.RenewedAt) >= p.Lease
}

// VersionWatch tracks how long a row that another daemon owns has kept its
// version.
type Watch struct {
	version uint64
	since   time.Time
}

// Observe records that a read which returned at now found the given version.
func (w *Watch) See(version uint64, now time.Time) {
	if w.since.IsZero() || w.version != version {
		w.version = version
		w.since = now
	}
}

// UnchangedFor returns how long the row has been seen unchanged by a read that
// started at the given time.
func (w *Watch) Unchanged(start time.Time) time.Duration {
	if w.since.IsZero() {
		return 0
	}
	return start.Sub(w.since)
}
