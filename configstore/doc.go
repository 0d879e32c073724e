// Package configstore keeps the operators' document in the platform's table.
//
// A change is accepted when one transaction commits that raises the head by one
// revision, writes the changed sections, and appends the change to the log. The
// head's row version is a precondition of every such transaction, so revisions
// form one sequence. Each change is checked against the whole document before.
//
// Operators who race on different sections retry on the new head without
// noticing. Of those who race on one section, the loser gets a ConflictError.
//
// A commit whose reply is lost is repeated with the same change id. The row of
// the change id must not exist, so it takes effect at most once, and its
// existence tells that it did.
//
// Rows:
//
//	config/head             revision of the document
//	config/section/<name>   each section, with the revision that changed it last
//	config/log/<revision>   the patches of a change; the oldest are removed
//	config/change/<id>      the revision of a change, removed with its log row
//
// Every fiftieth change also saves the document to the object store, so that many
// daemons that start at once need not read all sections from the table.
//
// The log holds patches and not whole sections, because every daemon receives
// every entry: a change of one key is a few hundred bytes, its section tens of
// thousands.
package configstore
