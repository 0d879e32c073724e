// Package freshness decides whether a daemon's knowledge of the table is recent
// enough to serve routes that require a key.
//
// A revoked key must stop working within seconds, even at a daemon that is
// partitioned from the fleet. Yet service must continue when the table is
// unavailable for hours. The rules are:
//
//  1. A daemon is fresh while it, or a peer that it has exchanged messages with,
//     has read the table within MaxAge. A peer reports the age of its last
//     read. The requester counts that age from the start of the exchange, so
//     that the time of the exchange never makes a read look more recent than it
//     is. Only the local monotonic clock is used.
//  2. A daemon that is about to become stale queries a sample of members in each
//     data centre. A fresh member makes it fresh.
//  3. If a majority of the sampled members responded in a majority of the data
//     centres, and none of them is fresh, the table is considered unavailable.
//     No key can be revoked then, so the daemon keeps serving.
//  4. Otherwise the daemon is considered partitioned and rejects the requests.
//
// # Known limitation
//
// Rule 3 mistakes a partition for a table outage if the table can be read only
// from a minority of the data centres and that minority is partitioned from this
// daemon. A key revoked there keeps working here until either partition heals.
// The same applies within a data centre if only members outside the sample can
// read the table and gossip between them and the sampled members is cut as well.
// Rejecting requests in that situation would turn every outage of the table into
// an outage of the service.
//
// # Alternatives considered
//
// A plain lease on the table (rule 1 alone) stops all service when the table is
// down. Serving unconditionally lets a partitioned daemon accept revoked keys
// for as long as the partition lasts. Querying a single peer mistakes a small
// partition for the fleet.
package freshness
