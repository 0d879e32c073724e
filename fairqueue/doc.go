// Package fairqueue orders the requests that wait at one target: deficit round
// robin by workspace, each with its weight.
//
// The queue is bounded. When it is full, a request of a workspace below its
// share takes the place of the newest request of the workspace that is
// furthest above its own, so a busy workspace cannot fill the queue against
// the others, yet may use all of it alone. A request whose expected wait
// passes its deadline is refused on arrival, when refusing costs least.
//
// Weighed against this: a single FIFO serves workspaces in proportion to what
// they send; a fixed share per workspace leaves places empty and needs the
// number of workspaces beforehand.
//
// The package is pure: time is an argument, and the caller serialises calls.
package fairqueue
