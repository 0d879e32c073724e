// Package storecopy decides what a host keeps of its knowledge of the store's rows
// when the store has come back from an older copy of itself.
//
// Load: a whole fleet reads the copy at the same moment. Its rows are some seconds old:
// hosts that have appeared since are missing, hosts that have left are listed again, a
// departure or an evacuation may be lost. Their writers write these rows again within
// seconds, and until then requests must not go where they have been told not to.
//
// Algorithm: versions say nothing, because they have gone back and are given out
// again. What a host knew is kept for a short time where the copy contradicts it and
// where believing the copy would break a promise: a departure, a removal and an
// evacuation stay in force, and so does a host that the copy does not list yet.
// Everything else is taken from the copy. After the time, or as soon as a row is written
// again, the store alone counts.
//
// Alternatives: the copy alone would send requests to targets that have departed and to
// data centres that are out; the former knowledge without a time limit would keep rows
// that nobody writes again; comparing versions below the era cannot tell a row of the
// copy from one written again under the same version.
package storecopy
