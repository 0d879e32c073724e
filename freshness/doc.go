// Package freshness decides whether a daemon knows enough of the present to
// serve routes that demand a key.
//
// A withdrawn key must stop working within seconds, also at a daemon that is
// cut off; yet the table may be gone for hours while service goes on. The rule:
//
//  1. A daemon is fresh while it, or a peer it has heard from, has read the
//     table within FreshFor. A peer states the age of its knowledge; the time
//     of the exchange is counted from its start, so ages are never
//     understated. Only the local monotonic clock is used.
//  2. A daemon about to turn stale asks a sample of members in each data
//     centre how fresh they are. A fresh one makes it fresh.
//  3. When a majority of the sampled members answered in a majority of the
//     data centres, and none is fresh, the table is out. Nothing can then be
//     withdrawn, and the daemon goes on.
//  4. Otherwise the daemon is out of touch and refuses.
//
// # The hole
//
// Rule 3 mistakes a cut for an outage when the table can be read only from a
// minority of the data centres and that minority is cut off from this daemon.
// A key withdrawn there keeps working here until either cut heals. The same
// holds within a data centre if only members outside the sample can read the
// table and gossip between them and the sampled ones is cut as well. Refusing
// in that case would make every outage of the table an outage of the service.
//
// # Ways weighed
//
// A plain lease on the table (rule 1 alone) stops all service with the table.
// Serving always leaves a daemon that is cut off serving withdrawn keys for as
// long as the cut lasts. Asking one peer mistakes a small island for the fleet.
package freshness
