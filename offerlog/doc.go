// Package offerlog decides what is known of a request that an ingress offers to gates, and of
// an attempt at a gate. It is the one place that says "not run".
//
// Load: connections between hosts go silent or are cut for seconds while targets work. An
// ingress then sends an offer again, several times, and a gate gets transmissions of one
// attempt that are late, doubled or out of order, while its target comes and goes. A caller
// sends an order again if it is told that it has not run, so a single wrong "not run" makes an
// order run twice.
//
// Algorithm: both records only grow.
//
// The record of an offer at the ingress (Offer) goes from offered over possibly sent and sent
// to finished. A loss or a refusal of one transmission says nothing about the others. An offer
// is finished as not run if its only transmission was refused, or if the gate's record says
// that the attempt was not sent and will not be: by a refusal that is marked as settled, or in
// answer to a withdrawal. A request (Request) has not run if that holds for all its offers.
//
// The record of an attempt at a gate (Gate) counts the transmissions to the target that have
// no result. An attempt was sent while one is open or after one may have run. It is asked
// before any other reason to refuse. A withdrawn attempt is never sent. Records outlive the
// deadline of their attempt. A process that has restarted has no records: it knows the attempts
// of an earlier process, which are named by its incarnation, as unknown.
//
// A transmission belongs to the process that accepted its connection. An ingress that withdraws
// an offer therefore begins no first transmission of it from then on, as a later process of the
// gate would not know of the withdrawal. Later transmissions carry the incarnation of the
// process that the first one was meant for.
//
// Alternatives: a run state in each refusal, combined by the ingress, was used before. It needs
// every check of a gate to know of all others, and five checks that came first answered "not
// run" for an attempt that had run. A durable ledger at the gate would also answer after a
// restart, at the cost of a write for each order; a restart during an order is rare and ends
// with "unknown". A settlement by withdrawal after every refused repeat needs no mark in the
// refusal, but fails where datagrams are lost and connections are not.
package offerlog
