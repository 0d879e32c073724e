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

// methodCrashes exchanges what is known of requests that crash targets.
const methodCrashes = "suspect.exchange"

// Bounds of the spreading. News goes to several daemons at once, each of which
// passes on what was new to it, so that the fleet knows within a few rounds.
const (
	crashInterval = 300 * time.Millisecond
	crashFanout   = 4
	// crashNews is how long an entry is passed on after its last news.
	crashNews    = 3 * time.Second
	crashLimit   = 64
	crashTimeout = time.Second
	crashRow     = "suspect/entries"
	crashRowRead = 30 * time.Second
)

// crashes spreads the registry of suspect requests. It implements
// gate.Quarantine and ingress.Quarantine.
type crashes struct {
	registry *suspect.Registry
	snapshot func() *control.Snapshot
	rpc      rpc.Caller
	table    platform.Table
}

// crashNewsMessage carries entries in both directions.
type crashNewsMessage struct {
	Entries []suspect.Entry `json:"entries"`
}

// Check implements gate.Quarantine.
func (c *crashes) Check(fingerprint uint64) bool {
	return c.Quarantined(time.Now(), fingerprint)
}

// Quarantined implements ingress.Quarantine.
func (c *crashes) Quarantined(now time.Time, fingerprint uint64) bool {
	return c.registry.Check(now, fingerprint).Level == suspect.Quarantined
}

// Suspected implements ingress.Quarantine.
func (c *crashes) Suspected(now time.Time, fingerprint uint64) bool {
	return c.registry.Check(now, fingerprint).Level == suspect.Suspected
}

func (c *crashes) register(r rpc.Registrar) {
	r.Handle(methodCrashes, rpc.Typed(func(_ context.Context, m crashNewsMessage) (crashNewsMessage, error) {
		now := time.Now()
		c.registry.Merge(now, m.Entries)
		return crashNewsMessage{c.registry.Export(now, crashNews, crashLimit)}, nil
	}))
}

// run passes news on until ctx ends, and keeps a copy in the table for daemons
// that start later.
func (c *crashes) run(ctx context.Context) error {
	ticker := time.NewTicker(crashInterval)
	defer ticker.Stop()
	var rowAt time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := time.Now()
		c.registry.Tick(now)
		news := c.registry.Export(now, crashNews, crashLimit)
		if len(news) > 0 {
			c.spread(ctx, news)
		}
		if now.Sub(rowAt) > crashRowRead {
			rowAt = now
			c.syncRow(ctx)
		}
	}
}

func (c *crashes) spread(ctx context.Context, news []suspect.Entry) {
	ctx, cancel := context.WithTimeout(ctx, crashTimeout)
	defer cancel()
	for _, d := range c.someDaemons() {
		var reply crashNewsMessage
		if err := c.rpc.Call(ctx, d.RPCAddr, methodCrashes, crashNewsMessage{news}, &reply); err == nil {
			c.registry.Merge(time.Now(), reply.Entries)
		}
	}
}

func (c *crashes) someDaemons() []member.Daemon {
	snap := c.snapshot()
	var out []member.Daemon
	for _, d := range snap.Daemons {
		if d.Host != snap.Self.Host && d.State == member.StateServing {
			out = append(out, d)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(crashFanout, len(out))]
}

// syncRow merges the table's copy and writes it back when the registry knows
// more. A race is mended at the next time.
func (c *crashes) syncRow(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, crashTimeout)
	defer cancel()
	row, err := c.table.Get(ctx, crashRow)
	if err != nil && !platform.IsKind(err, platform.KindNotFound) {
		return
	}
	var stored crashNewsMessage
	if len(row.Value) > 0 && json.Unmarshal(row.Value, &stored) != nil {
		return
	}
	now := time.Now()
	c.registry.Merge(now, stored.Entries)
	known := c.registry.Export(now, time.Hour, crashLimit)
	if len(known) == 0 || sameEntries(known, stored.Entries) {
		return
	}
	body, err := json.Marshal(crashNewsMessage{known})
	if err != nil {
		return
	}
	c.table.Commit(ctx, platform.Txn{ //nolint:errcheck // see above
		Require: []platform.Precondition{{Key: crashRow, Version: row.Version}},
		Writes:  []platform.Write{{Key: crashRow, Value: body}},
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
