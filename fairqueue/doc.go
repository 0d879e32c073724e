// Package fairqueue implements weighted fair queuing of the requests that wait
// for one target: each workspace gets a share of the target's service time in
// proportion to its weight.
//
// The next request comes from the workspace with the fewest requests in service
// relative to its weight; among equals, from the one that recently used the
// least service time relative to its weight; and among those, deficit round
// robin decides. With round robin alone, a workspace whose requests take ten
// times as long would get ten times the service time. Requests in service are
// compared first, because they are known before their service time is. The
// service time decides where few requests are in service at once, as on a cold
// target.
//
// The queue is bounded. If it is full, a request of a workspace below its share
// evicts the newest request of the workspace furthest above its share. A busy
// workspace therefore cannot fill the queue at the expense of others, but may
// use all of it if it is the only one. A request whose expected wait exceeds its
// deadline is refused on arrival, when a refusal costs the least.
//
// Alternatives: a single FIFO queue serves workspaces in proportion to the
// number of requests they send. A fixed share per workspace leaves capacity
// unused and requires the number of workspaces in advance.
//
// Usage, the record of what each workspace used recently, also serves package
// admission, whose queues know priorities and objectives. There a workspace is served by
// many targets, and Tell adds what others know of its use.
//
// The package does no I/O and reads no clock: the current time is passed as an
// argument, and the caller serializes calls.
package fairqueue
