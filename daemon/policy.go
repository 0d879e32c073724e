package daemon

import (
	"encoding/hex"

	"github.com/gooseberryshed/gooseberryshed/config"
	"github.com/gooseberryshed/gooseberryshed/control"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

// policy checks attempts at the gate against the gate's own configuration, so
// that a request runs only if neither the ingress nor the gate knows better:
// the one with the higher revision decides.
type policy struct {
	snapshot func() *control.Snapshot
	// behind is told of a host whose revision is newer than the own one.
	behind func(host string, revision uint64)
}

// Check implements gate.Policy.
func (p *policy) Check(att wire.Attempt) *wire.Refusal {
	snap := p.snapshot()
	if r := p.checkState(snap); r != nil {
		return r
	}
	if att.Revision > snap.Config.Revision() {
		p.behind("", att.Revision)
	}
	r := checkAttempt(snap.Config, att)
	if r == nil {
		return nil
	}
	if att.Revision > snap.Config.Revision() {
		return stale(snap, "the gate does not yet know revision %d", att.Revision)
	}
	r.Revision = snap.Config.Revision()
	return r
}

func (p *policy) checkState(snap *control.Snapshot) *wire.Refusal {
	switch {
	case snap.Config == nil:
		return wire.Refuse(wire.ReasonStaleHost, "the gate has no configuration yet")
	case !snap.UpToDate:
		return wire.Refuse(wire.ReasonStaleHost, "the gate has lost touch with the table and with the other hosts")
	case snap.DataCentreOut:
		r := wire.Refuse(wire.ReasonDataCentreOut, "data centre %s is out", snap.Self.DataCentre)
		r.Revision = snap.Config.Revision()
		return r
	}
	return nil
}

func stale(snap *control.Snapshot, format string, args ...any) *wire.Refusal {
	r := wire.Refuse(wire.ReasonStaleConfig, format, args...)
	r.Revision = snap.Config.Revision()
	return r
}

// checkAttempt repeats the ingress's checks of route, key and service.
func checkAttempt(cfg *config.Snapshot, att wire.Attempt) *wire.Refusal {
	route, ok := cfg.MatchRoute(att.Route)
	if !ok || route.Path != att.Route || route.Service != att.Service {
		return wire.Refuse(wire.ReasonNoRoute, "route %s does not lead to service %s", att.Route, att.Service)
	}
	if route.Access == config.AccessOpen {
		return nil
	}
	var digest [32]byte
	if n, err := hex.Decode(digest[:], []byte(att.KeyID)); err != nil || n != len(digest) {
		return wire.Refuse(wire.ReasonNoKey, "the route demands a key")
	}
	ref, ok := cfg.FindKey(digest)
	if !ok || ref.Workspace != att.Workspace {
		return wire.Refuse(wire.ReasonBadKey, "the key is not valid")
	}
	if !route.Allows(att.Workspace) {
		return wire.Refuse(wire.ReasonForbidden, "the route does not admit workspace %s", att.Workspace)
	}
	return nil
}
