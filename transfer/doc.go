// Package transfer has what the receivers of large transfers need: a meter of the bytes that
// have arrived.
package transfer
