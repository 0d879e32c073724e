// Package changes is the form in which hosts give each other the changes of a table of which one
// row, the document, is large.
//
// The form is a line of JSON, the head, with the rows but without the value of the document, and
// behind it that value in compressed form, as its difference from a former value that the asker
// has named, if the sender still has that (package docdelta).
package changes
