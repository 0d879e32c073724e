package daemon

import (
	"encoding/hex"

	"github.com/gooseberryshed/gooseberryshed/config"
	"github.com/gooseberryshed/gooseberryshed/control"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

// policy checks attempts at the gate against the gate's own configuration. If the
// ingress and the gate disagree, the one with the higher revision decides: a request
// runs only if the newer of the two configurations admits it.
type policy struct {
	snapshot func() *control.Snapshot
	// reportRevision is called when an attempt carries a newer revision than
	// the gate's.
	reportRevision func(host string, revision uint64)
}

// Check implements gate.Policy.
func (p *policy) Check(att wire.Attempt) *wire.Refusal {
	snap := p.snapshot()
	if r := p.checkState(snap); r != nil {
		return r
	}
	if att.Revision > snap.Config.Revision() {
		p.reportRevision("", att.Revision)
	}
	r := checkAttempt(snap.Config, att)
	if r == nil {
		return nil
	}
	if att.Revision > snap.Config.Revision() {
		return refuseStale(snap, "the gate has not yet loaded revision %d", att.Revision)
	}
	r.Revision = snap.Config.Revision()
	return r
}

func (p *policy) checkState(snap *control.Snapshot) *wire.Refusal {
	switch {
	case snap.Config == nil:
		return wire.Refuse(wire.ReasonStaleHost, "the gate has not loaded a configuration yet")
	case !snap.UpToDate:
		return wire.Refuse(wire.ReasonStaleHost, "the gate cannot confirm that its configuration (revision %d) is current: it has not yet loaded a newer revision, or has recently reached neither the table nor a host that has read it", snap.Config.Revision())
	case snap.DataCentreOut:
		r := wire.Refuse(wire.ReasonDataCentreOut, "data centre %s is out of service", snap.Self.DataCentre)
		r.Revision = snap.Config.Revision()
		return r
	}
	return nil
}

func refuseStale(snap *control.Snapshot, format string, args ...any) *wire.Refusal {
	r := wire.Refuse(wire.ReasonStaleConfig, format, args...)
	r.Revision = snap.Config.Revision()
	return r
}

// checkAttempt repeats the checks of route, key and service that the ingress made.
func checkAttempt(cfg *config.Snapshot, att wire.Attempt) *wire.Refusal {
	route, ok := cfg.MatchRoute(att.Route)
	if !ok || route.Path != att.Route || route.Service != att.Service {
		return wire.Refuse(wire.ReasonNoRoute, "route %s does not lead to service %s", att.Route, att.Service)
	}
	if !route.NeedsKey() {
		return nil
	}
	var digest [32]byte
	if n, err := hex.Decode(digest[:], []byte(att.KeyID)); err != nil || n != len(digest) {
		return wire.Refuse(wire.ReasonNoKey, "the route requires an API key")
	}
	ref, ok := cfg.FindKey(digest)
	if !ok || ref.Workspace != att.Workspace {
		return wire.Refuse(wire.ReasonBadKey, "the API key is not valid for the workspace")
	}
	if !route.Allows(att.Workspace) {
		return wire.Refuse(wire.ReasonForbidden, "workspace %s is not allowed on route %s", att.Workspace, att.Route)
	}
	return nil
}
