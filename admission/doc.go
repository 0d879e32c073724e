// Package admission decides which requests run at one target, which wait, and
// which are refused at once.
//
// Load it answers: more work than the target's slots for seconds at a time,
// with requests of several ranks, objectives and times to live.
//
// Algorithm: a request takes a free slot, else it waits in one bounded line.
// Calls made by work that is already running come first, since their parents'
// work is spent if they fail; then the more urgent priority; then those that can
// still meet their objective, the nearest objective first; then who came first.
// A request is refused at once, when it arrives or when another passes it, if
// the work ahead of it leaves too little time for its own, or if it would miss
// its objective by waiting. One that has missed it already may wait as long as
// none ahead of it can still meet its own. Expected waits count the slots that
// calls usually take, as calls that are yet to come pass all other work.
//
// Weighed, by the load player of internal/measure and on heavy days: order of
// arrival keeps a line as long as its bound, in which everybody waits to be late
// (0.27 in time where the slots bear 0.53; this order 0.51). Nearest objective
// first without refusals lets all of them miss. The latest possible start first
// did no better than the nearest objective. Newest first starves the patient.
package admission
