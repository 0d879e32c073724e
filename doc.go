// Package gooseberryshed is a proxy fleet for targets with gray failures.
//
// The packages below it form the library; the daemons in cmd are thin.
package gooseberryshed
