// Package control maintains a daemon's view of the fleet and of the
// configuration.
//
// One goroutine, the control loop, owns the state and applies events to it
// sequentially. Worker goroutines do the I/O: they run gossip exchanges, read the
// table and fetch configuration, and pass the results to the loop as events.
// After a change the loop publishes an immutable Snapshot, which request
// goroutines read without locks.
//
// # Configuration
//
// The head revision in the table is read every two seconds. In addition, each
// message between daemons carries the sender's revision, and a daemon that is
// behind fetches the missing changes immediately, from the peer that is ahead or
// else from the table. A revision is adopted only if it is higher than the
// current one, so a daemon never rolls back. A daemon that starts adopts the
// highest revision that the table and its peers offer. A read of the table, own
// or reported by a peer, counts as evidence of freshness only if the revision
// that goes with it is in force here. A daemon that cannot fetch a higher
// revision therefore becomes stale and stops serving.
//
// # Freshness
//
// A daemon serves while its knowledge is up to date; package freshness defines
// the rule. A change accepted by the fleet can go unnoticed by a serving daemon
// for no longer than the freshness bound, unless the table is unavailable to all
// members, in which case no change can be accepted.
package control
