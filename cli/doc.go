// Package cli is the operators' command line.
//
// All that it changes goes through package configstore, so that a command is
// accepted as a whole or not at all, and its errors name the remedy. Each flag
// can also be given in the environment as GOOSEBERRYSHED_<FLAG>, in capitals and
// with underscores for dashes; a flag on the command line wins.
package cli
