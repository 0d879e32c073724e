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
//
// On the Kárpitház platform the budget of a service is given to the most valuable
// repeats first. The load: all targets of a service shed about half of what arrives for
// some seconds, so that orders need several tries, while calls of reads that need the
// same service ask for as many. Each try succeeds with the same chance, so the number of
// requests that the budget saves does not depend on which of them gets a further try,
// only on its value. Value orders repeats by priority, then requests that may run only
// once, then calls made by running work, then hedges last. Queue refuses a repeat if more
// valuable ones are wanted as fast as the host earns retries, and lets it wait for a
// short time if one is likely to be earned for it. Of the fleet's reserve, each value
// leaves a share to higher ones (Value.ReserveShare).
//
// Weighed against that: thresholds on a host's own budget, which holds one retry and so
// has no levels; a larger budget at each host, whose sum over hosts exceeds what the
// platform tolerates when all are spent at once; retries earned by the whole fleet in one
// pool, which needs a message for each request. docs/design/retry-value.md has the
// figures.
package retry
