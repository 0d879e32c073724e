// Package balance is the load balancer of an ingress: it chooses the target of
// each attempt.
//
// The algorithm is power of two choices: of two random targets the one with the
// lower occupancy (estimated requests in flight divided by the concurrency
// limit) is used. Targets in the ingress's own data centre come first, then
// those of the same region, then all others; a request moves on to the next
// tier when no target of the current one has capacity. Gates report their
// requests in flight with each response. The weight of a report decays with its
// age, and the ingress's own requests in flight are always added, so a stale
// report does not attract or repel traffic for long.
//
// Alternatives: with least-loaded selection over all targets, every ingress
// picks the same target while reports are stale. Selection by average latency
// favours targets that fail fast and has too few samples at 7 slots per target.
// Power of two choices needs only rough estimates. The benchmarks compare it
// with both.
//
// Each ingress uses a deterministic subset of the hosts of a service, ranked
// by rendezvous hashing on the pair (ingress, host). The rank does not depend
// on the service, so that the subsets of different services overlap and the
// number of connections stays bounded.
//
// All types except LoadTracker and HostBackoff are immutable; those two are safe
// for concurrent use. The current time is always passed as an argument.
package balance
