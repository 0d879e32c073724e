// Package wire defines what ingress and gate say to each other about one
// attempt to run a request: its identity, its answer, its refusal, and whether
// the request ran. The forms here are independent of how they are carried.
package wire
