// Package soak runs the platform's daemons as processes under random faults and
// checks the promises of the pages from what callers and targets see.
//
// Each run is drawn from a seed: which process is killed, stopped, frozen or
// started, what the store and the targets do wrong, and when the configuration
// changes. Faults overlap. Store and targets are played by the test's process;
// the daemons are the real program. Only processes that the soak started are
// signalled, by their ids.
//
//	go test ./internal/soak -soak.seed 7 -soak.time 30s -soak.hosts 5
//
// It prints the seed first and the schedule when a promise is broken.
package soak
