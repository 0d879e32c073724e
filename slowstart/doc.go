// Package slowstart bounds the rate of requests to one target that is cold or
// may be.
//
// Problem: a cold target bears only a few requests a second and crashes above
// that, and a target may turn cold without notice, with or without a restart.
// Holding every target to the cold bound at all times wastes most of the
// capacity of targets whose requests are short: 120 ms on 8 slots are 66
// requests a second, where the bound is 24.
//
// Load: many short requests, mostly nested calls, at a service with few targets.
//
// Algorithm: a target is taken as warm while a heartbeat has said so recently,
// and nothing since then says otherwise: a new incarnation, an evacuation, or
// requests that take twice their usual time. Otherwise, and while it is cold, the target gets at most the bound
// in any second. A warm target gets a further request only if the requests that
// would exceed the bound with it, had the target turned cold before the first of
// them, show by their durations that it had not. After a broken connection or a
// failed dial only later requests show that. So a target that turns cold
// without notice gets no more than the bound in its first second either, but for
// the error of that test. If the requests do not show it in time, because they
// fail, vary much or take long, the target is probed shortly before the bound is
// reached, at most three times a second: an answer that says that it is warm is
// proof for all requests sent before the probe.
//
// Trade-offs: a target whose requests are too long for enough of them to end
// within a second gets no more than the bound, but its slots do not allow more
// either. A target that turns cold and keeps its speed is noticed with its next
// heartbeat or probe only. Probing a target before each burst would be certain,
// but a probe takes a slot for as long as a short request, so requests come first
// as evidence. A cumulative sum over the last
// requests as an alarm was tried: it noticed up to 3 of 200 silent turns of a
// saturated target too late.
package slowstart
