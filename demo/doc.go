// Package demo runs a complete fleet in one process: a stand-in platform, three
// data centres with two daemons each, two stand-in targets per daemon, and a load
// generator. It applies a configuration, sends requests, injects errors into a
// target, takes a data centre out of service and returns it, and checks what the
// targets and the load generator recorded.
//
// Only the platform, the targets and the load generator are stand-ins. All parts
// share one process, so the demo does not cover paused or killed daemons; the tests
// in internal/e2e do.
package demo
