package retry

import "sync"

// Charge accounts for the retries of one request. The budget bounds the arrivals
// at targets beyond the first of each request, but a retry must be withdrawn
// before it is known whether its attempt will arrive, and whether an earlier one
// will: an attempt that waits in a queue may be superseded by its hedge. It is safe
// for concurrent use.
type Charge struct {
	mu sync.Mutex
	// taken and returned count retries, running and arrived attempts.
	taken, returned, running, arrived int
}

// Start records the start of an attempt, for which a retry has been withdrawn from
// the budget if charged is set.
func (c *Charge) Start(charged bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running++
	if charged {
		c.taken++
	}
}

// End records the end of an attempt and whether it arrived at a target. It returns
// the number of retries to refund: those that the request cannot use any more, even
// if all attempts in progress arrive.
func (c *Charge) End(arrived bool) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running--
	if arrived {
		c.arrived++
	}
	used := max(c.arrived+c.running-1, 0)
	refund := max(c.taken-c.returned-used, 0)
	c.returned += refund
	return refund
}
