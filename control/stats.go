package control

import "sync/atomic"

// Stats holds the counters of a Control since its start.
type Stats struct {
	HeadReads        atomic.Int64
	HeadFailures     atomic.Int64
	Adopted          atomic.Int64
	FromPeers        atomic.Int64
	FromTable        atomic.Int64
	Exchanges        atomic.Int64
	ExchangeFailures atomic.Int64
	Samples          atomic.Int64
	Outages          atomic.Int64
	// RoutesOpened counts routes that have come to need no key, and
	// RoutesOpenedRevision is the revision that did so last.
	RoutesOpened         atomic.Int64
	RoutesOpenedRevision atomic.Int64
}

// Counts is a point-in-time copy of Stats.
type Counts struct {
	HeadReads        int64 `json:"head_reads"`
	HeadFailures     int64 `json:"head_failures"`
	Adopted          int64 `json:"config_adopted"`
	FromPeers        int64 `json:"config_from_peers"`
	FromTable        int64 `json:"config_from_table"`
	Exchanges        int64 `json:"exchanges"`
	ExchangeFailures int64 `json:"exchange_failures"`
	Samples          int64 `json:"touch_samples"`
	Outages          int64 `json:"table_outages"`

	RoutesOpened         int64 `json:"routes_opened"`
	RoutesOpenedRevision int64 `json:"routes_opened_revision"`
}

// Counts returns a copy of the counters.
func (c *Control) Counts() Counts {
	s := &c.stats
	return Counts{
		HeadReads:        s.HeadReads.Load(),
		HeadFailures:     s.HeadFailures.Load(),
		Adopted:          s.Adopted.Load(),
		FromPeers:        s.FromPeers.Load(),
		FromTable:        s.FromTable.Load(),
		Exchanges:        s.Exchanges.Load(),
		ExchangeFailures: s.ExchangeFailures.Load(),
		Samples:          s.Samples.Load(),
		Outages:          s.Outages.Load(),

		RoutesOpened:         s.RoutesOpened.Load(),
		RoutesOpenedRevision: s.RoutesOpenedRevision.Load(),
	}
}
