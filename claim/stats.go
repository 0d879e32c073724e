package claim

import "sync/atomic"

// Stats counts the store's work since its start.
type Stats struct {
	Begun      int64 `json:"begun"`
	Proceeded  int64 `json:"proceeded"`
	Replays    int64 `json:"replays"`
	InProgress int64 `json:"in_progress"`
	Mismatches int64 `json:"mismatches"`
	Takeovers  int64 `json:"takeovers"`
	// StoreOut counts operations that the table did not confirm.
	StoreOut int64 `json:"store_out"`
	// Lost counts last writes that failed because another daemon had taken over
	// the claim.
	Lost         int64 `json:"lost"`
	Reads        int64 `json:"reads"`
	Swept        int64 `json:"swept"`
	Transactions int64 `json:"transactions"`
	Rows         int64 `json:"rows"`
	Conflicts    int64 `json:"conflicts"`
	// Unsettled is the current number of deferred writes.
	Unsettled int64 `json:"unsettled"`
	// Dropped counts writes that were not deferred because the queue was full.
	Dropped int64 `json:"dropped"`
}

type counters struct {
	begun, proceeded, replays, inProgress atomic.Int64
	mismatches, takeovers                 atomic.Int64
	unconfirmed, takenOver, reads, swept  atomic.Int64
}

// Stats returns the current counters.
func (s *Store) Stats() Stats {
	c := &s.counters
	waiting, dropped := s.deferred.count()
	return Stats{
		Begun:        c.begun.Load(),
		Proceeded:    c.proceeded.Load(),
		Replays:      c.replays.Load(),
		InProgress:   c.inProgress.Load(),
		Mismatches:   c.mismatches.Load(),
		Takeovers:    c.takeovers.Load(),
		StoreOut:     c.unconfirmed.Load(),
		Lost:         c.takenOver.Load(),
		Reads:        c.reads.Load(),
		Swept:        c.swept.Load(),
		Transactions: s.committer.txns.Load(),
		Rows:         s.committer.rows.Load(),
		Conflicts:    s.committer.conflicts.Load(),
		Unsettled:    waiting,
		Dropped:      dropped,
	}
}
