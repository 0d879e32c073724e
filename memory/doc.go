// Package memory decides who may take memory of a process, and whose connection is closed
// when memory is short.
//
// The load that it answers: clients that keep to no limit open many connections, send
// bodies that stop short of their end, or read long answers slowly, until the process
// exceeds the memory of its machine and is ended by the platform.
//
// Algorithm: one Account for a process. Connections, headers, bodies, answers and retained
// replies take bytes before they allocate them and return them when they are done. What is
// larger than SmallBytes may use only a part of the account, so that large bodies and
// answers cannot keep small ones out. When a claim does not fit, the connections whose
// bodies or answers move most slowly are closed, slowest first, provided that they have
// been moving for MinAge at less than SlowRate and that closing them makes enough room.
// Otherwise the claim is refused and nobody is closed. An idle connection is never closed
// to make room; one that has not sent a request for MinAge is, when connections are short.
//
// Weighed and not taken:
//
//   - a budget for each kind of use: the shares must add up to the memory, so that each is
//     too small for one large request, and what is in no budget is not bounded at all;
//   - the largest user first: a legitimate upload is larger than a body of an attacker;
//   - the oldest user first: a slow link makes a legitimate answer old;
//   - to stop reading: bytes that the kernel has received count against the process too.
//
// The package reads no clock and closes nothing: times are passed in, and the connections
// to close are returned.
package memory
