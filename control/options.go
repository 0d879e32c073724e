package control

import (
	"time"

	"github.com/charmbracelet/log"

	"github.com/gooseberryshed/gooseberryshed/balance"
	"github.com/gooseberryshed/gooseberryshed/configstore"
	"github.com/gooseberryshed/gooseberryshed/member"
	"github.com/gooseberryshed/gooseberryshed/platform"
	"github.com/gooseberryshed/gooseberryshed/rpc"
)

// Intervals and time limits.
const (
	// headInterval is the mean time between reads of the head revision.
	headInterval = 2 * time.Second
	// gossipInterval is the mean time between gossip exchanges.
	gossipInterval = time.Second
	// joinInterval replaces gossipInterval until the daemon has joined.
	joinInterval = 100 * time.Millisecond
	// tickInterval is the time between runs of the loop's periodic work.
	tickInterval = 100 * time.Millisecond
	// tableTimeout limits one operation on the table.
	tableTimeout = 1500 * time.Millisecond
	// peerTimeout limits one call to a peer, or one exchange.
	peerTimeout = 1500 * time.Millisecond
	// viewIntervalPerMember times the number of members is the minimum time
	// between two views that differ in members only.
	viewIntervalPerMember = time.Millisecond
	// maxBehind is how long a daemon may keep serving after it has learned of a
	// higher revision.
	maxBehind = 1500 * time.Millisecond
	// rowInterval is the time between writes of the daemon's member row.
	rowInterval = 5 * time.Minute
	// scanInterval is the mean time between scans of the member rows.
	scanInterval = time.Minute
	// rowExpiry is the age at which a member row is removed.
	rowExpiry = 24 * time.Hour
	// jitterShare is the width of the random part of an interval: 0.4 varies it
	// by up to 20% either way.
	jitterShare = 0.4
	// rampRetention is how long the readmission of a data centre is remembered.
	// It must not be shorter than the ramp-up of the data centre's traffic.
	rampRetention = time.Minute
)

// Options holds the dependencies of a Control. All fields but Peers are required.
type Options struct {
	// Self is the record of this daemon, without targets.
	Self    member.Daemon
	Table   platform.Table
	Objects platform.Objects
	Store   *configstore.Store
	RPC     rpc.Caller
	// Peers are RPC addresses of seed members, used until a member is known.
	Peers []string
	// Targets returns the records of this host's targets.
	Targets func() []member.Target
	Loads   *balance.LoadTracker
	Logger  *log.Logger
}
