package control

import (
	"github.com/gooseberryshed/gooseberryshed/balance"
	"github.com/gooseberryshed/gooseberryshed/config"
	"github.com/gooseberryshed/gooseberryshed/configstore"
	"github.com/gooseberryshed/gooseberryshed/member"
)

// Snapshot is the immutable state that request goroutines read.
type Snapshot struct {
	// Self is the record of this daemon.
	Self member.Daemon
	// Config is the configuration in force, nil until one has been loaded.
	Config *config.Snapshot
	// Document is the stored state that Config was built from.
	Document configstore.State
	// View is the load balancer's view of the fleet, nil while Config is nil.
	View *balance.View
	// Daemons holds all known member records, and Unreachable the hosts among
	// them that do not respond.
	Daemons     []member.Daemon
	Unreachable []string
	// Ejected lists the targets that receive no regular traffic because they are
	// degraded.
	Ejected []string
	// Joined is set once the daemon has received the membership from a peer,
	// or once the table shows no other member.
	Joined bool
	// UpToDate is set while the configuration and the table reads behind it are
	// recent enough to serve. Operators see it as in_touch.
	UpToDate bool
	// TableOutage is set while the table is considered unavailable to all
	// members.
	TableOutage bool
	// Leaving is set during a planned stop.
	Leaving bool
	// DataCentreOut is set while this daemon's data centre is out of service or
	// not configured.
	DataCentreOut bool
}

// Find returns the record of a host.
func (s *Snapshot) Find(host string) (member.Daemon, bool) {
	for i := range s.Daemons {
		if s.Daemons[i].Host == host {
			return s.Daemons[i], true
		}
	}
	return member.Daemon{}, false
}

// Ready reports whether the daemon can serve requests of callers.
func (s *Snapshot) Ready() bool {
	return s.Config != nil && s.UpToDate && s.Joined && !s.Leaving
}
