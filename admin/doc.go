// Package admin queries the daemons of a fleet at their admin addresses. One
// address is enough, because daemons know each other's addresses.
package admin
