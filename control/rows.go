package control

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/gooseberryshed/gooseberryshed/member"
	"github.com/gooseberryshed/gooseberryshed/platform"
)

// rowPrefix is the prefix of the table keys of member rows.
const rowPrefix = "member/"

// scanPageSize is the number of rows read in one call.
const scanPageSize = 500

// sweepProbability is the fraction of scans that remove expired rows. It is low
// so that daemons rarely remove the same rows at the same time.
const sweepProbability = 0.05

// row is the member record that a daemon stores in the table, through which
// daemons discover each other.
type row struct {
	Daemon member.Daemon `json:"daemon"`
	// Written is the wall-clock time of the writer.
	Written time.Time `json:"written"`
}

// RunRows periodically writes this daemon's row to the table and reads those of
// other members.
func (c *Control) RunRows(ctx context.Context) error {
	written := c.writeRow(ctx)
	c.scanRows(ctx)
	lastScan := time.Now()
	for sleep(ctx, gossipInterval) {
		now := time.Now()
		if now.Sub(written) > rowInterval {
			written = c.writeRow(ctx)
		}
		if now.Sub(lastScan) > c.scanDelay(ctx) {
			c.scanRows(ctx)
			lastScan = now
		}
	}
	return nil
}

// scanDelay returns the time until the next scan, which is shorter while no other
// member is known.
func (c *Control) scanDelay(ctx context.Context) time.Duration {
	if _, known := c.pickPeer(ctx); known {
		return scanInterval
	}
	return gossipInterval
}

// writeRow writes this daemon's row and returns the time of the write, or the
// zero time if it failed.
func (c *Control) writeRow(ctx context.Context) time.Time {
	self := c.opts.Self
	value, err := json.Marshal(row{Daemon: self, Written: time.Now()})
	if err != nil {
		return time.Time{}
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	txn := platform.Txn{Writes: []platform.Write{{Key: rowPrefix + self.Host, Value: value}}}
	if err := c.opts.Table.Commit(ctx, txn); err != nil {
		return time.Time{}
	}
	return time.Now()
}

// RemoveRow removes this daemon's row at a planned stop, unless another daemon of
// this host has overwritten it.
func (c *Control) RemoveRow(ctx context.Context) error {
	key := rowPrefix + c.opts.Self.Host
	found, err := c.opts.Table.Get(ctx, key)
	if err != nil {
		return err
	}
	var parsed row
	if err := json.Unmarshal(found.Value, &parsed); err != nil {
		return err
	}
	if parsed.Daemon.Incarnation != c.opts.Self.Incarnation {
		return nil
	}
	return c.remove(ctx, found)
}

func (c *Control) remove(ctx context.Context, r platform.Row) error {
	return c.opts.Table.Commit(ctx, platform.Txn{
		Require: []platform.Precondition{{Key: r.Key, Version: r.Version}},
		Writes:  []platform.Write{{Key: r.Key, Delete: true}},
	})
}

func (c *Control) scanRows(ctx context.Context) {
	sweep := rand.Float64() < sweepProbability
	after := ""
	for {
		rows, err := c.readPage(ctx, after)
		if err != nil {
			return
		}
		c.mergeRows(ctx, rows, sweep)
		if len(rows) < scanPageSize {
			return
		}
		after = rows[len(rows)-1].Key
	}
}

func (c *Control) readPage(ctx context.Context, after string) ([]platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	return c.opts.Table.Scan(ctx, rowPrefix, after, scanPageSize)
}

func (c *Control) mergeRows(ctx context.Context, rows []platform.Row, sweep bool) {
	var records []member.Daemon
	for _, r := range rows {
		var parsed row
		if err := json.Unmarshal(r.Value, &parsed); err != nil {
			continue
		}
		if time.Since(parsed.Written) > rowExpiry {
			if sweep {
				c.removeExpired(ctx, r)
			}
			continue
		}
		records = append(records, parsed.Daemon)
	}
	onlySelf := len(records) == 1 && records[0].Host == c.opts.Self.Host
	c.do(ctx, func(now time.Time, s *state) { //nolint:errcheck // fails only during shutdown
		s.gossip.MergeRecords(now, records)
		s.joined = s.joined || onlySelf
	})
}

func (c *Control) removeExpired(ctx context.Context, r platform.Row) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	c.remove(ctx, r) //nolint:errcheck // a later sweep of some daemon retries
}
