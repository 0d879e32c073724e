package respsyntax

// Classes of bytes.
const (
	tokenByte uint8 = 1 << iota // tchar, RFC 9110 section 5.6.2
	textByte                    // HTAB / SP / VCHAR / obs-text, RFC 9110 section 5.5
	digitByte
	hexByte
)

var classes = func() (t [256]uint8) {
	for c := range t {
		if c == '\t' || c >= ' ' && c != 0x7f {
			t[c] |= textByte
		}
		if c >= '0' && c <= '9' {
			t[c] |= digitByte
		}
		if c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F' {
			t[c] |= hexByte
		}
		if c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' {
			t[c] |= tokenByte
		}
	}
	for _, c := range "!#$%&'*+-.^_`|~" {
		t[c] |= tokenByte
	}
	return t
}()

func is(c byte, class uint8) bool { return classes[c]&class != 0 }

func isBlank(c byte) bool { return c == ' ' || c == '\t' }

// fieldState is the position in a section of field lines.
type fieldState uint8

const (
	atLineStart fieldState = iota
	inName
	inValue
	atLineFeed // after the CR of a field line
	atLastFeed // after the CR of the empty line that ends the section
	atEnd
)

// fieldLines examines field lines up to the empty line that ends them.
type fieldLines struct {
	state fieldState
	// n counts the bytes examined, line is the start of the current line and colon the
	// position of its colon.
	n, line, colon int
}

// scan examines b from the n-th byte on. It returns at the end of the section, at the end of
// a field line, which whole tells, and when b is used up.
func (f *fieldLines) scan(b []byte) (whole bool, err error) {
	for f.n < len(b) {
		c := b[f.n]
		switch f.state {
		case atLineStart:
			f.line = f.n
			switch {
			case is(c, tokenByte):
				f.state = inName
			case c == '\r':
				f.state = atLastFeed
			case c == '\n':
				return false, f.violation(RuleLineEnd, b)
			case isBlank(c):
				return false, f.violation(RuleLineFolding, b)
			default:
				return false, f.violation(RuleFieldName, b)
			}
		case inName:
			if f.n += run(b[f.n:], tokenByte); f.n == len(b) {
				return false, nil
			}
			if b[f.n] != ':' {
				return false, f.violation(RuleFieldName, b)
			}
			f.colon = f.n
			f.state = inValue
		case inValue:
			if f.n += run(b[f.n:], textByte); f.n == len(b) {
				return false, nil
			}
			switch b[f.n] {
			case '\r':
				f.state = atLineFeed
			case '\n':
				return false, f.violation(RuleLineEnd, b)
			default:
				return false, f.violation(RuleFieldValue, b)
			}
		case atLineFeed, atLastFeed:
			if c != '\n' {
				return false, f.violation(RuleLineEnd, b)
			}
			f.n++
			if f.state == atLastFeed {
				f.state = atEnd
				return false, nil
			}
			f.state = atLineStart
			return true, nil
		case atEnd:
			return false, nil
		}
		f.n++
	}
	return false, nil
}

// run returns the number of bytes of a class at the beginning of b.
func run(b []byte, class uint8) int {
	for i, c := range b {
		if classes[c]&class == 0 {
			return i
		}
	}
	return len(b)
}

func (f *fieldLines) violation(r Rule, b []byte) *Violation {
	return NewViolation(r, b, f.line, f.n)
}

// Trailers examines the trailers of a chunked response up to the empty line that ends it. The
// zero value is ready.
type Trailers struct{ lines fieldLines }

// Scan examines b, which holds the bytes received so far, from the same first byte in each
// call. It returns the size of the trailers with the empty line, or 0 if more bytes are
// needed, or a *Violation.
func (t *Trailers) Scan(b []byte) (size int, err error) {
	for t.lines.state != atEnd {
		whole, err := t.lines.scan(b)
		if err != nil {
			return 0, err
		}
		if !whole && t.lines.state != atEnd {
			return 0, nil
		}
	}
	return t.lines.n, nil
}
