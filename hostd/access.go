package hostd

import (
	"github.com/gooseberryshed/gooseberryshed/access"
	"github.com/gooseberryshed/gooseberryshed/routes"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

// recheckAccess refuses an attempt that a host admitted under an older configuration than
// cfg, if this one does not admit it: with no key, or with that of a workspace that is gone.
// Other changes of the route are left to the sender.
func recheckAccess(cfg *routes.Config, f Forward) *wire.Refusal {
	if cfg == nil {
		return nil
	}
	route, ok := cfg.RouteByName(f.Route)
	if !ok {
		return nil
	}
	sender := access.Sender{Older: f.Revision < cfg.Revision, Workspace: f.Workspace}
	if cfg.Access(route).Admits(sender, func(w string) bool { _, exists := cfg.Workspace(w); return exists }) {
		return nil
	}
	return wire.Refuse(wire.ReasonStaleConfig, "revision %d does not admit workspace %q on route %s without another key; the sender has revision %d", cfg.Revision, f.Workspace, f.Route, f.Revision)
}
