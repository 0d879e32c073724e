// Package h1 serves HTTP/1.1 connections whose peers may pipeline and may
// leave.
//
// fasthttp supplies the codecs; its server reads a request only after the one
// before it has been answered, so that it neither overlaps pipelined requests
// nor notices a caller who has gone. Here each connection has a reader that
// stays ahead of the handlers within a bound:
//
//   - requests of one connection run side by side, answers go out in order;
//   - the end of the incoming stream, or its reset, ends the context of all
//     requests of the connection that are under way;
//   - when the server stops, the last answer of a connection asks for its
//     close, and no request behind such an answer is handed to the handler.
//
// The price is a goroutine a connection and one a request.
package h1
