// Package gooseberryshed is a proxy fleet for targets with gray failures.
//
// The packages below it form the library; the daemons in cmd are thin. The
// README says what is where.
package gooseberryshed
