// Package supervise runs the long-lived parts of a daemon as a tree.
//
// Children start in the order given and stop in reverse order, each awaited
// before the next is told to stop. A child that fails or panics is restarted
// after a growing pause, the others keep running. A child that fails too often
// ends the whole tree, so that the process is replaced instead of limping on.
package supervise
