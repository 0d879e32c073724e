package limiter

import "sync/atomic"

// Stats counts the service's work since its start.
type Stats struct {
	// Asks counts calls of Take.
	Asks    int64 `json:"asks"`
	Allowed int64 `json:"allowed"`
	Denied  int64 `json:"denied"`
	NoOwner int64 `json:"no_owner"`
	// Messages counts RPCs to other limiters.
	Messages      int64 `json:"messages"`
	LateReplies   int64 `json:"late_replies"`
	Redirects     int64 `json:"redirects"`
	Pulls         int64 `json:"pulls"`
	PulledTokens  int64 `json:"pulled_tokens"`
	LostTokens    int64 `json:"lost_tokens"`
	GivenTokens   int64 `json:"given_tokens"`
	Renewals      int64 `json:"renewals"`
	RenewFailures int64 `json:"renew_failures"`
	Takeovers     int64 `json:"takeovers"`
	// Lost counts rows that another daemon acquired from this one.
	Lost        int64 `json:"lost"`
	HandedOver  int64 `json:"handed_over"`
	TableReads  int64 `json:"table_reads"`
	TableWrites int64 `json:"table_writes"`
	RowsOwned   int64 `json:"rows_owned"`
	// RowsLapsed is the current number of owned rows with an expired lease.
	RowsLapsed int64 `json:"rows_lapsed"`
	Buckets    int64 `json:"buckets"`
}

type counters struct {
	asks, allowed, denied, noOwner   atomic.Int64
	messages, lateReplies, redirects atomic.Int64
	pulls, pulledTokens, lostTokens  atomic.Int64
	givenTokens                      atomic.Int64
	renewals, renewFailures          atomic.Int64
	takeovers, lost, handedOver      atomic.Int64
	tableReads, tableWrites          atomic.Int64
}

// Stats returns the current counters.
func (s *Service) Stats() Stats {
	c := &s.counters
	st := Stats{
		Asks:          c.asks.Load(),
		Allowed:       c.allowed.Load(),
		Denied:        c.denied.Load(),
		NoOwner:       c.noOwner.Load(),
		Messages:      c.messages.Load(),
		LateReplies:   c.lateReplies.Load(),
		Redirects:     c.redirects.Load(),
		Pulls:         c.pulls.Load(),
		PulledTokens:  c.pulledTokens.Load(),
		LostTokens:    c.lostTokens.Load(),
		GivenTokens:   c.givenTokens.Load(),
		Renewals:      c.renewals.Load(),
		RenewFailures: c.renewFailures.Load(),
		Takeovers:     c.takeovers.Load(),
		Lost:          c.lost.Load(),
		HandedOver:    c.handedOver.Load(),
		TableReads:    c.tableReads.Load(),
		TableWrites:   c.tableWrites.Load(),
	}
	now := s.opts.Clock()
	for _, o := range s.owned() {
		owned, lapsed, buckets := o.stats(now)
		st.RowsOwned += owned
		st.RowsLapsed += lapsed
		st.Buckets += buckets
	}
	return st
}
