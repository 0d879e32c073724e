// Package ingress serves callers' requests and produces exactly one outcome for
// each.
//
// A request is authenticated by its API key and checked against the rate limit
// of its workspace. It is then forwarded to gates until one returns a complete
// response or the guarantees below rule out another attempt:
//
//	match route → find key → take a token → claim the idempotency key →
//	choose target → forward → settle, retry or respond
//
// A non-idempotent request is forwarded again only if a gate has stated, or
// guaranteed when the attempt was settled, that the previous attempt did not
// run. The caller is told "not run" only if that holds for all attempts of the
// request.
//
// Responses up to maxBuffered bytes are buffered completely before the first
// byte is sent to the caller, so that the request can still be retried if the
// response is truncated. Larger responses are streamed. If a streamed response
// is truncated, the caller's connection is closed before the end of the body,
// which every HTTP client reports as an error.
package ingress
