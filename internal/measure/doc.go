// Package measure simulates a service with discrete events and runs the decision
// packages (balance, eject, coldstart, admission, member) against it, so that
// benchmarks can compare them with simpler algorithms. It models queues and
// service times only, without processes, sockets or real clocks.
package measure
