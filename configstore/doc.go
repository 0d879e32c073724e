// Package configstore stores the configuration document in the platform's table.
//
// A change is accepted when a single transaction commits that increments the
// head revision, writes the changed sections and appends the change to the log.
// The row version of the head is a precondition of every such transaction, so
// revisions form one sequence. Each change is first validated against the whole
// document.
//
// Concurrent changes of different sections are retried on the new head
// transparently. Of concurrent changes of the same section, the first succeeds
// and the others fail with a ConflictError.
//
// A commit whose reply is lost is retried with the same change ID. A commit
// requires that the row of its change ID does not exist, so a change takes effect
// at most once, and the existence of that row shows that it did.
//
// Rows:
//
//	config/head             revision of the document
//	config/section/<name>   each section, with the revision that last changed it
//	config/log/<revision>   the patches of a change; the oldest are removed
//	config/change/<id>      the revision of a change, removed with its log row
//
// Every fiftieth change also saves the document to the object store, so that many
// daemons starting at once do not all read every section from the table.
//
// The log holds patches instead of whole sections, because every daemon receives
// every entry: a change of one key is a few hundred bytes, its section tens of
// thousands.
package configstore
