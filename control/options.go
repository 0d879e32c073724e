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

// Intervals and bounds of the control work.
const (
	// headInterval is the mean time between reads of the table's head.
	headInterval = 2 * time.Second
	// gossipInterval is the mean time between exchanges.
	gossipInterval = time.Second
	// joinInterval is the same for a daemon that knows nobody yet.
	joinInterval = 100 * time.Millisecond
	// tickInterval is the time between two steps of the loop's own work.
	tickInterval = 100 * time.Millisecond
	// tableTimeout bounds one read of the table.
	tableTimeout = 1500 * time.Millisecond
	// peerTimeout bounds one call to a peer.
	peerTimeout = 1500 * time.Millisecond
	// viewIntervalPerMember times the number of members is the least time between
	// two views that differ in members only.
	viewIntervalPerMember = time.Millisecond
	// maxBehind is how long a daemon may serve although it knows of a
	// higher revision.
	maxBehind = 1500 * time.Millisecond
	// rowInterval is the time between two writes of the member row.
	rowInterval = 5 * time.Minute
	// scanInterval is the mean time between two scans of the member rows.
	scanInterval = time.Minute
	// rowExpiry is the age at which a member row is removed.
	rowExpiry = 24 * time.Hour
	// jitterShare is the share of an interval that is random.
	jitterShare = 0.4
	// rampRetention is how long the return of a data centre is remembered.
	rampRetention = time.Minute
)

// Options are the parts that control works with. All but Peers are required.
type Options struct {
	// Self is the own record without targets.
	Self    member.Daemon
	Table   platform.Table
	Objects platform.Objects
	Store   *configstore.Store
	RPC     rpc.Caller
	// Peers are rpc addresses for first contact.
	Peers []string
	// Targets returns the records of the host's targets.
	Targets func() []member.Target
	Loads   *balance.Loads
	Logger  *log.Logger
}
