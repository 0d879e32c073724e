// Package link sends HTTP/1.1 requests over pooled connections and says, when
// an exchange fails, how far it went.
//
// fasthttp supplies the codecs for header blocks and requests; the connections
// are managed here because fasthttp.Client repeats idempotent requests by
// itself, and the fleet must know whether a request left the process. The
// rules are:
//
//   - One exchange at a time per connection; the bytes of a request go to at
//     most one connection.
//   - A connection is reused only after its answer was read to a verified end
//     (Content-Length or the last chunk) with no surplus bytes. After a
//     timeout, a cancellation or an unread body it is closed.
//   - A connection has a bounded age and idle time. Before reuse, a
//     non-blocking peek finds connections that the peer closed or wrote to.
//   - A connection may have gone silent without either end noticing. On a
//     reused one the first byte of the answer is bounded, and
//     TCP_USER_TIMEOUT ends a connection whose bytes stay unacknowledged.
//     Error.Reused tells the caller, who may repeat an idempotent request on
//     a fresh connection. Exchange.Fresh avoids reuse altogether, which costs
//     one round trip and suits requests that must not be repeated.
//   - An answer whose end cannot be verified (neither length nor chunks) is
//     an error: closing the connection does not tell a whole answer from one
//     cut short.
package link
