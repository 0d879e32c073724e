// Package suspect finds requests that crash the targets that run them.
//
// When a target dies, the fingerprints of the requests that it had in flight
// come under suspicion. A suspected request is run beside no other. One that
// was in flight at two distinct deaths is quarantined for minutes, longer with
// each further death. A success of the same fingerprint clears it of all
// earlier deaths, so requests that only happened to be neighbours are cleared
// as soon as they run anywhere else.
//
// An Entry is a join-semilattice: deaths unite, the latest bounded number of
// them is kept, and the latest success wins. Entries may thus be spread and
// merged in any order, any number of times.
//
// Trade-offs: quarantine after one death would refuse all neighbours of a
// crash; after three it would cost one more target. A popular fingerprint that
// is in flight at two deaths with no success between is quarantined although
// it is harmless. Running suspects alone makes that rare, because the first
// repetition clears it. Times are those of different hosts; a clock that is
// ahead may clear a death that came later, which costs one more death.
package suspect
