package claim

import "time"

// Default values of Options.
const (
	DefaultWindow       = 2 * time.Millisecond
	DefaultMaxBatch     = 64
	DefaultFlights      = 4
	DefaultMaxPending   = 4096
	DefaultMaxStored    = 16 << 10
	DefaultRetention    = 24 * time.Hour
	DefaultTableTimeout = 2 * time.Second
	DefaultSweepEvery   = time.Minute
	DefaultSweepRows    = 200
	DefaultMaxUnsettled = 1024
)

// Options configures a Store.
type Options struct {
	// BatchWindow is how long a write waits for others to share its
	// transaction.
	Window time.Duration
	// MaxBatch is the maximum number of writes in one transaction.
	MaxBatch int
	// MaxInFlight is the maximum number of concurrent transactions.
	Flights int
	// MaxPending bounds the queue of writes.
	MaxPending int
	// MaxStoredBody is the maximum size in bytes of a stored response body. A
	// response with a larger body is recorded as done without its body.
	MaxStored int
	// Retention is how long a key is remembered.
	Retention time.Duration
	// TableTimeout bounds each operation on the table.
	TableTimeout time.Duration
	// SweepInterval is the time between two sweeps of expired rows. SweepBatch
	// is the number of rows read by one sweep.
	SweepEvery time.Duration
	SweepRows  int
	// MaxDeferred bounds the writes kept for a later retry during a table
	// outage.
	MaxUnsettled int
	// Clock defaults to time.Now. Wall-clock time is used for the retention
	// only.
	Clock func() time.Time
}

func (o Options) withDefaults() Options {
	o.Window = orDefault(o.Window, DefaultWindow)
	o.MaxBatch = orDefault(o.MaxBatch, DefaultMaxBatch)
	o.Flights = orDefault(o.Flights, DefaultFlights)
	o.MaxPending = orDefault(o.MaxPending, DefaultMaxPending)
	o.MaxStored = orDefault(o.MaxStored, DefaultMaxStored)
	o.Retention = orDefault(o.Retention, DefaultRetention)
	o.TableTimeout = orDefault(o.TableTimeout, DefaultTableTimeout)
	o.SweepEvery = orDefault(o.SweepEvery, DefaultSweepEvery)
	o.SweepRows = orDefault(o.SweepRows, DefaultSweepRows)
	o.MaxUnsettled = orDefault(o.MaxUnsettled, DefaultMaxUnsettled)
	if o.Clock == nil {
		o.Clock = time.Now
	}
	return o
}

func orDefault[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}
