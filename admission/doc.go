// Package admission decides which requests run at one target, which wait, and
// which are refused at once.
//
// Load it answers: more work than the target's slots for seconds at a time,
// with requests of several ranks and times to live.
//
// Algorithm: a request takes a free slot, else it waits in one bounded line
// ordered by rank. Calls made by work that is already running come first, since
// their parents' work is spent if they fail; then the more urgent priority;
// then who came first. A request is refused at once, when it arrives or when
// another passes it, if the work ahead of it leaves too little time for its
// own. What has waited in vain is dropped before it takes a slot.
//
// Weighed: earliest deadline first serves the callers who waited longest and
// under overload lets all of them miss; newest first serves more of them but
// starves the patient. Order of arrival with refusal at the door keeps waits
// short and equal, and lets a refused caller try elsewhere while it has time.
package admission
