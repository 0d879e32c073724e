// Package claim makes requests that carry an Idempotency-Key run at most once
// in the whole fleet, whichever daemon a resend reaches.
//
// # Algorithm
//
// Before a request is dispatched, a row named by workspace and key is inserted
// into the platform's table on condition that it does not exist. The row names
// the attempt that may run. After the answer the row keeps it, and a resend
// gets it replayed. A resend that finds the row open is told which attempt to
// settle; when that attempt did not run and never will, TakeOver replaces it on
// condition that the row has not changed. A key with another request's digest
// is a mismatch.
//
// Each row carries a random token of the claim that wrote it. When a commit's
// reply is lost, reading the token back tells whether it took effect. While the
// table is out nothing is claimed, so such requests are refused, not run.
//
// Writes of one daemon share transactions (group commit): each has its own
// precondition, and those that conflict are dropped from the transaction while
// the others are tried again.
//
// # Trade-offs
//
// A keyed request costs two table writes, fewer when they share transactions,
// and waits for the first. In return no daemon needs to know which other daemon
// saw the key before.
package claim
