// Package routes holds the configuration in the form used for request routing:
// routes by host and path prefix, services, workspaces by key, and limits.
//
// A Config is immutable. A new revision is built separately and then replaces
// the old one atomically, so that a request sees a single revision throughout.
// Matching takes one map lookup per path segment, independent of the number of
// routes.
package routes
