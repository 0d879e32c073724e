// Package retry decides what follows the outcome of an attempt: another
// attempt, a settlement, or the end.
//
// Safety comes first. A non-idempotent request is tried again only after a
// certain "not run". When the outcome is unknown it is settled with the gate,
// which finds out or makes sure that the attempt never runs. Only then come
// the limits on effort: attempts per request, the time remaining, and a retry
// budget per service.
//
// The budget is a token bucket fed by first attempts: with a ratio of 20% a
// service whose targets all fail receives at most 1.2 times its requests. A
// fixed number of tries alone multiplies the load exactly when a service is
// overloaded.
package retry
