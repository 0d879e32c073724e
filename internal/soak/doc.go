// Package soak runs daemons as processes under random fault injection and checks
// the documented guarantees against what callers and targets observe.
//
// The seed of a run determines which processes are killed, stopped, frozen or
// started, which faults the store, the network and the targets have, and when the
// configuration changes. Faults may overlap. The daemons are the production binary;
// the store and the targets run in the test process. Only processes that the test
// started are signalled, by process id.
//
//	go test ./internal/soak -soak.seed 7 -soak.time 30s -soak.hosts 5
//
// It logs the seed first, and the schedule of faults if a guarantee is violated.
package soak
