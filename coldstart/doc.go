// Package coldstart bounds how many requests a target gets at once, by what it
// has shown to bear.
//
// A target starts at its service's cold limit and stays there for the service's
// cold time, because growing by success alone must pass what a cold target bears
// to find it. After that, each time it has served as many requests in a row as
// its limit, without a jump in latency, the limit rises by one, up to the
// announced slots. A new incarnation, an announced restart, a
// run of answers far slower than the target's own warm latency, or repeated
// shedding brings it back to the cold limit, so a target that turns cold
// unannounced is noticed within a few requests.
//
// Trade-offs: a fixed limit overloads a target whose capacity drops; additive
// increase and multiplicative decrease (AIMD) probes above the capacity for
// ever and recovers from a drop only step by step. Both are compared in the
// benchmarks. A target that has become slow for good is relearnt: while the
// limit is low the warm latency moves slowly to what is seen.
package coldstart
