// Package control owns what a daemon knows of the fleet and of the document.
//
// One goroutine, the loop, holds the state and applies events to it one after
// another. Workers around it do the I/O: they gossip, read the table and fetch
// configuration, and hand their results to the loop. After a change the loop
// publishes an immutable Snapshot, which traffic goroutines read without locks.
//
// # Configuration
//
// The table's head is read every two seconds. Besides, each message between
// daemons carries the sender's revision, and whoever is behind fetches the
// missing changes at once, from the peer that is ahead or else from the table. A
// revision is adopted only if it is higher than the present one, so a daemon
// never goes back. A daemon that starts takes the highest of what the table and
// its peers offer. What a read of the table or a peer's word proves about the
// present counts only when the revision that goes with it is in force here, so a
// daemon that cannot get a higher revision loses touch and stops serving.
//
// # Being in touch
//
// A daemon serves while it is in touch; package freshness has the rule. What
// the fleet has accepted in the meantime cannot have escaped it for longer than
// the bound, unless the table is out for everybody and nothing can be accepted.
package control
