// Package measure drives the pure decision packages with a small
// discrete-event model of one service, so that benchmarks can compare them
// with simpler rules. It models queues and service times only; there are no
// processes, sockets or clocks.
package measure
