// Package gray detects gray failures: it estimates the probability that a target
// is currently failing many of its requests although its health check succeeds.
//
// Problem: episodes of several seconds in which a target hangs or fails most
// requests, on a target that receives a few requests per second. Counting
// failures is too slow in this case, because a hung request fails only at its
// deadline.
//
// Algorithm: a hidden Markov model with two states (healthy, gray) is filtered
// over the target's requests in the order of their starts. A request in flight
// is evidence as well: its age is compared with the distribution of the
// durations of similar requests. A success lowers the probability of the gray
// state, a failure raises it, and between observations it decays to the prior,
// the long-run share of time in the gray state. The filter is recomputed over a
// bounded window on every query, so that the ages of requests in flight are
// always current.
//
// Alternatives: thresholds on age alone need about twice the time to distinguish
// an episode from a slow request, and a moving average of failures detects hangs
// only after the deadline. The cost of the filter is a few dozen multiplications
// per query.
package gray
