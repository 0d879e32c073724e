package link

import (
	"bufio"

	"github.com/pkg/errors"

	"github.com/gooseberryshed/gooseberryshed/respsyntax"
)

var errSectionTooLarge = errors.New("the head of the response exceeds the buffer of the connection; see Options.MaxHeaderBytes")

// peekSection returns the bytes of the section that follows, which scan examines as they
// arrive. They are not consumed.
func (c *conn) peekSection(scan func(b []byte) (size int, err error)) ([]byte, error) {
	for n := 1; ; n = c.br.Buffered() + 1 {
		_, readErr := c.br.Peek(n)
		b, _ := c.br.Peek(c.br.Buffered()) // one read may bring more than one byte
		size, err := scan(b)
		switch {
		case err != nil:
			return nil, err
		case size > 0:
			return b[:size], nil
		case readErr == bufio.ErrBufferFull:
			return nil, errSectionTooLarge
		case readErr != nil:
			return nil, readErr
		}
	}
}

// readHead reads the head of an interim or final response. The parser gets only what
// respsyntax has found valid, and what it makes of it must agree.
func (c *conn) readHead(resp *Response) error {
	var head respsyntax.Head
	b, err := c.peekSection(head.Scan)
	if err != nil {
		return err
	}
	buffered := c.br.Buffered()
	err = resp.Header.Read(c.br)
	if err != nil || buffered-c.br.Buffered() != len(b) || resp.Header.StatusCode() != head.Status() {
		return respsyntax.NewViolation(respsyntax.RuleUnsupported, b, 0, len(b)-1)
	}
	resp.Length = int(head.Length())
	return nil
}

// isInvalid reports whether err is a violation of the protocol.
func isInvalid(err error) bool {
	var v *respsyntax.Violation
	return errors.As(err, &v)
}
