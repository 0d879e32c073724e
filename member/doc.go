// Package member holds what daemons know of each other: records of daemons
// and their targets, and the gossip that spreads them.
//
// Membership only steers choices. Nothing that must hold rests on it.
//
// # Algorithm
//
// Gossip is a pure state machine; a shell carries its messages. Once a second a
// daemon exchanges with one of a few neighbours: its successor on a hash ring,
// so that each daemon has somebody who probes it, and some by rendezvous
// hashing. Both sides number the changes of their own copy. With each
// neighbour a daemon remembers how far it has seen that one's numbers, so an
// exchange lists only what is new since the last one, a few bytes for each
// record. The other side asks for what it lacks and gets only the targets that
// changed. A message is bounded; what does not fit follows in the next one.
//
// There is no heartbeat. A failed exchange raises a suspicion of one version
// of a record, which spreads like a change. The owner refutes it by raising
// its version; when it does not within the suspicion time, the member counts
// as unreachable but is kept, because its capacity still counts for the floor.
// A link cut one way is thus seen by one side only and makes nobody
// unreachable.
//
// # Trade-offs
//
// Exchanges with uniformly random partners converge a little faster, but a
// pair of 1,200 would meet every ten minutes, and the list of changes since
// then is nearly the whole table. Heartbeats of 1,200 daemons cost as much as
// all other traffic together and still detect a failure later than a probe.
package member
