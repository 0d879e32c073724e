// Package wire defines the types that ingress and gate exchange about one attempt
// to run a request: its identity, its response, its refusal, and whether the
// request ran. The types are independent of the transport and its encoding.
package wire
