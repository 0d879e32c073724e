// Package link is an HTTP/1.1 client with a connection pool. When an exchange
// fails, it reports how far the exchange had progressed.
//
// fasthttp provides the encoding of headers and requests. Connections are managed
// here because fasthttp.Client retries idempotent requests on its own, while
// callers of this package must know whether a request was sent. The rules are:
//
//   - A connection carries one exchange at a time, and a request is written to at
//     most one connection.
//   - A connection is reused only after its response was read to a verified end
//     (Content-Length or the last chunk) without surplus bytes. It is closed after
//     a timeout, a cancellation or an unread body.
//   - The age and idle time of connections are limited. Before reuse, a
//     non-blocking peek detects connections that the peer has closed or written
//     to.
//   - A connection can break without either end noticing. On a reused connection
//     the wait for the first byte of the response is limited, and
//     TCP_USER_TIMEOUT closes a connection whose data stays unacknowledged.
//     Error.Reused tells the caller, which may retry an idempotent request on a
//     new connection. RequestOptions.NewConnection avoids reuse altogether. This
//     costs one round trip and suits requests that must not be retried.
//   - Package respsyntax validates a response as its bytes arrive: the head, before fasthttp
//     parses it, chunk lines and trailers. If it is invalid, the exchange fails with
//     CauseProtocol and StageResponse, and the connection is closed.
//   - A response whose end cannot be verified (no length and not chunked) is an
//     error, because closing the connection does not distinguish a complete
//     response from a truncated one. RequestOptions.AllowUnframed lifts this
//     rule.
package link
