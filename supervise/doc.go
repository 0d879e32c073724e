// Package supervise runs the long-lived components of a daemon in a supervisor tree.
//
// Children start in the order given and stop in reverse order; each has returned
// before the next is stopped. A child that fails or panics is restarted with
// exponential backoff while the others keep running. A child that fails too often
// stops the whole tree, so that the process is restarted instead of running without
// one of its components.
package supervise
