// Package hostd implements the per-host daemon for the Kárpitház platform. It
// combines the decision packages with the connection packages.
//
// Path of a request:
//
//	caller → ingress → gate of the chosen target's host → target
//
// The ingress on the caller's host matches the route and the key, enforces the
// workspace's rate limit, chooses targets and makes attempts. The gate is the
// reverse proxy in front of a host's target. It is the only process that
// connects to the target, so slot usage, the rate limit of a cold target,
// draining and whether an attempt was sent are all known in one process. An
// ingress calls the gate of its own host directly.
//
// Control owns the host's knowledge of the configuration and of other hosts in
// a single goroutine and publishes it as an immutable View. All durable state
// is in the platform's store, which also serves for host discovery.
package hostd
