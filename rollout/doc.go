// Package rollout decides how the traffic of a service moves to another version.
//
// Problem: a new version may be bad: part of its answers fail or take several times
// as long, at once, after some seconds, under load or on one route. Callers may be
// exposed to such a version only by a stated share of the service's requests, and a
// good version must have all traffic before the deadline of its order.
//
// Load: some tens to hundreds of requests a second over tens of targets of either
// version, a deadline of ten seconds or more, hosts that lose each other and the
// store, and hosts that are all killed at once.
//
// Algorithm: a Controller on one host moves through the phases Canary, Ramp and
// Withdraw to Completed or RolledBack. In Canary two targets of the new version
// serve as many requests as they have slots for, within an exposure budget that grows
// with the requests of the service. Most of the time is spent there, because some
// versions turn bad late. In Ramp the share of the requests offered to the new
// version first rises in steps while all targets still serve. In Withdraw the old
// targets refuse new requests and finish those they hold. Answers are evaluated by
// cumulative sums of log-likelihood ratios (CUSUM), for failures and for slow
// answers, per route and over all routes. The old version over the same time gives
// the expected shares. An answer is slow if it takes slowFactor times the median of
// the old version on its route, so that few samples suffice.
//
// Allowances: the Gate of each target enforces them. Its limit is the number of
// requests that it may have sent so far. Raising a limit is charged to the budget,
// and the charged total is written to the state's row before the limit is raised.
// So the sum of all limits stays within the budget over any sequence of lost
// messages, restarts and takeovers.
//
// Alternatives: a fixed sample size decides later on bad versions, and a comparison
// of mean latencies misses a version that is slow on a part of its answers. Returning
// unused allowances needs agreement with gates that may be cut off; instead few
// targets receive allowances at a time.
package rollout
