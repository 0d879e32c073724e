// Package rawanswer holds HTTP/1.1 answers as bytes, valid and invalid ones, for tests of
// everything that reads answers, and a target that sends them below the HTTP layer.
package rawanswer

import (
	"strings"
)

// Framing is how the end of an answer's body is marked.
type Framing string

// The framings of an answer.
const (
	Length   Framing = "length"
	Chunked  Framing = "chunked"
	Unframed Framing = "unframed"
)

// Framings lists all framings.
var Framings = []Framing{Length, Chunked, Unframed}

// Body is the body of all answers of this package.
const Body = "ok"

// Case is an answer with one property.
type Case struct {
	Name string
	// Only is the framing that the case needs, or empty for all.
	Only Framing
	// template is the answer, in which {fields}, {framing} and {body} are replaced.
	template string
}

// Has reports whether the case exists with a framing.
func (c Case) Has(f Framing) bool { return c.Only == "" || c.Only == f }

// Bytes returns the answer with a framing that it has. fields are further field lines, each with
// its CRLF.
func (c Case) Bytes(f Framing, fields string) string {
	framing, body := "", Body
	switch f {
	case Length:
		framing = "Content-Length: 2\r\n"
	case Chunked:
		framing, body = "Transfer-Encoding: chunked\r\n", "1\r\no\r\n1\r\nk\r\n0\r\n\r\n"
	}
	return strings.NewReplacer("{fields}", fields, "{framing}", framing, "{body}", body).Replace(c.template)
}

const (
	start = "HTTP/1.1 200 OK\r\n{fields}"
	rest  = "{fields}{framing}\r\n{body}"
	sound = start + "{framing}\r\n{body}"
)

func field(line string) string  { return start + line + "\r\n{framing}\r\n{body}" }
func status(line string) string { return line + "\r\n" + rest }

// framed returns an answer with its own framing and the usual body.
func framed(lines string) string { return start + lines + "\r\n{body}" }

// chunks returns a chunked answer with a body of its own.
func chunks(body string) string { return start + "{framing}\r\n" + body }

// Broken are invalid answers.
var Broken = []Case{
	{"blank in a name", "", field("X Y: 1")},
	{"blank in the name of the length", Length, framed("Content Length: 2\r\n")},
	{"blank in the name of the coding", Chunked, framed("Transfer Encoding: chunked\r\n")},
	{"blank before a colon", "", field("X-Y : 1")},
	{"tab before a colon", "", field("X-Y\t: 1")},
	{"blank before the colon of the length", Length, framed("Content-Length : 2\r\n")},
	{"blank before the colon of the coding", Chunked, framed("Transfer-Encoding : chunked\r\n")},
	{"tab in a name", "", field("X\tY: 1")},
	{"control byte in a name", "", field("X\x01Y: 1")},
	{"NUL in a name", "", field("X\x00Y: 1")},
	{"DEL in a name", "", field("X\x7fY: 1")},
	{"byte over 7f in a name", "", field("X\x80Y: 1")},
	{"separator in a name", "", field("X(Y: 1")},
	{"empty name", "", field(": 1")},
	{"no colon", "", field("X-Y")},
	{"NUL in a value", "", field("X-Y: a\x00b")},
	{"control byte in a value", "", field("X-Y: a\x01b")},
	{"DEL in a value", "", field("X-Y: a\x7fb")},
	{"CR in a value", "", field("X-Y: a\rb")},
	{"folded line", "", field("X-Y: a\r\n b")},
	{"folded line with a tab", "", field("X-Y: a\r\n\tb")},
	{"folded length", Length, framed("Content-Length:\r\n 2\r\n")},
	{"blank before the first field", "", "HTTP/1.1 200 OK\r\n X-Y: 1\r\n" + rest},
	{"field line that ends with LF", "", start + "X-Y: 1\n{framing}\r\n{body}"},
	{"head that ends with LF", "", start + "{framing}\n{body}"},

	{"status 000", "", status("HTTP/1.1 000 X")},
	{"status 099", "", status("HTTP/1.1 099 X")},
	{"status 600", "", status("HTTP/1.1 600 X")},
	{"status 999", "", status("HTTP/1.1 999 X")},
	{"status of two digits", "", status("HTTP/1.1 20 X")},
	{"status of four digits", "", status("HTTP/1.1 2000 X")},
	{"status 000 after an empty line", "", "\r\n" + status("HTTP/1.1 000 X")},
	{"status 000 after empty lines", "", "\r\n\r\n\r\n" + status("HTTP/1.1 000 X")},
	{"status 000 after an empty line with LF", "", "\n" + status("HTTP/1.1 000 X")},
	{"status 000 after many empty lines", "", strings.Repeat("\r\n", 40) + status("HTTP/1.1 000 X")},
	{"empty line ahead", "", "\r\n" + sound},
	{"empty line with LF ahead", "", "\n" + sound},
	{"two blanks before the status", "", status("HTTP/1.1  200 OK")},
	{"tab before the status", "", status("HTTP/1.1\t200 OK")},
	{"no blank after the status", "", status("HTTP/1.1 200")},
	{"control byte in the reason", "", status("HTTP/1.1 200 O\x01K")},
	{"status line that ends with LF", "", "HTTP/1.1 200 OK\n" + rest},
	{"protocol in small letters", "", status("http/1.1 200 OK")},
	{"another major version", "", status("HTTP/2.0 200 OK")},
	{"version of two digits", "", status("HTTP/1.11 200 OK")},
	{"another protocol", "", "SSH-2.0-x\r\n" + rest},

	{"interim head with a blank in a name", "", "HTTP/1.1 102 Processing\r\nX Y: 1\r\n\r\n" + sound},
	{"interim head with a blank before a colon", "", "HTTP/1.1 102 Processing\r\nX-Y : 1\r\n\r\n" + sound},
	{"interim status 000", "", "HTTP/1.1 000 X\r\n\r\n" + sound},
	{"empty line after an interim head", "", "HTTP/1.1 102 Processing\r\n\r\n\r\n" + sound},
	{"status 000 after an interim head", "", "HTTP/1.1 102 Processing\r\n\r\n\r\n" + status("HTTP/1.1 000 X")},

	{"length and chunked", Chunked, framed("Content-Length: 2\r\n{framing}")},
	{"chunked and length", Chunked, framed("{framing}Content-Length: 2\r\n")},
	{"chunked in HTTP/1.0", Chunked, status("HTTP/1.0 200 OK")},
	{"length twice", Length, framed("{framing}{framing}")},
	{"two lengths", Length, framed("{framing}Content-Length: 3\r\n")},
	{"list of lengths", Length, framed("Content-Length: 2, 2\r\n")},
	{"length with a sign", Length, framed("Content-Length: +2\r\n")},
	{"length in hexadecimal", Length, framed("Content-Length: 0x2\r\n")},
	{"empty length", Length, framed("Content-Length:\r\n")},
	{"length of 20 digits", Length, framed("Content-Length: 18446744073709551618\r\n")},
	{"coding gzip", Chunked, framed("Transfer-Encoding: gzip\r\n")},
	{"coding gzip, chunked", Chunked, framed("Transfer-Encoding: gzip, chunked\r\n")},
	{"coding identity", Unframed, framed("Transfer-Encoding: identity\r\n")},
	{"coding chunked twice", Chunked, framed("{framing}{framing}")},

	{"trailer with a blank in a name", Chunked, chunks("2\r\nok\r\n0\r\nX Y: 1\r\n\r\n")},
	{"trailer with a blank before a colon", Chunked, chunks("2\r\nok\r\n0\r\nX-Y : 1\r\n\r\n")},
	{"trailer with a control byte in a name", Chunked, chunks("2\r\nok\r\n0\r\nX\x01Y: 1\r\n\r\n")},
	{"trailer with a control byte in a value", Chunked, chunks("2\r\nok\r\n0\r\nX-Y: \x01\r\n\r\n")},
	{"trailer without a colon", Chunked, chunks("2\r\nok\r\n0\r\nX-Y\r\n\r\n")},
	{"trailer that ends with LF", Chunked, chunks("2\r\nok\r\n0\r\nX-Y: 1\n\r\n")},
	{"trailers that end with LF", Chunked, chunks("2\r\nok\r\n0\r\nX-Y: 1\r\n\n")},
	{"folded trailer", Chunked, chunks("2\r\nok\r\n0\r\nX-Y: 1\r\n 2\r\n\r\n")},
	{"byte in place of the last line", Chunked, chunks("2\r\nok\r\n0\r\nX\n")},
	{"chunk size with a blank", Chunked, chunks("2 \r\nok\r\n0\r\n\r\n")},
	{"chunk size with a sign", Chunked, chunks("+2\r\nok\r\n0\r\n\r\n")},
	{"chunk size with 0x", Chunked, chunks("0x2\r\nok\r\n0\r\n\r\n")},
	{"chunk size that ends with LF", Chunked, chunks("2\nok\r\n0\r\n\r\n")},
	{"empty chunk size", Chunked, chunks("\r\nok\r\n0\r\n\r\n")},
	{"chunk size of 17 digits", Chunked, chunks("10000000000000002\r\nok\r\n0\r\n\r\n")},
	{"chunk extension with a control byte", Chunked, chunks("2;a=\x01\r\nok\r\n0\r\n\r\n")},
	{"chunk extension without a name", Chunked, chunks("2;\r\nok\r\n0\r\n\r\n")},
	{"chunk extension with an open quote", Chunked, chunks("2;a=\"b\r\nok\r\n0\r\n\r\n")},
	{"chunk without its CRLF", Chunked, chunks("2\r\nok0\r\n\r\n")},
	{"chunk that ends with LF", Chunked, chunks("2\r\nok\n0\r\n\r\n")},
}

// Sound are valid answers, in forms that are seldom used.
var Sound = []Case{
	{"plain", "", sound},
	{"all bytes of a name", "", field("!#$%&'*+-.^_`|~09AZaz: 1")},
	{"bytes over 7f and a tab in a value", "", field("X-Y: \xc3\xa9 \t\xff")},
	{"separators in a value", "", field("X-Y: \"a\" (b) <c>:=;,@/?[]{}")},
	{"empty value", "", field("X-Y:")},
	{"no blank before a value", "", field("X-Y:1")},
	{"blanks around a value", "", field("X-Y: \t 1 \t ")},
	{"name twice", "", field("X-Y: 1\r\nX-Y: 2")},
	{"long value", "", field("X-Y: " + strings.Repeat("0123456789abcdef", 128))},
	{"no reason", "", status("HTTP/1.1 200 ")},
	{"bytes over 7f in the reason", "", status("HTTP/1.1 200 \xc3\xa9\t.")},
	{"reason in small letters", "", status("HTTP/1.1 200 fine")},
	{"HTTP/1.0", Length, status("HTTP/1.0 200 OK")},
	{"HTTP/1.0 without a length", Unframed, status("HTTP/1.0 200 OK")},
	{"interim heads", "", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\nLink: </b>\r\n\r\n" + sound},
	{"names of the framing in small letters", Length, framed("content-length:2\r\n")},
	{"coding in capitals", Chunked, framed("TRANSFER-ENCODING: Chunked\r\n")},
	{"length with zeros", Length, framed("Content-Length: 0002\r\n")},
	{"chunk extensions", Chunked, chunks("1;a\r\no\r\n1 ; b = c;d=\"e\\\" \xff\"\r\nk\r\n0;f\r\n\r\n")},
	{"chunk size with zeros", Chunked, chunks("0002\r\nok\r\n000\r\n\r\n")},
	{"trailers", Chunked, chunks("2\r\nok\r\n0\r\nX-Y: 1\r\nx-z:\r\n\r\n")},
}
