// Package cli implements the operators' command line.
//
// All changes go through package configstore, so each command is applied
// atomically, and its errors state how to recover. Each flag can also be set by
// an environment variable GOOSEBERRYSHED_<FLAG>, in upper case and with
// underscores for dashes; a flag on the command line takes precedence.
package cli
