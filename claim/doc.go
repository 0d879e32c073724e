// Package claim makes requests that carry an Idempotency-Key run at most once
// in the whole fleet, whichever daemon receives a retry.
//
// # Algorithm
//
// Before a request is dispatched, a row identified by workspace and key is
// inserted into the platform's table on the condition that it does not exist.
// The row names the attempt that may run. The response is then stored in the
// row and replayed to retries. A retry that finds a row without a response is
// told which attempt to settle. If that attempt did not run and never will,
// TakeOver replaces it on the condition that the row has not changed. A key
// that was used with a different request digest is reported as a mismatch.
//
// Each row carries a random token of the claim that wrote it. If the outcome of
// a commit is uncertain, the token in the row tells whether it took effect.
// During a table outage nothing can be claimed, so keyed requests are refused
// without running.
//
// Writes of one daemon share transactions (group commit). Each write has its
// own precondition. Those that conflict are removed from the transaction and
// the others are retried.
//
// # Trade-offs
//
// A keyed request costs two row writes, which may share transactions with
// others, and waits for the first one. In return no daemon needs to know which
// other daemon has received the key before.
package claim
