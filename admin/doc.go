// Package admin asks the daemons of a fleet on their admin addresses. One
// address is enough: the daemons know each other's.
package admin
