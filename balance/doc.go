// Package balance chooses the target of an attempt.
//
// Choice is by power of two choices over the occupancy (estimated requests in
// flight divided by the limit) of targets in the ingress's own data centre;
// when those have no room, over the targets of the other data centres. Gates
// report the requests in flight on each answer. A report decays with its age,
// and the requests that this ingress itself has in flight are always added, so
// a stale report neither attracts nor repels traffic for long.
//
// Trade-offs: comparing all targets would send every ingress to the same one
// while reports are stale; a latency average favours targets that fail fast
// and has too few samples at 7 slots. Two random choices need only a rough
// estimate and are compared with both in the benchmarks.
//
// Each ingress uses a deterministic subset of the hosts of a service, ranked
// by rendezvous hashing on the pair (ingress, host). The rank does not depend
// on the service, so that the subsets of many services overlap and the number
// of connections stays bounded.
//
// Everything but Loads and Avoid is immutable; those two are safe for
// concurrent use. Time is always an argument.
package balance
