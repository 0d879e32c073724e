// Package limit implements the decisions of fleet-wide rate limiting: token
// buckets split across data centres, the leases of their owners, and the
// transfer of tokens between owners. It does no I/O and takes the time as an
// argument.
//
// # Algorithm
//
// Workspaces are hashed to shards. Each shard has Replicas holders in each data
// centre. Each pair of shard and holder has one owner daemon, recorded in a row
// of the platform's table. An owner's bucket of a workspace fills at
// rate·share·fraction up to burst·share·fraction, where the shares of a
// workspace sum to 1 over its holders (Layout) and the fraction is determined
// by the owner's lease (Lease).
//
// The sum of all levels and of all tokens in transit never exceeds the burst,
// because
//   - a bucket starts empty, or with a level handed over by its former owner;
//   - a sender deducts tokens before it sends them, and the receiver has
//     reserved room for them before it requests them;
//   - tokens that arrive after the reservation has ended are discarded.
//
// Therefore the grants in any window of length t are at most rate·t + burst.
//
// # Leases
//
// An owner counts its lease from the start of its last successful renewal.
// After the lease has expired it may still use the grace fraction of what it
// held, for a grace period of hours, so that a table outage does not stop
// service. A new owner first waits until it has seen the row unchanged for a
// whole lease duration by its own clock. It then gets only the remainder until
// the grace period ends or the former owner is known to have stopped.
//
// # Trade-offs
//
// A failed owner makes the grace fraction of its share unavailable for the
// grace period. A table outage makes the remainder unavailable for as long as
// it lasts. Tokens lost in transfers and buckets that start empty cause
// refusals that an exact central counter would not cause, but never too many
// grants.
//
// The replicas of a data centre double the rows and the fractions of tokens
// that cannot be granted. In return a workspace whose burst is large enough is
// served in a table outage as long as one of all their owners has not been
// restarted: a restarted owner grants nothing before it has read its row.
package limit
