// Package ingress takes callers' requests and sees each through to one outcome.
//
// A request is authenticated by its key, admitted under its workspace's rate,
// and then tried at gates until one gives a whole answer or trying on would
// break a promise:
//
//	match route → find key → take a token → claim the idempotency key →
//	choose target → forward → settle, retry or answer
//
// A non-idempotent request is forwarded again only when a gate has stated, or
// has been made to guarantee, that the previous attempt did not run. The caller
// is told "not run" only when that holds for all attempts of the request.
//
// Answers up to a bound are read whole before the first byte goes to the caller,
// so that a broken one can still be replaced. Larger ones are streamed; when
// one breaks the caller's connection is closed before the announced end, which
// every HTTP client reports.
package ingress
