package control

import (
	"github.com/gooseberryshed/gooseberryshed/balance"
	"github.com/gooseberryshed/gooseberryshed/config"
	"github.com/gooseberryshed/gooseberryshed/configstore"
	"github.com/gooseberryshed/gooseberryshed/member"
)

// Snapshot is what traffic goroutines go by. It is immutable.
type Snapshot struct {
	// Self is the daemon's own record.
	Self member.Daemon
	// Config is nil until a configuration is known.
	Config *config.Snapshot
	// Document is what Config was built from.
	Document configstore.State
	// View is the basis for choosing targets; nil until Config is known.
	View *balance.View
	// Daemons are all known records, Unreachable the hosts among them that do
	// not answer.
	Daemons     []member.Daemon
	Unreachable []string
	// Ejected lists the targets that are not used.
	Ejected []string
	// Introduced is set once the daemon has learnt of the other members, or
	// that there are none.
	Introduced bool
	// InTouch allows serving.
	InTouch bool
	// TableOutage tells that nobody reaches the table.
	TableOutage bool
	// Leaving is set during a planned stop.
	Leaving bool
	// DataCentreOut is set while the own data centre is out.
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

// Ready reports whether requests of callers can be served.
func (s *Snapshot) Ready() bool {
	return s.Config != nil && s.InTouch && s.Introduced && !s.Leaving
}
