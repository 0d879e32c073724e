// Package admission implements admission control for one target: it decides
// which requests run, which are queued, and which are refused immediately.
//
// Problem: for seconds at a time a target receives more requests than it has
// slots, with different priorities, objectives and deadlines.
//
// Algorithm: a request takes a free slot or is queued in one bounded priority
// queue. Nested requests, which are made by requests already running, come
// first, because the work of their parents is wasted if they fail. They are
// followed by more urgent priorities, then by workspaces that recently used no more
// slot time than the others in the queue, then by requests that can still meet their
// objective in the order of their objectives (earliest deadline first), then by
// order of arrival. A request is refused on arrival, or as soon as another one
// overtakes it, if the expected wait leaves too little time for its execution,
// or if waiting would make it miss its objective. A request that has already
// missed its objective may wait as long as no request ahead of it can still meet
// its own. Expected waits take into account the slots that nested requests
// usually use, because future nested requests overtake all others. While a gate has
// just started, as after a restart of the whole fleet, a request that misses its
// objective is kept if less urgent ones are offered. Where a limit on the rate of starts is
// reached (package slowstart), requests are queued as they are for a slot.
//
// Workspaces: in a busy hour most of the capacity would go to the workspace that sends
// most. Of the workspaces in the queue those that used more than the mean come later, by
// steps of a quarter, so that workspaces of about equal use are served by objective
// alone. The use is the slot time at this target and what other hosts tell (Tell),
// since one target serves too few requests of each workspace to compare them. Weighed
// against that: one queue for each workspace in turn (package fairqueue), in which
// objectives count only within a workspace, and limits for each workspace, which leave
// slots unused. docs/design/fair-queue.md has the figures.
//
// Alternatives, compared with the simulated load of internal/measure and on days
// of heavy load: with a FIFO queue, the queue is always full and every request
// waits until it is late (0.27 of the requests served in time where the slots
// allow 0.53; this order serves 0.51). Earliest objective first without refusals
// lets all requests miss their objectives. Ordering by the latest possible start
// was no better than ordering by objective. LIFO order starves requests that can
// wait long.
package admission
