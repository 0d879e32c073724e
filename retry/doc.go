// Package retry decides what follows the outcome of an attempt: another
// attempt, a settlement, or the end of the request.
//
// Correctness takes precedence. A non-idempotent request is retried only after
// a definite "not run". If the outcome is unknown, the attempt is settled with
// the gate, which determines its state or ensures that it never runs. Only then
// do the effort limits apply: attempts per request, the remaining time, and a
// retry budget per service.
//
// The budget is a token bucket filled by first attempts: with a ratio of 20%, a
// service whose targets all fail receives at most 1.2 times its requests. A
// fixed number of retries alone would multiply the load exactly when a service
// is overloaded.
package retry
