// Package ledger decides whether an attempt may be sent to a target, and
// reports afterwards whether it was.
//
// A gate records an attempt as dispatched before it sends the first byte to the
// target. Only an attempt that was never recorded is certain not to have run.
// Settle asks about an attempt and, if it is not recorded, records a tombstone,
// so that a copy that arrives later is refused.
//
// Memory is bounded by epochs. Each attempt carries the epoch that its sender
// last learnt from the gate. The ledger advances by one generation at a fixed
// interval and covers only the most recent ones; a full ledger advances early.
// An attempt of a generation that is no longer covered, or of another
// incarnation, is refused with the current epoch, however late it arrives.
// Asked about such an attempt, the ledger answers that its state is unknown.
//
// Alternatives considered: timestamps instead of epochs require synchronised
// clocks; retaining IDs indefinitely requires a persistent store. The ledger
// keeps a 16-byte ID and a state per attempt in one map per generation, so that
// dropping a generation is a single step.
//
// The package is deterministic: time is an argument. Callers must serialise
// calls.
package ledger
