package member

// State is the state of a daemon.
type State string

const (
	// StateServing takes requests.
	StateServing State = "serving"
	// StateLeaving finishes what it has and takes no new requests.
	StateLeaving State = "leaving"
	// StateLeft has stopped cleanly.
	StateLeft State = "left"
)

// Daemon is the record of one daemon. Its owner alone writes it; for the same
// host the higher (Incarnation, Version) wins.
type Daemon struct {
	// Host is the unique name of the host.
	Host       string `json:"host"`
	DataCentre string `json:"dc,omitempty"`
	// Incarnation rises with each start of the daemon of this host: the start
	// time in nanoseconds.
	Incarnation uint64 `json:"inc"`
	// Version rises with each change of the record within an incarnation.
	Version uint64 `json:"ver"`
	State   State  `json:"state,omitempty"`
	// ForwardAddr takes forwarded requests, RPCAddr takes control messages,
	// CallerAddr takes callers; each is host:port.
	ForwardAddr string `json:"fwd,omitempty"`
	RPCAddr     string `json:"rpc,omitempty"`
	CallerAddr  string `json:"in,omitempty"`
	// AdminAddr takes operators' questions.
	AdminAddr string `json:"adm,omitempty"`
	// Revision is the configuration in force at the daemon. A change of it or
	// of TableOK alone does not raise Version: exchanges carry both.
	Revision uint64 `json:"rev,omitempty"`
	// TableOK reports that the daemon has read the table within its bound.
	TableOK bool     `json:"tok,omitempty"`
	Targets []Target `json:"tg,omitempty"`
	// HeadVersion is the version at which a field other than Targets last
	// changed, and FullVersion that at which a target was last removed. They
	// and Target.Version are set by Gossip.Update and make deltas possible.
	HeadVersion uint64 `json:"hv,omitempty"`
	FullVersion uint64 `json:"fv,omitempty"`
}

// TargetState is the state of a target.
type TargetState string

const (
	// TargetReady takes requests.
	TargetReady TargetState = "ready"
	// TargetLeaving finishes what it has.
	TargetLeaving TargetState = "leaving"
	// TargetGone no longer answers.
	TargetGone TargetState = "gone"
)

// Target is the record of one target, written by the daemon of its host.
type Target struct {
	// ID is unique in the fleet: "<host>/<name>".
	ID      string `json:"id"`
	Service string `json:"svc"`
	// Incarnation rises with each start of the target.
	Incarnation uint64      `json:"inc"`
	State       TargetState `json:"state"`
	// Slots is how many requests the target announced to serve at once.
	Slots int `json:"slots"`
	// Limit is how many requests it bears now; less than Slots while cold.
	Limit int `json:"limit"`
	// Suspect is the gate's verdict that the target serves badly.
	Suspect bool `json:"sus,omitempty"`
	// Score ranks suspects; the highest is ejected first.
	Score float64 `json:"score,omitempty"`
	// ErrorPermille and LatencyMicros summarise recent service, rounded to
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
