// Package overload tests one daemon, as a process, against callers that keep to none of
// the documented limits.
//
// Each test starts `gooseberryshedd host` on loopback addresses with a low memory limit
// and few descriptors in its settings, a stand-in store and a stand-in target, and a crowd
// of clients. The tests check that the process lives, that its memory (VmHWM) and its
// open descriptors stay under a bound, and that an ordinary request is answered. They
// check no times and no share of served requests, which depend on the machine's speed.
//
// The tests of the package run one after another. Run them apart from other load:
//
//	go test -p 1 -count 1 ./internal/overload
package overload
