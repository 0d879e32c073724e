package admission

import "time"

// Bounds of the advice when to come back.
const (
	// minRetryAfter is a few times the way to a gate and back, so that a refused
	// caller does not return to the same line.
	minRetryAfter = 200 * time.Millisecond
	// maxRetryAfter stays below a third of the patience of most callers, who
	// would not come back after that.
	maxRetryAfter = 3 * time.Second
	// retryAfterPerPriority lets more urgent callers come back first.
	retryAfterPerPriority = 150 * time.Millisecond
	// LastPriority ranks requests whose route is not known.
	LastPriority = 3
)

// ComeBack chooses when a refused caller should try again: after the hint, the
// urgent before others, and not all at once. spread is uniform in [0, 1).
func ComeBack(hint time.Duration, priority int, spread float64) time.Duration {
	base := min(max(hint, minRetryAfter), maxRetryAfter) + time.Duration(min(max(priority, 0), LastPriority))*retryAfterPerPriority
	return base + time.Duration(spread*float64(base)/2)
}
