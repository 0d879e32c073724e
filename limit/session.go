package limit

import "time"

// Session is an owner's own view of its lease of one row.
type Session struct {
	Record Record
	// RenewedAt is the start of the last successful renewal.
	RenewedAt time.Time
	// Ended reports that the owner has stepped down for good.
	Ended bool
}

// Fraction returns which part of a share the owner may use now. shareOfBurst is
// the share in tokens.
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

// undividedFraction returns the fraction of a share that cannot be divided: all of it
// when no former owner may be using it.
func (s *Session) undividedFraction() float64 {
	if len(s.Record.Standing) > 0 {
		return 0
	}
	return 1
}

// Grants reports whether the owner may grant anything.
func (s *Session) Grants(now time.Time, p Policy) bool {
	if s.Ended || s.Record.Released {
		return false
	}
	return now.Sub(s.RenewedAt) < p.Lease+p.Term
}

// Lapsed reports that the lease has ended.
func (s *Session) Lapsed(now time.Time, p Policy) bool {
	return s.Ended || now.Sub(s.RenewedAt) >= p.Lease
}

// Watch is a candidate's observation of a row that another daemon owns.
type Watch struct {
	version uint64
	since   time.Time
}

// See notes that a read which returned at now found the row at a version.
func (w *Watch) See(version uint64, now time.Time) {
	if w.since.IsZero() || w.version != version {
		w.version = version
		w.since = now
	}
}

// Unchanged returns for how long the row has been seen unchanged by a read
// that started at the given time.
func (w *Watch) Unchanged(start time.Time) time.Duration {
	if w.since.IsZero() {
		return 0
	}
	return start.Sub(w.since)
}
