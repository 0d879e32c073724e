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

// Defaults of Options.
const (
	DefaultShards       = 4
	DefaultLease        = 9 * time.Second
	DefaultStanding     = 0.6
	DefaultStandingTerm = 6 * time.Hour
	DefaultReplyBound   = 250 * time.Millisecond
	DefaultTableTimeout = 2 * time.Second
)

// renewalsPerLease is how often a lease is renewed within its length.
const renewalsPerLease = 3

// Limits is a workspace's rate and burst.
type Limits struct {
	// Rate is in requests per second over the whole fleet.
	Rate  float64
	Burst int
	// Since is the revision at which these limits last may have changed, for
	// example that of the section. Revision() is always right but makes each
	// change of the configuration spread like a change of these limits.
	Since uint64
}

// Config is what the limiter reads of the configuration. It is immutable.
type Config interface {
	// Revision rises with each accepted change.
	Revision() uint64
	// Workspace returns the limits of a workspace, or false.
	Workspace(name string) (Limits, bool)
	// Workspaces ranges over the names of all workspaces.
	Workspaces() iter.Seq[string]
	// DataCentres lists all configured data centres, in or out.
	DataCentres() []string
	// DataCentresSince is the revision at which that list last may have
	// changed.
	DataCentresSince() uint64
}

// Options configures a Service.
type Options struct {
	// Self is this daemon; Host, DataCentre, RPCAddr and Incarnation are used.
	Self  member.Daemon
	Table platform.Table
	RPC   rpc.Caller
	// Config returns the configuration in force, or nil before there is one.
	Config func() Config
	// Peers returns the known daemons; Self need not be among them.
	Peers func() []member.Daemon
	// Clock defaults to time.Now and must be monotonic.
	Clock func() time.Time
	// Shards is the number of shards; the same in the whole fleet.
	Shards int
	// Lease is the length of an owner's lease; the same in the whole fleet.
	Lease time.Duration
	// Standing is the fraction of its share that an owner keeps past its lease
	// for StandingTerm; the same in the whole fleet.
	Standing     float64
	StandingTerm time.Duration
	// ReplyBound is the age at which replies of owners are dropped.
	ReplyBound time.Duration
	// TableTimeout bounds each operation on the table.
	TableTimeout time.Duration
	// Logger takes changes of state. It defaults to none.
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
	o.Lease = orDefault(o.Lease, DefaultLease)
	o.Standing = orDefault(o.Standing, DefaultStanding)
	o.StandingTerm = orDefault(o.StandingTerm, DefaultStandingTerm)
	o.ReplyBound = orDefault(o.ReplyBound, DefaultReplyBound)
	o.TableTimeout = orDefault(o.TableTimeout, DefaultTableTimeout)
	if o.Logger == nil {
		o.Logger = log.New(io.Discard)
	}
	return o
}

func (o Options) policy() limit.Policy {
	return limit.Policy{Lease: o.Lease, Standing: o.Standing, Term: o.StandingTerm}
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
