// Package gray estimates how likely a target is in a spell of failing much of
// its work while its health check is good.
//
// Load it answers: spells of some seconds in which a target hangs or fails
// most requests, on a target that gets a few requests a second. Counting
// failures comes too late there: a hung request fails only at its deadline.
//
// Algorithm: a hidden two-state process (sound, gray) is filtered over the
// target's requests in the order of their starts. A request that is still
// running is evidence as well: its age against the distribution that requests
// of its kind show. A good answer speaks for sound, a failure for gray, and in
// between the belief drifts back to the long-run share. The filter is run anew
// for each question over a bounded window, so that ages are always current.
//
// Trade-offs: thresholds on age alone need about twice the time to tell a spell
// from a slow request, and a running average of failures sees hangs only after
// their deadline. The price is a few dozen multiplications a question.
package gray
