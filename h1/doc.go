// Package h1 is an HTTP/1.1 server that supports concurrent pipelined requests
// and detects client disconnects.
//
// fasthttp provides the parsers and serializers. Its server reads a request only
// after the previous one has been answered, so it neither runs pipelined requests
// concurrently nor detects a client that has disconnected. In this package, each
// connection has a reader that reads ahead of the handlers, up to a limit:
//
//   - requests on one connection run concurrently; responses are sent in order;
//   - the end or reset of the incoming stream cancels the context of all active
//     requests on the connection;
//   - while the server stops, the last response on a connection has
//     "Connection: close", and no request received after such a response is
//     passed to the handler.
//
// This costs one goroutine per connection and one per request.
package h1
