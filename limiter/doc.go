// Package limiter enforces the rate and burst of each workspace across the
// whole fleet. It is the service around package limit: the ownership rows in
// the platform's table, the RPCs between daemons and the transfer of tokens.
//
// # Algorithm
//
// Take determines the data centres that hold shares of the workspace
// (limit.Layout) and requests a token from the owner of its shard in the
// nearest one. Concurrent requests to the same owner are batched into one RPC.
// An owner without tokens pulls some from the owners in other data centres
// before it denies a request. An owner that cannot be reached is skipped in
// favour of the owner in another data centre. A reply older than
// Options.MaxReplyAge is dropped, so an owner that was paused between its lease
// check and its reply grants nothing.
//
// Only the first candidates of a row by rendezvous hashing read it. All other
// daemons find the owner by calling the first candidate, which redirects them.
//
// # Trade-offs
//
// Each request costs an RPC to an owner, unless the owner is this process or
// the request shares a batch. In return a grant is exact: no daemon holds
// preallocated tokens that would be lost when it stops.
package limiter
