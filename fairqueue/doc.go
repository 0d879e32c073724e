// Package fairqueue orders the requests that wait at one target, so that each
// workspace gets the target's time in proportion to its weight.
//
// The next request is one of the workspace that has the fewest requests being
// served for its weight; among equals, of the one that lately used the least
// time for its weight; and among those, deficit round robin decides. Counting
// time shares the target's time: with round robin alone, a workspace whose
// requests take ten times as long would get ten times the time. What is being
// served counts first because it is known before the time is spent; the time
// used decides where few are served at once, as at a cold target.
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
