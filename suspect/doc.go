// Package suspect identifies requests that crash the targets that run them.
//
// When a target dies, the fingerprints of its in-flight requests become
// suspects. A fingerprint that was in flight at DeathThreshold distinct deaths
// is quarantined for some minutes, and for longer with each further death. A
// success of the same fingerprint clears it of all deaths known until then, so
// requests that merely ran alongside the culprit are cleared as soon as they
// succeed elsewhere. A suspected request can be run only at a target with no
// other request in flight.
//
// An Entry is a join-semilattice: the join unites the deaths, keeps a bounded
// number of the latest ones, and a death that is cleared in one copy is cleared
// in the join. Entries can therefore be passed on and merged in any order, any
// number of times. A Report is the form in which one host tells another of a
// death, and Reports is what a host that starts is told, since its registry
// ended with its former process.
//
// Trade-offs: quarantine after one death would refuse every request that ran
// alongside the culprit; quarantine after three costs one more target than after
// two and is safer for requests that many callers repeat. A popular harmless
// fingerprint that is in flight at that many deaths without a success in between
// is quarantined. A success clears deaths by name, not those before some time:
// the clocks of hosts differ, and one that is ahead would clear later deaths as
// well. A death that is reported only after a success therefore counts.
// Reports state ages, which are longer on arrival by the time on the way; that
// only shifts when a quarantine ends.
package suspect
