package hostd

import (
	"bytes"
	"cmp"
	"time"

	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/routes"
)

// unreadConfig is the operators' newest configuration, which could not be read. The one in
// force may lack what it changes.
type unreadConfig struct {
	rowVersion uint64
	// proof is the last freshness proof of the configuration in force.
	proof freshnessProof
}

func (c *Control) applyOperatorRows(n tableUpdate) {
	evacuatedBefore := c.evacuated
	if n.full && n.version >= c.configAt.Load() {
		c.evacuated = map[string]bool{}
		c.operatorRows = map[string]karpithaz.Row{}
		c.orders = nil
		c.operatorHistoryStart = n.version
	}
	for _, row := range n.rows {
		if row.Key == karpithaz.ConfigKey {
			c.applyConfig(row, n.from, n.received)
			continue
		}
		if row.Version <= c.operatorRows[row.Key].Version {
			continue
		}
		c.operatorRows[row.Key] = row
		if service, ok := karpithaz.RolloutService(row.Key); ok {
			c.applyOrder(service, row)
			continue
		}
		dc, ok := karpithaz.EvacuatedDataCentre(row.Key)
		if !ok {
			continue
		}
		delete(c.keptEvacuations, dc)
		if row.Removed {
			delete(c.evacuated, dc)
		} else {
			c.evacuated[dc] = true
		}
		c.log.Decide("data-centre", "name", dc, "out", !row.Removed, "row_version", row.Version)
	}
	if restored(n, c.configAt.Load()) {
		c.keepEvacuations(evacuatedBefore, time.Now())
	}
	c.applyKept()
}

// applyConfig applies a row fetched from a host, or from the store if from is empty. After
// a restore of the store, two hosts may have read different configurations under one
// version; the one with the higher revision is the later one.
func (c *Control) applyConfig(row karpithaz.Row, from string, r received) {
	known := c.operatorRows[karpithaz.ConfigKey]
	if row.Version < known.Version || row.Version == known.Version && bytes.Equal(row.Value, known.Value) {
		return
	}
	c.operatorRows[karpithaz.ConfigKey] = row
	if row.Removed {
		return
	}
	begun := time.Now()
	cfg, err := c.decoder.Decode(row.Value)
	decoding := time.Since(begun)
	if err != nil {
		c.refuseConfig(row, from, err)
		return
	}
	c.unread = nil
	if c.config != nil && cfg.Revision < c.config.Revision {
		c.log.Logger().Warn("older configuration ignored", "revision", cfg.Revision, "in_force", c.config.Revision)
		// Hosts that start are given the one in force.
		row.Value = c.configValue
		c.operatorRows[karpithaz.ConfigKey] = row
		return
	}
	former := c.config
	c.config, c.configValue = cfg, row.Value
	c.log.Decide("config", "revision", cfg.Revision, "routes", cfg.RouteCount(), "row_version", row.Version,
		"workspace_list", cfg.WorkspaceList().String(), "workspaces", cfg.WorkspaceCount(), "keys", cfg.KeyCount(),
		"routes_without_key", len(cfg.KeylessRoutes()), "from", cmp.Or(from, "store"), "proof_age_ms", min(c.ProofAge(), noProof).Milliseconds(),
		"bytes", len(row.Value), "received_bytes", r.bytes, "received_ms", r.took.Milliseconds(), "tries", r.tries, "decode_ms", decoding.Milliseconds())
	c.reportOpened(former, cfg)
}

// refuseConfig keeps the previous configuration in force although a newer one cannot be read.
// That may take keys away, so no later proof holds for the previous one.
func (c *Control) refuseConfig(row karpithaz.Row, from string, err error) {
	proof := freshnessProof(c.proof.Load())
	if c.unread != nil {
		proof = c.unread.proof
	}
	c.unread = &unreadConfig{rowVersion: row.Version, proof: proof}
	c.metrics.Add("config_unreadable", 1)
	var inForce uint64
	if c.config != nil {
		inForce = c.config.Revision
	}
	c.log.Logger().Error("configuration refused as a whole; the previous one stays in force, without keys once its proof is too old: write a configuration that can be read",
		"row_version", row.Version, "bytes", len(row.Value), "from", cmp.Or(from, "store"), "in_force", inForce, "err", err)
}

// maxRoutesLogged bounds the routes that a log line names.
const maxRoutesLogged = 8

// reportOpened reports the routes that need no key any more, or are new and need none.
func (c *Control) reportOpened(former, cfg *routes.Config) {
	opened := cfg.OpenedSince(former)
	if len(opened) == 0 {
		return
	}
	c.openedBy.Store(cfg.Revision)
	c.metrics.Add("routes_opened", int64(len(opened)))
	c.log.Decide("routes-opened", "revision", cfg.Revision, "count", len(opened), "routes", opened[:min(len(opened), maxRoutesLogged)],
		"workspace_list", cfg.WorkspaceList().String())
}

// registerGauges registers the gauges of the configuration in force.
func (c *Control) registerGauges() {
	c.metrics.Gauge("routes_without_key", func() int64 {
		if cfg := c.View().Config; cfg != nil {
			return int64(len(cfg.KeylessRoutes()))
		}
		return 0
	})
	c.metrics.Gauge("routes_opened_revision", func() int64 { return int64(c.openedBy.Load()) })
	c.metrics.Gauge("changes_in_flight", c.sending.responses.Load)
	c.metrics.Gauge("changes_in_flight_bytes", c.sending.bytes.Load)
	c.metrics.Gauge("config_unread_version", func() int64 {
		if u := c.View().unread; u != nil {
			return int64(u.rowVersion)
		}
		return 0
	})
}
