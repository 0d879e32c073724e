// Package eject implements outlier detection: it decides which targets are taken
// out of use because they fail requests or answer slowly.
//
// Detection and ejection are separate. The gate of a target runs a Detector on
// the target's real traffic. Health and load endpoints are not used, because
// they lag behind and can report a failing target as healthy. The detector keeps
// cumulative sums (CUSUM) of the log-likelihood ratios of two Bernoulli
// variables: whether a request failed, and whether it took longer than a
// multiple of the latency of the service's other targets. The sums are bounded
// below by zero, so past good service does not delay detection, and each bad
// sample raises them. A few dozen samples suffice, while short bursts do not
// raise suspicion. The result is published in the target's record.
//
// Select is a pure function of all records of a service. It ejects the worst
// suspects first and stops at the floor, the minimum share of the capacity that
// stays in use. Unreachable members count towards the announced capacity but not
// as available, so a loss of membership can only reduce the number of ejections.
// Daemons that have the same records but reach different members eject subsets
// of one set, so their ejections together keep the floor. Daemons with different
// records may eject different targets until gossip has converged; each of them
// alone keeps the floor of the capacity it knows of, or ejects nothing.
//
// Alternatives: counting consecutive failures never detects a target that fails
// one request in five. Comparing failure rates over time windows needs more
// samples than six targets serve at night. A fault that affects the whole
// service shifts the baseline as well, so it does not raise suspicion once the
// other targets' records have arrived; until then the confirmation time delays
// it.
package eject
