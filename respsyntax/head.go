package respsyntax

import (
	"bytes"
	"strconv"
)

// Lengths of a body that are no number of bytes.
const (
	// LengthChunked is the length of a body in chunks.
	LengthChunked = -1
	// LengthUntilClose is the length of a body that ends with its connection.
	LengthUntilClose = -2
)

// Head examines the head of a response: the status line and the field lines up to the empty
// line. The zero value is ready.
type Head struct {
	lines  fieldLines
	inLine bool // past the status line
	status int
	// http10 is set for HTTP/1.0.
	http10              bool
	hasLength, hasCoded bool
	length              int64
}

// The parts of a status line before its reason: HTTP-name "/" DIGIT "." DIGIT SP 3DIGIT SP.
const (
	versionPrefix = "HTTP/1."
	minorAt       = len(versionPrefix)
	statusAt      = minorAt + len("1 ")
	statusEnd     = statusAt + len("200")
	reasonAt      = statusEnd + len(" ")
)

// Scan examines b, which holds the bytes received so far, from the first byte of the head in
// each call. It returns the size of the head, or 0 if more bytes are needed, or a
// *Violation.
func (h *Head) Scan(b []byte) (size int, err error) {
	if !h.inLine {
		if err := h.scanStatusLine(b); err != nil || !h.inLine {
			return 0, err
		}
	}
	for {
		whole, err := h.lines.scan(b)
		if err == nil && whole {
			err = h.readFraming(b)
		}
		switch {
		case err != nil:
			return 0, err
		case h.lines.state == atEnd:
			return h.lines.n, nil
		case !whole:
			return 0, nil
		}
	}
}

// scanStatusLine examines the status line and sets inLine at its end.
func (h *Head) scanStatusLine(b []byte) error {
	n := h.lines.n
	for ; n < len(b); n++ {
		if n >= reasonAt && b[n-1] != '\r' {
			if n += run(b[n:], textByte); n == len(b) {
				break
			}
		}
		if rule := checkStatusByte(b, n); rule != "" {
			return NewViolation(rule, b, 0, n)
		}
		if b[n] == '\n' {
			h.http10 = b[minorAt] == '0'
			h.status, _ = strconv.Atoi(string(b[statusAt:statusEnd])) // three digits
			h.inLine = true
			n++
			break
		}
	}
	h.lines.n = n
	return nil
}

// checkStatusByte returns the rule that the byte n of a status line breaks, if any.
func checkStatusByte(b []byte, n int) Rule {
	c := b[n]
	valid, rule := true, RuleStatusLine
	switch {
	case n < minorAt:
		valid = c == versionPrefix[n]
	case n == minorAt:
		valid = is(c, digitByte)
	case n < statusAt:
		valid = c == ' '
	case n == statusAt:
		valid, rule = c >= '1' && c <= '5', RuleStatusCode
	case n < statusEnd:
		valid, rule = is(c, digitByte), RuleStatusCode
	case n < reasonAt:
		valid = c == ' '
	case b[n-1] == '\r':
		valid, rule = c == '\n', RuleLineEnd
	case c == '\n':
		valid, rule = false, RuleLineEnd
	default:
		valid = c == '\r' || is(c, textByte)
	}
	if valid {
		return ""
	}
	return rule
}

var (
	nameLength = []byte("Content-Length")
	nameCoding = []byte("Transfer-Encoding")
	chunked    = []byte("chunked")
)

// readFraming reads the field line that has just ended, if it tells how the body ends.
func (h *Head) readFraming(b []byte) error {
	l := &h.lines
	name := b[l.line:l.colon]
	isLength := len(name) == len(nameLength) && bytes.EqualFold(name, nameLength)
	isCoding := len(name) == len(nameCoding) && bytes.EqualFold(name, nameCoding)
	if !isLength && !isCoding {
		return nil
	}
	end := l.n - len("\r\n")
	value := bytes.Trim(b[l.colon+1:end], " \t")
	switch {
	case isLength:
		var err error
		if h.length, err = strconv.ParseInt(string(value), 10, 64); err != nil || h.hasLength || !is(value[0], digitByte) {
			return NewViolation(RuleContentLength, b, l.line, end-1)
		}
		h.hasLength = true
	case isCoding:
		if h.hasCoded || h.http10 || !bytes.EqualFold(value, chunked) {
			return NewViolation(RuleTransferEncoding, b, l.line, end-1)
		}
		h.hasCoded = true
	}
	if h.hasLength && h.hasCoded {
		return NewViolation(RuleFraming, b, l.line, end-1)
	}
	return nil
}

// Status returns the status, 100 to 599. The head must have been examined to its end, as for
// Length.
func (h *Head) Status() int { return h.status }

// Length returns the length of the body in bytes, LengthChunked or LengthUntilClose, by the
// fields alone: responses to HEAD and with statuses 1xx, 204 and 304 have no body.
func (h *Head) Length() int64 {
	switch {
	case h.hasCoded:
		return LengthChunked
	case h.hasLength:
		return h.length
	}
	return LengthUntilClose
}
