// Package speed estimates how fast one target is and how many requests it can
// work on before it slows down.
//
// Problem: the targets of a service differ in speed, and some slow down when
// they are nearly full, which no heartbeat tells. A slow target that gets the
// same requests as the others is the busiest of its service.
//
// Load: a target with 4 to 8 slots that finishes two to ten requests a second,
// whose durations vary by a factor of two and more within a route.
//
// Algorithm: ingresses know the usual duration of a route over the targets that
// they use (Usual) and state it in each offer. The gate takes the logarithm of the
// duration of each successful request relative to it, with the number of requests in
// progress when it was sent. For each possible limit k it keeps the errors of the
// model in which a request takes the same time up to k requests in progress and
// proportionally longer beyond, where one more request no longer raises the throughput.
// Each request is compared with the mean of the last ten, so that a period in
// which everything takes longer is no evidence for a limit. The model of least
// error gives the limit if it is clearly better than the one without a limit.
// The target's slowness is the mean relative duration in the best model. It is 1
// unless the difference exceeds both its own error and minDifference. A lowered
// limit is raised by one for a trial now and then; a trial that fails doubles
// the time until the next.
//
// Load is the mean load of the target. An ingress gets a report of one target every few
// seconds; after that time the mean still tells a busy target from an idle one.
//
// Durations of a target that is cold or probably gray must not be observed:
// packages slowstart and gray answer those.
//
// Alternatives: an estimate for each number of requests in progress needs several times
// as many requests as a model with one parameter. A gradient limiter (ratio of the
// shortest to the current duration) takes the spread within a route for a queue.
// Absolute mean durations need no offer field, but a different mix of routes then looks
// like a different speed.
package speed
