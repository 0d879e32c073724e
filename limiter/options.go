package limiter

import (
	"io"
	"iter"
	"time"

	"github.com/charmbracelet/log"

	"github.com/gooseberryshed/gooseberryshed/limit"
	"github.com/gooseberryshed/gooseberryshed/member"
	"github.com/gooseberryshed/gooseberryshed/platform"
	"github.com/gooseberryshed/gooseberryshed/rpc"
)

// Default values of Options.
const (
	DefaultShards        = 4
	DefaultLeaseDuration = 9 * time.Second
	DefaultGraceFraction = 0.6
	DefaultGracePeriod   = 6 * time.Hour
	DefaultMaxReplyAge   = 250 * time.Millisecond
	DefaultTableTimeout  = 2 * time.Second
)

// renewalsPerLease is the number of renewals within one lease duration.
const renewalsPerLease = 3

// Limits is a workspace's rate and burst.
type Limits struct {
	// Rate is in requests per second across the whole fleet.
	Rate  float64
	Burst int
	// LastChanged is the revision in which these limits may have changed last,
	// for example that of their section. Revision() is always correct, but
	// makes each change of the configuration propagate like a change of these
	// limits.
	LastChanged uint64
}

// Config is the part of the configuration that the limiter reads. It is
// immutable.
type Config interface {
	// Revision increases with each accepted change.
	Revision() uint64
	// Workspace returns the limits of a workspace, or false if it is not
	// configured.
	Workspace(name string) (Limits, bool)
	// Workspaces iterates over the names of all workspaces.
	Workspaces() iter.Seq[string]
	// DataCentres lists all configured data centres, including those taken out
	// of service.
	DataCentres() []string
	// DataCentresLastChanged is the revision in which that list may have
	// changed last.
	DataCentresLastChanged() uint64
}

// Options configures a Service.
type Options struct {
	// Self is this daemon. Only Host, DataCentre, RPCAddr and Incarnation are
	// used.
	Self  member.Daemon
	Table platform.Table
	RPC   rpc.Caller
	// Config returns the configuration in force, or nil if there is none yet.
	Config func() Config
	// Peers returns the known daemons. It need not include Self.
	Peers func() []member.Daemon
	// Clock defaults to time.Now and must be monotonic.
	Clock func() time.Time
	// Shards is the number of shards. It must be the same in the whole fleet.
	Shards int
	// LeaseDuration is the length of an owner's lease. It must be the same in
	// the whole fleet.
	LeaseDuration time.Duration
	// GraceFraction is the fraction of its share that an owner may use for
	// GracePeriod after its lease has expired. Both must be the same in the
	// whole fleet.
	GraceFraction float64
	GracePeriod   time.Duration
	// MaxReplyAge is the age from which replies of owners are dropped.
	MaxReplyAge time.Duration
	// TableTimeout bounds each operation on the table.
	TableTimeout time.Duration
	// Logger receives state changes. By default nothing is logged.
	Logger *log.Logger
}

func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.Peers == nil {
		o.Peers = func() []member.Daemon { return nil }
	}
	o.Shards = orDefault(o.Shards, DefaultShards)
	o.LeaseDuration = orDefault(o.LeaseDuration, DefaultLeaseDuration)
	o.GraceFraction = orDefault(o.GraceFraction, DefaultGraceFraction)
	o.GracePeriod = orDefault(o.GracePeriod, DefaultGracePeriod)
	o.MaxReplyAge = orDefault(o.MaxReplyAge, DefaultMaxReplyAge)
	o.TableTimeout = orDefault(o.TableTimeout, DefaultTableTimeout)
	if o.Logger == nil {
		o.Logger = log.New(io.Discard)
	}
	return o
}

func (o Options) policy() limit.Policy {
	return limit.Policy{LeaseDuration: o.LeaseDuration, GraceFraction: o.GraceFraction, GracePeriod: o.GracePeriod}
}

func (o Options) owner() limit.Owner {
	return limit.Owner{
		Host:        o.Self.Host,
		Addr:        o.Self.RPCAddr,
		Incarnation: o.Self.Incarnation,
	}
}

func orDefault[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}
