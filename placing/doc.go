// Package placing chooses targets for a request.
//
// Load it answers: a handful of targets a service in each data centre, of which
// some are gray, full, cold or hard to reach at any time, with bytes between
// data centres that cost.
//
// Algorithm: each candidate gets a cost in units of one request's worth, the
// sum of the expected loss from a gray target, of the delay from its load, of
// the price of its distance, and of a doubtful path. Candidates are tried in
// the order of cost with a little noise. What is known of a target is as old
// as the last answer from its gate, so it fades; the gate has the last word
// and a refusal costs one round trip within the data centre.
//
// Weighed: two random choices by load need fresh loads of many targets, and
// here there are two or three a data centre; a probe before each request costs
// the same round trip as a refusal and says less.
package placing
