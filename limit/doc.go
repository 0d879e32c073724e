// Package limit holds the decisions of fleet-wide rate limiting: token buckets
// split over data centres, the leases of their owners, and the transfer of
// tokens between owners. It does no I/O and takes the time as an argument.
//
// # Algorithm
//
// Workspaces hash to shards. Each pair of shard and data centre has one owner
// daemon, recorded in a row of the platform's table. An owner's bucket of a
// workspace fills at rate·share·fraction up to burst·share·fraction, where the
// shares of a workspace sum to 1 over the data centres (Layout) and the
// fraction is what the owner's lease gives it (Session).
//
// The sum of all levels and of all tokens under way never exceeds the burst,
// because
//   - a bucket starts empty, or with a level that its former owner gave up;
//   - a giver deducts tokens before it sends them, and the receiver has
//     reserved room for them before it asked;
//   - tokens that arrive after the reservation ended are lost.
//
// Therefore the grants in any window of length t are at most rate·t + burst.
//
// # Leases
//
// An owner counts its lease from the start of its last successful renewal. Past
// the lease it keeps a standing fraction of what it held for a term of hours,
// so that a table outage does not stop service. A taker waits until it has seen
// the row unchanged for a whole lease by its own clock, and holds only the
// remainder until the term ends or the former owner is known to be gone.
//
// # Trade-offs
//
// A lost owner costs the standing fraction of its share for the term; a table
// outage costs the remainder for as long as it lasts. Tokens lost in transfers
// and the empty start of a new owner make refusals that an exact central
// counter would not make, but never a grant too many.
package limit
