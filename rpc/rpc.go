// Package rpc carries control messages between daemons: JSON-RPC 2.0 over TCP
// with bounded messages, mutual authentication by a shared secret, and pooled
// connections that are closed when they stop responding.
package rpc

import "context"

// Caller calls a method of the daemon at addr (host:port). params is marshalled
// to JSON and the reply is unmarshalled into result, a pointer or nil.
// A failed call may or may not have taken effect at the peer.
type Caller interface {
	Call(ctx context.Context, addr, method string, params, result any) error
}

// HandlerFunc serves one method. params is the raw JSON.
type HandlerFunc func(ctx context.Context, params []byte) (result any, err error)

// Registrar registers the methods of a package.
type Registrar interface {
	Handle(method string, h HandlerFunc)
}
