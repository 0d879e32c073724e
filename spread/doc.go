// Package spread decides from whom the hosts of a data centre take a change that one of them
// has.
//
// The load that it answers: up to a hundred hosts learn of a change at the same moment and ask
// the host that told them for it, over a link of 10 Mbit/s. If it served all of them at once,
// each would have the change only when the link has carried it a hundred times.
//
// Algorithm: a host serves a few at a time, and the others wait in a line. When one of those
// served has the change, half of the line is sent on to it, where they wait in its own line.
// The number of hosts that have the change so doubles with each transfer.
//
// Weighed: a tree that all hosts derive from the list of hosts needs no line, but hosts with
// different lists wait for each other, and a frozen host withholds the change from all below
// it. Refusing with a time at which to ask again costs a request each time and leaves the link
// idle in between. Small responses need no line: those of all hosts together take less time
// than a round of it.
package spread
