// Package forward carries attempts between daemons over HTTP/1.1.
//
// The method, URI, headers and body of the caller's request are sent unchanged;
// the attempt is encoded in internal header fields. An HMAC-SHA256 with the
// cluster secret over the attempt, the method and the URI authenticates the
// sender. Several secrets can be accepted at the same time, so that the secret
// can be rotated without downtime.
//
// The response repeats the attempt's ID. On a response with a different ID, the
// connection is closed and the outcome is unknown. Refusals keep their type and
// fields. If the body is truncated at the gate, the server also truncates it: the
// connection is closed before the last chunk or the declared length.
//
// While an attempt runs, the server sends interim responses (102 Processing) at a
// fixed interval. If the client receives nothing for several intervals, it
// detects that the connection is broken in one or both directions. This happens
// long before the request's deadline, and a slow target is not mistaken for a
// broken connection. The server checks whether the client has closed the
// connection and cancels the attempt if so.
//
// After a failure once the first byte has been sent, the outcome is unknown; the
// caller of Client.Forward settles the attempt over another connection.
package forward
