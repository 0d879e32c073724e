// Package respsyntax decides whether received bytes are a response of HTTP/1.1. It protects
// callers from faulty targets, whose invalid responses must not be passed on. All responses
// that the daemons and commands read are validated by it, through package link.
//
// The decision is made on the bytes as received, before a parser sees them. Parsers are
// lenient by design: they skip empty lines, remove blanks and join folded lines, and what
// they return no longer shows that the message was invalid, or which body belongs to it.
// Where RFC 9112 lets a recipient repair a message, it also lets it refuse the message, and
// a proxy that repairs one passes on an answer that nobody has sent. So this package accepts
// only what the grammar allows a sender to generate:
//
//   - RuleStatusLine: HTTP-version SP status-code SP [ reason-phrase ] CRLF, with major
//     version 1. Nothing precedes the status line; only servers skip empty lines, ahead of
//     requests. RFC 9112 sections 2.2, 2.3 and 4.
//   - RuleStatusCode: three digits, from 100 to 599. RFC 9110 section 15.
//   - RuleFieldName: one or more token characters, directly followed by a colon. RFC 9110
//     section 5.1, RFC 9112 section 5.1.
//   - RuleFieldValue: visible characters, obs-text, SP and HTAB. RFC 9110 section 5.5.
//   - RuleLineFolding: no line begins with a blank. RFC 9112 sections 2.2 and 5.2.
//   - RuleLineEnd: lines end with CRLF, and CR and LF occur nowhere else. RFC 9112 section
//     2.2.
//   - RuleContentLength: one field with one decimal number. RFC 9110 section 8.6, RFC 9112
//     section 6.3.
//   - RuleTransferEncoding: one field with the coding "chunked", the only one that a client
//     accepts which sends no TE, and not in HTTP/1.0. RFC 9112 sections 6.1 and 7, RFC 9110
//     section 10.1.4.
//   - RuleFraming: not both of these fields. RFC 9112 sections 6.2 and 6.3.
//   - RuleChunk: chunk-size [ chunk-ext ] CRLF chunk-data CRLF. Blanks around the separators
//     of an extension are accepted, since a recipient must accept them; those after the size
//     alone are not. RFC 9112 section 7.1.
//   - RuleUnsupported: the message is valid and the parser that follows refuses it, as it does
//     a Trailer field that names one which must not be a trailer.
//
// The rules of field lines apply to interim and final heads and to trailers (RFC 9112
// section 7.1.2). Rules about the meaning of fields, such as which may occur in a trailer or
// more than once, are out of scope.
//
// Bytes are examined once, as they arrive, so that an invalid response is refused at its
// first invalid byte, even if the peer sends nothing more. Alternatives considered: comparing
// the parser's result with the received bytes, which needs a second parser in any case; the
// header functions of the x/net module, which validate names and values, but neither lines
// nor framing. Cost: a third of a microsecond for a head of 236 bytes and no allocation, see
// BenchmarkHead.
package respsyntax
