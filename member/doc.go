// Package member implements fleet membership: the records of daemons and their
// targets, and the gossip protocol that replicates them.
//
// Membership is eventually consistent and only guides routing decisions. No
// safety property depends on it.
//
// # Protocol
//
// Gossip is a state machine without I/O; the caller transports its messages.
// Once a second a daemon runs an exchange with one of a few neighbours: its
// successor on a hash ring, so that every daemon is probed by some other, and
// several chosen by rendezvous hashing. Each side assigns sequence numbers to
// the changes of its own copies. For each neighbour a daemon keeps the highest
// sequence number processed, so a digest lists only what changed since the
// previous exchange, at a few bytes for each record. The peer requests the
// records that it lacks and receives only the targets that changed. The size of
// a message is bounded; the remainder follows in the next one.
//
// There are no heartbeats. A failed exchange raises a suspicion against one
// version of a record, and suspicions are gossiped like changes. The owner
// refutes a suspicion by raising its version. If it does not do so within the
// suspicion timeout, the member is marked unreachable. Its record is retained,
// because its capacity still counts towards the ejection floor. A link that is
// cut in one direction only is detected by one side only and makes no member
// unreachable.
//
// # Trade-offs
//
// Exchanges with uniformly random partners converge slightly faster, but in a
// fleet of 1,200 daemons a given pair would meet every ten minutes, and the
// changes since the previous exchange would cover nearly all records.
// Heartbeats of 1,200 daemons cost as much traffic as everything else together
// and still detect a failure later than probing does.
package member
