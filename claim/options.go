package claim

import "time"

// Defaults of Options.
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
	// Window is how long a write waits for others to share its transaction.
	Window time.Duration
	// MaxBatch is how many writes share a transaction at most.
	MaxBatch int
	// Flights is how many transactions may be under way at once.
	Flights int
	// MaxPending bounds the writes waiting for a transaction.
	MaxPending int
	// MaxStored bounds the body of a stored answer in bytes; a larger answer
	// is recorded as done without being kept.
	MaxStored int
	// Retention is how long a key is remembered.
	Retention time.Duration
	// TableTimeout bounds each operation on the table.
	TableTimeout time.Duration
	// SweepEvery is the time between two sweeps of expired rows, SweepRows how
	// many rows a sweep reads.
	SweepEvery time.Duration
	SweepRows  int
	// MaxUnsettled bounds the outcomes kept for writing when the table is back.
	MaxUnsettled int
	// Clock defaults to time.Now. Wall time is used for the retention only.
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
