// Package hostd is the daemon beside the target of one host on the Kárpitház
// platform, put together from the packages of decisions and of connections.
//
// The way of a request:
//
//	caller → ingress → gate of the chosen target's host → target
//
// The ingress of the caller's host matches route and key, checks the
// workspace's rate, chooses targets and makes attempts. The gate of a target's
// host is the only process that reaches the target, so slots in use, the pace
// of a cold target, leaving and "not run" are facts of one process. An ingress
// calls the gate of its own host directly.
//
// One goroutine, Control, owns what the host knows of the configuration and
// of other hosts, and publishes it as an immutable View. Everything that must
// last is in the platform's store; other hosts are found through rows there.
package hostd
