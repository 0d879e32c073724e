package admission

import "time"

// Bounds of the advice when to come back.
const (
	// leastComeBack is a few times the way to a gate and back, so that a refused
	// caller does not return to the same line.
	leastComeBack = 200 * time.Millisecond
	// mostComeBack stays below a third of the patience of most callers, who
	// would not come back after that.
	mostComeBack = 3 * time.Second
	// priorityStep lets more urgent callers come back first.
	priorityStep = 150 * time.Millisecond
	// LastPriority ranks requests whose route is not known.
	LastPriority = 3
)

// ComeBack chooses when a refused caller should try again: after the hint, the
// urgent before others, and not all at once. spread is uniform in [0, 1).
func ComeBack(hint time.Duration, priority int, spread float64) time.Duration {
	base := min(max(hint, leastComeBack), mostComeBack) + time.Duration(min(max(priority, 0), LastPriority))*priorityStep
	return base + time.Duration(spread*float64(base)/2)
}
