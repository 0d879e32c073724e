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
// its peers offer. One that knows of a higher revision and cannot get it for
// some seconds stops serving.
//
// # Being in touch
//
// A daemon serves while it is in touch; package freshness has the rule. What
// the fleet has accepted in the meantime cannot have escaped it for longer than
// the bound, unless the table is out for everybody and nothing can be accepted.
package control
