// Package limiter enforces the rate and burst of each workspace over the whole
// fleet. It is the service around package limit: the rows of owners in the
// platform's table, the asks between daemons, and the transfer of tokens.
//
// # Algorithm
//
// Take finds the workspace's holders (limit.Layout) and asks the owner of its
// shard in the nearest one. Concurrent asks to the same owner share a message.
// An owner that is short pulls tokens from the owners of other data centres
// before it refuses; an owner that can't be reached is passed over for that of
// another data centre. A reply older than Options.ReplyBound is dropped, so an
// owner that was paused between its lease check and its reply gives nothing.
//
// Only the first candidates of a row by rendezvous hashing read it. Everybody
// else finds the owner by asking the first candidate, which redirects.
//
// # Trade-offs
//
// Each request costs a message to an owner unless the owner is this process or
// the ask shares a message. In return a grant is exact: no daemon holds tokens
// of its own that would be stranded when it stops.
package limiter
