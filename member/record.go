package member

// State is the state of a daemon.
type State string

const (
	// StateServing accepts requests.
	StateServing State = "serving"
	// StateLeaving completes requests in progress and accepts no new ones.
	StateLeaving State = "leaving"
	// StateLeft means that the daemon has shut down in an orderly way.
	StateLeft State = "left"
)

// Daemon is the record of one daemon. Only the daemon itself writes it; between
// two records of a host, the higher (Incarnation, Version) wins.
type Daemon struct {
	// Host is the name of the host, unique in the fleet.
	Host       string `json:"host"`
	DataCentre string `json:"dc,omitempty"`
	// Incarnation increases with each start of the host's daemon. It is the
	// start time in nanoseconds.
	Incarnation uint64 `json:"inc"`
	// Version increases with each change of the record within an incarnation.
	Version uint64 `json:"ver"`
	State   State  `json:"state,omitempty"`
	// ForwardAddr accepts forwarded requests, RPCAddr control messages and
	// CallerAddr connections of callers; each is host:port.
	ForwardAddr string `json:"fwd,omitempty"`
	RPCAddr     string `json:"rpc,omitempty"`
	CallerAddr  string `json:"in,omitempty"`
	// AdminAddr serves the admin API.
	AdminAddr string `json:"adm,omitempty"`
	// Revision is the configuration revision in force at the daemon. A change
	// of Revision or TableOK alone does not raise Version; each exchange carries
	// the current status.
	Revision uint64 `json:"rev,omitempty"`
	// TableOK reports whether the daemon itself has read the table recently.
	TableOK bool     `json:"tok,omitempty"`
	Targets []Target `json:"tg,omitempty"`
	// HeadVersion is the version at which a field other than Targets last
	// changed, and FullVersion the one at which a target was last removed.
	// Gossip.Update sets them and Target.Version; deltas are computed from them.
	HeadVersion uint64 `json:"hv,omitempty"`
	FullVersion uint64 `json:"fv,omitempty"`
}

// TargetState is the state of a target.
type TargetState string

const (
	// TargetReady accepts requests.
	TargetReady TargetState = "ready"
	// TargetLeaving completes requests in progress and accepts no new ones.
	TargetLeaving TargetState = "leaving"
	// TargetGone no longer responds.
	TargetGone TargetState = "gone"
)

// Target is the record of one target, written by the daemon of its host.
type Target struct {
	// ID is unique in the fleet: "<host>/<name>".
	ID      string `json:"id"`
	Service string `json:"svc"`
	// Incarnation increases with each start of the target.
	Incarnation uint64      `json:"inc"`
	State       TargetState `json:"state"`
	// Slots is the concurrency that the target announced.
	Slots int `json:"slots"`
	// Limit is the current concurrency limit, lower than Slots during a cold
	// start.
	Limit int `json:"limit"`
	// Suspect is set while the host's gate considers the target degraded.
	Suspect bool `json:"sus,omitempty"`
	// Score ranks suspect targets; the highest is ejected first.
	Score float64 `json:"score,omitempty"`
	// ErrorPermille and LatencyMicros summarise recent requests, rounded to
	// coarse steps so that small changes are not gossiped.
	ErrorPermille int `json:"err,omitempty"`
	LatencyMicros int `json:"lat,omitempty"`
	// Version is the daemon's version at which this record last changed.
	Version uint64 `json:"v,omitempty"`
}

// Newer reports whether record a supersedes b.
func Newer(a, b Daemon) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Version > b.Version
}
