// Package transfer has what the receivers of large transfers need: a meter of the bytes that
// have arrived, and First, which takes a transfer from the first of several sources that
// completes it.
//
// The load that it answers: the same bytes can be had from several hosts over links of a few
// Mbit/s, some of which are busy, and some hosts are frozen or cut off. A time limit on the
// whole transfer would cut off the large ones, and what had arrived would be lost; so only
// silence counts. A silent source isn't given up at once either, as a busy link may keep it
// silent for a while: another one is begun beside it, and whichever completes first wins.
package transfer
