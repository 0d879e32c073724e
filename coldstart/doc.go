// Package coldstart bounds how many requests a target gets at once, by what it
// has shown to bear.
//
// A target starts at its service's cold limit and stays there for the service's
// cold time. Below the announced slots the limit then moves in rounds of answers.
// While the target is slower than when warm the limit stays; once a round is as
// fast, it rises by one for each round. A new target is compared with the
// service's other targets. When those are not known either, it is compared with
// itself at lower limits: a round much slower than those means that the limit was
// above what it bears.
//
// At the full slots a cumulative sum of slow answers, and of requests in flight
// for longer than a slow answer takes, notices a target that turns cold
// unannounced, unless the other targets are as slow: then the work has changed
// and not the target. A new incarnation, an announced restart and repeated
// shedding do so at once. The limit then returns to the cold limit.
//
// Latencies are compared as geometric means and by a tracked quantile, because
// arithmetic means of a few long-tailed samples vary too much.
//
// Trade-offs: a fixed limit overloads a target whose capacity drops. Additive
// increase and multiplicative decrease (AIMD) on single slow answers takes
// noise for overload and keeps a warm target far below its slots. Relearning
// the warm latency from cold answers lets the limit rise while the target is
// still cold, so the warm latency is only learnt at the full slots. Rising while
// the target is slower than when warm, as far as its own latency did not grow,
// gives a warming target more to do, but a good part of it beyond what it
// bears. The price of waiting is capacity unused during the warm-up; a service
// whose cold targets bear more says so by its cold limit.
//
// A target alone cannot tell being cold from work that has become slower. When
// no others are known, the cold time, which operators set, decides: when it is
// over and a target that turned slow without a restart is as slow as before, it
// is compared with itself alone. A cold time set too short lets such a target
// get more than it bears when it turned cold unannounced.
package coldstart
