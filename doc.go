// Package gooseberryshed is a fleet of reverse proxies that detects and routes around
// targets with gray failures.
//
// The packages below it form the library; the commands in cmd are thin wrappers.
// The README describes the layout.
package gooseberryshed
