// Package demo runs a whole fleet in one process: a stand-in platform, three data
// centres of two daemons, a stand-in target beside each, and callers. It applies
// a document, sends requests, breaks a target, takes a data centre out and back,
// and judges what targets and callers recorded.
//
// All parts are the real ones but for the platform, the targets and the callers.
// They share a process, so a demo shows neither paused nor killed daemons; the
// tests of internal/e2e do.
package demo
