package daemon

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/gooseberryshed/gooseberryshed/control"
	"github.com/gooseberryshed/gooseberryshed/member"
	"github.com/gooseberryshed/gooseberryshed/platform"
	"github.com/gooseberryshed/gooseberryshed/rpc"
	"github.com/gooseberryshed/gooseberryshed/suspect"
)

// methodSuspectExchange exchanges entries of the registry of requests that
// crash targets.
const methodSuspectExchange = "suspect.exchange"

// Limits of the gossip. Each round sends recent entries to several daemons, which
// forward what was new to them, so that the whole fleet learns of an entry within
// a few rounds.
const (
	suspectInterval = 300 * time.Millisecond
	suspectFanout   = 4
	// suspectSpreadTime is how long an entry is sent to peers after its last
	// change.
	suspectSpreadTime  = 3 * time.Second
	suspectMaxEntries  = 64
	suspectTimeout     = time.Second
	suspectRow         = "suspect/entries"
	suspectRowInterval = 30 * time.Second
)

// suspectGossip replicates the registry of suspect requests among daemons. It
// implements gate.Quarantine and ingress.Quarantine.
type suspectGossip struct {
	registry *suspect.Registry
	snapshot func() *control.Snapshot
	rpc      rpc.Caller
	table    platform.Table
}

// suspectMessage is the request and the response of methodSuspectExchange.
type suspectMessage struct {
	Entries []suspect.Entry `json:"entries"`
}

// Check implements gate.Quarantine.
func (s *suspectGossip) Check(fingerprint uint64) bool {
	return s.Quarantined(time.Now(), fingerprint)
}

// Quarantined implements ingress.Quarantine.
func (s *suspectGossip) Quarantined(now time.Time, fingerprint uint64) bool {
	return s.registry.Check(now, fingerprint).Level == suspect.Quarantined
}

// Suspected implements ingress.Quarantine.
func (s *suspectGossip) Suspected(now time.Time, fingerprint uint64) bool {
	return s.registry.Check(now, fingerprint).Level == suspect.Suspected
}

func (s *suspectGossip) register(r rpc.Registrar) {
	r.Handle(methodSuspectExchange, rpc.Typed(func(_ context.Context, m suspectMessage) (suspectMessage, error) {
		now := time.Now()
		s.registry.Merge(now, m.Entries)
		return suspectMessage{s.registry.Export(now, suspectSpreadTime, suspectMaxEntries)}, nil
	}))
}

// run gossips recently changed entries until ctx ends. It also keeps a copy in the
// table for daemons that start later.
func (s *suspectGossip) run(ctx context.Context) error {
	ticker := time.NewTicker(suspectInterval)
	defer ticker.Stop()
	var lastRowSync time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := time.Now()
		s.registry.Tick(now)
		fresh := s.registry.Export(now, suspectSpreadTime, suspectMaxEntries)
		if len(fresh) > 0 {
			s.propagate(ctx, fresh)
		}
		if now.Sub(lastRowSync) > suspectRowInterval {
			lastRowSync = now
			s.syncRow(ctx)
		}
	}
}

func (s *suspectGossip) propagate(ctx context.Context, entries []suspect.Entry) {
	ctx, cancel := context.WithTimeout(ctx, suspectTimeout)
	defer cancel()
	for _, d := range s.randomPeers() {
		var reply suspectMessage
		if err := s.rpc.Call(ctx, d.RPCAddr, methodSuspectExchange, suspectMessage{entries}, &reply); err == nil {
			s.registry.Merge(time.Now(), reply.Entries)
		}
	}
}

func (s *suspectGossip) randomPeers() []member.Daemon {
	snap := s.snapshot()
	var out []member.Daemon
	for _, d := range snap.Daemons {
		if d.Host != snap.Self.Host && d.State == member.StateServing {
			out = append(out, d)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(suspectFanout, len(out))]
}

// syncRow merges the table's copy into the registry and updates the row if the
// registry has other entries. A write that loses a race is repeated in the next
// round.
func (s *suspectGossip) syncRow(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, suspectTimeout)
	defer cancel()
	row, err := s.table.Get(ctx, suspectRow)
	if err != nil && !platform.IsKind(err, platform.KindNotFound) {
		return
	}
	var stored suspectMessage
	if len(row.Value) > 0 && json.Unmarshal(row.Value, &stored) != nil {
		return
	}
	now := time.Now()
	s.registry.Merge(now, stored.Entries)
	known := s.registry.Export(now, time.Hour, suspectMaxEntries)
	if len(known) == 0 || sameEntries(known, stored.Entries) {
		return
	}
	body, err := json.Marshal(suspectMessage{known})
	if err != nil {
		return
	}
	s.table.Commit(ctx, platform.Txn{ //nolint:errcheck // retried in the next round
		Require: []platform.Precondition{{Key: suspectRow, Version: row.Version}},
		Writes:  []platform.Write{{Key: suspectRow, Value: body}},
	})
}

func sameEntries(a, b []suspect.Entry) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Fingerprint != b[i].Fingerprint || !a[i].Equal(b[i]) {
			return false
		}
	}
	return true
}
