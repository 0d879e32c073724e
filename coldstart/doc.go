// Package coldstart implements an adaptive concurrency limit for targets that
// are slow after a start.
//
// A target starts at its service's cold limit and stays there for the service's
// cold time. Below the announced slots the limit is then adjusted after each
// round, a number of successful responses. While the target is slower than when
// warm, the limit does not rise; once a round is as fast as when warm, the limit
// rises by one per round. The warm latency of a new target is taken from the
// service's other targets. If that is not known either, the target is compared
// with itself at lower limits: a round that is much slower than those means that
// the limit exceeds its capacity.
//
// At the full slots a cumulative sum (CUSUM) over slow responses, and over
// requests in flight for longer than a slow response takes, detects a target
// that turns cold without an announced restart. If the other targets have become
// as slow, the requests have become more expensive and the target is not
// considered cold. A new incarnation, an announced restart and repeated shedding
// mark the target cold immediately. The limit then returns to the cold limit.
//
// Latencies are compared by geometric means and a tracked quantile, because
// arithmetic means of a few long-tailed samples vary too much.
//
// Alternatives: a fixed limit overloads a target whose capacity drops. Additive
// increase and multiplicative decrease (AIMD) on single slow responses reacts to
// noise and keeps a warm target far below its slots. Relearning the warm latency
// from responses of a cold target lets the limit rise while the target is still
// cold, so the warm latency is learnt only at the full slots. Raising the limit
// while the target is slower than when warm, but not slower than at lower
// limits, sends more requests to a warming target, many of them beyond its
// capacity. The cost of waiting is unused capacity during the warm-up; for a
// service whose cold targets can serve more, operators set a higher cold limit.
//
// From one target alone, a cold target cannot be distinguished from more
// expensive requests. If no other targets are known, the cold time set by
// operators decides: a target that turned slow without a restart, and is still
// as slow after the cold time, is from then on compared only with itself. If the
// cold time is set too short, a target that turned cold without an announced
// restart gets more requests than its capacity.
package coldstart
