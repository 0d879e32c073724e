// Package routes holds the operators' configuration in the form that traffic
// reads: routes by host and path prefix, services, workspaces by key, limits.
//
// A Config is immutable. A new revision is built beside the old one and
// swapped in as a whole, so a request sees one revision from start to end.
// Matching costs one map lookup per path segment, whatever the number of
// routes.
package routes
