// Package daemon puts the parts of gooseberryshedd together and runs them as a
// supervisor tree.
//
// A planned stop goes in steps, so that no request is cut and none is lost:
//
//  1. The record says "leaving", readiness fails, and neighbours are told at
//     once. Answers to callers ask them to reconnect elsewhere.
//  2. The shards of the rate limiter are handed over.
//  3. After a grace in which peers learn of it, the gate refuses new attempts as
//     "not run" and finishes those that it has.
//  4. The callers' listener closes when the connections have emptied, or after a
//     bound.
//  5. The record says "left", the member row is removed, and the tree stops.
package daemon
