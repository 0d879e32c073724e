package daemon

import (
	"github.com/gooseberryshed/gooseberryshed/claim"
	"github.com/gooseberryshed/gooseberryshed/control"
	"github.com/gooseberryshed/gooseberryshed/forward"
	"github.com/gooseberryshed/gooseberryshed/gate"
	"github.com/gooseberryshed/gooseberryshed/ingress"
	"github.com/gooseberryshed/gooseberryshed/limiter"
)

// Counters are the counters of all components of a daemon since its start.
type Counters struct {
	Ingress  ingress.Counts      `json:"ingress"`
	Gate     gate.Stats          `json:"gate"`
	Forward  forward.ServerStats `json:"forward"`
	Control  control.Counts      `json:"control"`
	Limiter  limiter.Stats       `json:"limiter"`
	Claims   claim.Stats         `json:"claims"`
	RPC      RPCCounts           `json:"rpc"`
	Suspects int                 `json:"suspects"`
	Restarts int64               `json:"child_restarts"`
	Invalid  InvalidCounts       `json:"invalid_answers"`
}

// RPCCounts are the counters of control messages.
type RPCCounts struct {
	Served   int64 `json:"served"`
	Rejected int64 `json:"rejected"`
	Calls    int64 `json:"calls"`
	Failed   int64 `json:"failed"`
}

// Counters returns the current counters.
func (d *Daemon) Counters() Counters {
	return Counters{
		Ingress: d.ingress.Stats().Counts(),
		Gate:    d.gate.Stats(),
		Forward: d.forward.Stats(),
		Control: d.control.Counts(),
		Limiter: d.limiter.Stats(),
		Claims:  d.claims.Stats(),
		RPC: RPCCounts{
			Served:   d.rpcServer.Calls(),
			Rejected: d.rpcServer.Rejected(),
			Calls:    d.rpcClient.Calls(),
			Failed:   d.rpcClient.Failed(),
		},
		Suspects: d.registry.Len(),
		Restarts: d.tree.Restarts(),
		Invalid:  d.invalid.Counts(),
	}
}
