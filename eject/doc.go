// Package eject decides which targets are taken out of use because they serve
// badly.
//
// Evidence and decision are apart. The gate of a target runs a Detector on its
// real traffic; health and load endpoints are no evidence, as they lag and
// mislead. The detector is a cumulative sum (CUSUM) of log-likelihood ratios
// of two Bernoulli variables: failed, and slower than a multiple of what the
// service's other targets need. A sum forgets good service at once and grows
// with each bad sample, so that a few dozen samples suffice and short bursts
// do not. The verdict travels in the target's record.
//
// Set is a pure function of all records of a service. It ejects the worst
// suspects first and stops at the floor. Unreachable members count in the
// announced capacity but not as available, so that lost membership makes Set
// more careful, never less. Deciders with the same records who differ in what
// they can reach eject subsets of one set, which together leave the floor.
// Deciders with different records may eject different targets until gossip has
// converged; each alone leaves at least the floor of what it knows, or ejects
// nobody.
//
// Trade-offs: consecutive failures never see a target that fails one request
// in five; outlier rates over windows need more samples than six workers give
// at night. Trouble of the whole service moves the reference with it and
// raises no suspicion once the other targets' records have arrived; until
// then the confirmation time holds verdicts back.
package eject
