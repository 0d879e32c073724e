package respsyntax

// Head examines the head of a response: the status line and the field lines up to the empty
// line. The zero value is ready.
type Head struct {
	lines fieldLines
	// started is set in the status line, and inLine past it.
	started, inLine bool
}

// Scan examines b, which holds the bytes received so far, from the first byte of the head in
// each call. It returns the size of the head, or 0 if more bytes are needed, or a
// *Violation.
func (h *Head) Scan(b []byte) (size int, err error) {
	if !h.inLine {
		h.skipStatusLine(b)
	}
	if !h.inLine {
		return 0, nil
	}
	for {
		whole, err := h.lines.scan(b)
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

// skipStatusLine passes over the status line, and over empty lines ahead of it, and sets inLine
// at its end.
func (h *Head) skipStatusLine(b []byte) {
	for n := h.lines.n; n < len(b); n++ {
		switch b[n] {
		case '\r':
		case '\n':
			h.inLine = h.started
		default:
			h.started = true
		}
		h.lines.n = n + 1
		if h.inLine {
			return
		}
	}
}
