package control

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/gooseberryshed/gooseberryshed/member"
	"github.com/gooseberryshed/gooseberryshed/platform"
)

// rowPrefix starts the table keys of members.
const rowPrefix = "member/"

// scanPageSize is how many rows one scan reads.
const scanPageSize = 500

// sweepProbability is the share of scans that remove expired rows, so that not all
// daemons do it at once.
const sweepProbability = 0.05

// row is a member's record in the table, for first contact.
type row struct {
	Daemon member.Daemon `json:"daemon"`
	// Written is the wall clock of the writer.
	Written time.Time `json:"written"`
}

// RunRows keeps the own row in the table and learns of other members there.
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

// scanDelay is short while nobody else is known.
func (c *Control) scanDelay(ctx context.Context) time.Duration {
	if _, known := c.pickPeer(ctx); known {
		return scanInterval
	}
	return gossipInterval
}

// writeRow returns when the row was written, or zero when it was not.
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

// RemoveRow removes the own row at a planned stop, unless a newer daemon of this
// host has written it.
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
	c.do(ctx, func(now time.Time, s *state) { //nolint:errcheck // a stopped loop needs no news
		s.gossip.MergeRecords(now, records)
		s.joined = s.joined || onlySelf
	})
}

func (c *Control) removeExpired(ctx context.Context, r platform.Row) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	c.remove(ctx, r) //nolint:errcheck // another daemon will try again
}
