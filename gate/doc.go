// Package gate is the only door to the targets of its host.
//
// Because every request to a target passes its gate, the number of requests in
// flight, the limit of a cold target, departure, "not run" and at-most-once
// are exact facts of one process.
//
// An attempt passes these steps; a refusal before the last one is "not run":
//
//  1. The ledger refuses attempts of epochs it does not cover, duplicates, and
//     attempts that were settled as not run.
//  2. The policy checks key, route and data centre again by the gate's own
//     configuration, so that either end being up to date suffices.
//  3. The target must be announced, ready, and within the gate's permission.
//  4. Requests known to crash targets are refused.
//  5. The concurrency limit admits the attempt, or the fair queue holds it.
//  6. When a connection is at hand, the ledger enters the attempt as
//     dispatched; then the first byte goes out.
//
// # Permission
//
// Two gates must not feed one target, or its limit would be passed. A target
// announces to exactly one daemon. A gate feeds it only within
// Options.Permission of the last announcement, and begins with a new target
// only after Options.Wait, which is longer, of unbroken announcements. When an
// old and a new daemon overlap on a host, the permission of the old one has
// lapsed before the new one begins. A gate that missed announcements for less
// than Wait resumes at once, since nobody else can have begun meanwhile. A
// daemon that knows its predecessor to be gone need not wait; see
// Options.Alone. The rule counts on the monotonic clock running while a
// process is paused, and a gate paused between its check and its first byte
// sends that one request late.
package gate
