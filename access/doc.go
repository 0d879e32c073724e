// Package access decides whether a request needs an API key.
//
// Load: every request at the caller's host, and again at the target's gate,
// under configurations that the operators change while requests run. A fleet
// may have no workspaces at all, or lose its last workspace or its last key in
// a change. Hosts are restarted, cut off from the store and given older
// configurations by a restored store meanwhile.
//
// Algorithm: a configuration states whether it has a list of workspaces. Only
// the statement that it has none opens its routes. A list that is empty, or
// holds workspaces without keys, admits nobody but to open routes, and so does
// a configuration that states nothing.
//
// Alternatives: deriving "no keys needed" from the number of workspaces opens
// every route when the last workspace is removed. Remembering that there were
// keys once does not survive a restart, and a fleet whose operators give up
// workspaces could not be opened again. A setting of the daemon for it could
// contradict the document.
package access
