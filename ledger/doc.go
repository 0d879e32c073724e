// Package ledger decides whether an attempt may go to a target, and says
// afterwards whether it did.
//
// A gate enters an attempt as dispatched before the first byte goes to the
// target. Only an attempt that was never entered has certainly not run. Settle
// asks about an attempt and, when it is not entered, enters a tombstone, so
// that a copy still under way is refused when it arrives.
//
// Memory is bounded by epochs. Each attempt carries the epoch that its sender
// learnt from the gate. The ledger rises by one generation at a fixed interval
// and covers only the last few; a full ledger rises early. An attempt of a
// generation that is no longer covered, or of another incarnation, is refused
// with the current epoch, however late it arrives. Asked about such an
// attempt, the ledger answers that nobody can tell.
//
// Weighed against this: timestamps in attempts instead of epochs need clocks
// that agree; keeping ids for ever needs a store. A 16-byte id and a state per
// attempt are kept in one map per generation, so that forgetting a generation
// is one step.
//
// The package is pure: time is an argument, and the caller serialises calls.
package ledger
