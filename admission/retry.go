package admission

import "time"

// Bounds of the delay before a retry.
const (
	// minRetryAfter is a few times the round trip to a gate, so that a refused
	// caller does not retry while the queue is unchanged.
	minRetryAfter = 200 * time.Millisecond
	// maxRetryAfter is less than a third of the timeout of most callers, who
	// would not retry after that.
	maxRetryAfter = 3 * time.Second
	// retryAfterPerPriority is the additional delay per priority, so that more
	// urgent requests are retried first.
	retryAfterPerPriority = 150 * time.Millisecond
	// LowestPriority is the least urgent priority. It is used for requests whose
	// route is not known.
	LowestPriority = 3
)

// RetryDelay returns the delay after which a refused caller should retry: at
// least the hint within the bounds, less for more urgent priorities, and with
// jitter. spread is uniform in [0, 1).
func RetryDelay(hint time.Duration, priority int, spread float64) time.Duration {
	base := min(max(hint, minRetryAfter), maxRetryAfter) + time.Duration(min(max(priority, 0), LowestPriority))*retryAfterPerPriority
	return base + time.Duration(spread*float64(base)/2)
}
