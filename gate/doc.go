// Package gate controls all access to the targets of its host.
//
// Because every request to a target passes through its gate, one process holds
// exact state for the number of requests in flight, the cold-start limit,
// departure, "not run" results and at-most-once execution.
//
// An attempt passes through the following steps. A refusal before the last step
// means that the request was not run.
//
//  1. The ledger refuses attempts whose epoch it no longer covers, duplicates,
//     and attempts that were settled as not run.
//  2. The policy rechecks key, route and data centre against the gate's own
//     configuration, so it is enough that either the ingress or the gate is up
//     to date.
//  3. The target must have announced itself recently, be ready, and be past its
//     takeover delay.
//  4. Requests whose fingerprint is quarantined for crashing targets are
//     refused.
//  5. The concurrency limit admits the attempt, or the fair queue holds it.
//  6. Once a connection is available, the ledger records the attempt as
//     dispatched; only then is the first byte sent.
//
// # Exclusive access to a target
//
// Two gates must never send requests to the same target at the same time,
// because together they would exceed its concurrency limit. A target announces
// itself to exactly one daemon. A gate sends it requests only within
// Options.AnnouncementTTL of the last announcement, and starts serving a new
// target only after Options.TakeoverDelay, which is longer, of uninterrupted
// announcements. If an old and a new daemon overlap on a host, the old daemon's
// announcements have therefore expired before the new one begins. A gate that
// missed announcements for less than TakeoverDelay resumes immediately, since
// no other gate can have started in the meantime. A daemon that knows that its
// predecessor has exited need not wait; see Options.SoleDaemon.
//
// The rule requires the monotonic clock to keep running while a process is
// paused. A gate that is paused between its check and the first byte can still
// send that one request late.
package gate
