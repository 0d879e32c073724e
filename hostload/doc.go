// Package hostload tells how short a host is of processor and link.
//
// Problem: hosts have 0.16 to 0.8 of a core and links of 10 to 200 Mbit/s. A gate on
// a host that is short of either delays every request, although its target has free slots.
//
// Load: requests of a few KB at some ten a second, some with answers of 60 KB and
// more.
//
// Algorithm: two means over two seconds. The lateness of a timer shows a short
// processor: a process that has used up its share is held back for tens of milliseconds.
// The share of time in which writes of large answers to other daemons are blocked shows a
// short link; those daemons read at once. Each becomes a shortage between 0 (none) and 1,
// and the larger one counts. It is rounded to tenths and is 0 below minShortage, so that
// an ordinary host states none. One long pause of the process counts as a bounded lateness.
//
// Alternatives: processor time against the share that the process may use needs that
// share, which the settings do not state and which the target on the host uses as well.
// Answers to callers are no measure of the link, as callers may read slowly.
package hostload
