// Package suspect identifies requests that crash the targets that run them.
//
// When a target dies, the fingerprints of its in-flight requests become
// suspects. A suspected request is run only at a target with no other request
// in flight. A fingerprint that was in flight at two distinct deaths is
// quarantined for several minutes, and for longer with each further death. A
// success of the same fingerprint clears it of all earlier deaths, so requests
// that merely ran alongside the culprit are cleared as soon as they succeed
// elsewhere.
//
// An Entry is a join-semilattice: the join unites the deaths, keeps a bounded
// number of the latest ones, and takes the latest success. Entries can
// therefore be gossiped and merged in any order, any number of times.
//
// Trade-offs: quarantine after one death would refuse every request that ran
// alongside the culprit; quarantine after three would cost one more target. A
// popular harmless fingerprint that is in flight at two deaths without a
// success in between is quarantined. Running suspects alone makes that rare,
// because the first retry clears the fingerprint. Timestamps come from
// different hosts: a clock that is ahead may clear a later death, which costs
// one more death.
package suspect
