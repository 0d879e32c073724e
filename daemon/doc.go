// Package daemon assembles the components of gooseberryshedd and runs them in a
// supervisor tree.
//
// A graceful shutdown takes these steps, so that no request is interrupted or
// lost:
//
//  1. The member record changes to "leaving", the readiness check fails, and the
//     change is propagated to peers immediately. Responses ask callers to
//     reconnect to another host.
//  2. The shards of the rate limiter are handed over.
//  3. After a grace period in which peers learn of the change, the gate refuses
//     new attempts as "not run" and completes those in flight.
//  4. The callers' listener closes when all connections have ended, or after a
//     timeout.
//  5. The member record changes to "left", the member row is removed, and the
//     supervisor tree stops.
package daemon
