package claim

import "time"

// Default values of Options.
const (
	DefaultBatchWindow   = 2 * time.Millisecond
	DefaultMaxBatch      = 64
	DefaultMaxInFlight   = 4
	DefaultMaxPending    = 4096
	DefaultMaxStoredBody = 16 << 10
	DefaultRetention     = 24 * time.Hour
	DefaultTableTimeout  = 2 * time.Second
	DefaultSweepInterval = time.Minute
	DefaultSweepBatch    = 200
	DefaultMaxDeferred   = 1024
)

// Options configures a Store.
type Options struct {
	// BatchWindow is how long a write waits for others to share its
	// transaction.
	BatchWindow time.Duration
	// MaxBatch is the maximum number of writes in one transaction.
	MaxBatch int
	// MaxInFlight is the maximum number of concurrent transactions.
	MaxInFlight int
	// MaxPending bounds the queue of writes.
	MaxPending int
	// MaxStoredBody is the maximum size in bytes of a stored response body. A
	// response with a larger body is recorded as done without its body.
	MaxStoredBody int
	// Retention is how long a key is remembered.
	Retention time.Duration
	// TableTimeout bounds each operation on the table.
	TableTimeout time.Duration
	// SweepInterval is the time between two sweeps of expired rows. SweepBatch
	// is the number of rows read by one sweep.
	SweepInterval time.Duration
	SweepBatch    int
	// MaxDeferred bounds the writes kept for a later retry during a table
	// outage.
	MaxDeferred int
	// Clock defaults to time.Now. Wall-clock time is used for the retention
	// only.
	Clock func() time.Time
}

func (o Options) withDefaults() Options {
	o.BatchWindow = orDefault(o.BatchWindow, DefaultBatchWindow)
	o.MaxBatch = orDefault(o.MaxBatch, DefaultMaxBatch)
	o.MaxInFlight = orDefault(o.MaxInFlight, DefaultMaxInFlight)
	o.MaxPending = orDefault(o.MaxPending, DefaultMaxPending)
	o.MaxStoredBody = orDefault(o.MaxStoredBody, DefaultMaxStoredBody)
	o.Retention = orDefault(o.Retention, DefaultRetention)
	o.TableTimeout = orDefault(o.TableTimeout, DefaultTableTimeout)
	o.SweepInterval = orDefault(o.SweepInterval, DefaultSweepInterval)
	o.SweepBatch = orDefault(o.SweepBatch, DefaultSweepBatch)
	o.MaxDeferred = orDefault(o.MaxDeferred, DefaultMaxDeferred)
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
