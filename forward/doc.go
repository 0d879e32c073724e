// Package forward carries attempts between daemons over HTTP/1.1.
//
// Method, URI, headers and body of the caller's request travel unchanged; the
// attempt travels in internal header fields. An HMAC-SHA256 over the attempt,
// the method and the URI with the cluster secret authenticates the sender.
// Several secrets may be accepted at once, so that the secret can be changed
// without a pause.
//
// The answer repeats the attempt's id. An answer with another id closes the
// connection and leaves the outcome unknown. Refusals travel typed. A body cut
// short at the gate is cut short here too: the connection ends without its
// last chunk or before its length.
//
// While an attempt runs, the server sends an interim answer (102 Processing)
// at a fixed interval. Silence for several intervals tells the client that the
// path is cut, one way or both, long before the request's deadline, and does
// not mistake a slow target for a silent connection. The server in turn looks
// for the client's end of the connection and cancels the attempt when it is
// closed.
//
// A failure after the first byte leaves the outcome unknown; the caller of
// Client.Forward settles the attempt over another connection.
package forward
