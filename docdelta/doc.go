// Package docdelta encodes a document as its difference from a former one that the receiver
// has.
//
// The load that it answers: each host of a fleet must have a document of a megabyte within a
// second or two of a change to one line of it, over links of 10 Mbit/s. The difference is some
// hundred bytes.
//
// Algorithm: Zstandard with the former document as the dictionary. Weighed: a list of changed
// lines needs to know the format and breaks when that changes; a binary difference (bsdiff)
// needs many times the memory of the document and its own compression.
package docdelta
