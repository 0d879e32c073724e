package link

import (
	"bufio"
	"io"

	"github.com/pkg/errors"

	"github.com/gooseberryshed/gooseberryshed/respsyntax"
)

// maxTrailerBytes limits the trailers of a chunked body.
const maxTrailerBytes = 4 << 10

// maxChunkOverhead limits the chunk lines of a body, beyond one byte for each byte of data and
// those of an ordinary line for each chunk, so that a peer cannot keep a reader busy without data.
const (
	maxChunkOverhead  = 16 << 10
	ordinaryChunkLine = 16
)

var (
	errTrailerTooLarge = errors.Errorf("the trailers of the response are larger than %d bytes", maxTrailerBytes)
	errSectionTooLarge = errors.New("the head, a chunk line or the trailers of the response exceed the buffer of the connection; see Options.MaxHeaderBytes")
	errChunkOverhead   = errors.Errorf("the chunk lines of the response exceed its data by %d bytes", maxChunkOverhead)
)

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

// skipSection consumes a section and returns its size.
func (c *conn) skipSection(scan func(b []byte) (size int, err error)) (int, error) {
	b, err := c.peekSection(scan)
	if err != nil {
		return 0, err
	}
	return c.br.Discard(len(b))
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

// chunkReader decodes a chunked body. It returns io.EOF at the end of the trailers, which it
// discards.
type chunkReader struct {
	*conn
	line     respsyntax.ChunkLine
	left     int64 // bytes left of the current chunk
	overhead int64
}

func newChunkReader(c *conn) *chunkReader {
	return &chunkReader{conn: c, line: respsyntax.FirstChunkLine()}
}

// Read implements io.Reader.
func (r *chunkReader) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if r.left == 0 {
		if err := r.nextChunk(); err != nil {
			return 0, err
		}
	}
	n, err := r.br.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// nextChunk reads up to the data of the next chunk, or to the end of the body.
func (r *chunkReader) nextChunk() error {
	n, err := r.skipSection(r.line.Scan)
	if err != nil {
		return unexpectedEOF(err)
	}
	r.left = r.line.Size()
	r.line = respsyntax.ChunkLine{}
	if r.left == 0 {
		return r.skipTrailers()
	}
	r.overhead = max(r.overhead+int64(n)-ordinaryChunkLine-r.left, 0)
	if r.overhead > maxChunkOverhead {
		return errChunkOverhead
	}
	return nil
}

func (r *chunkReader) skipTrailers() error {
	var t respsyntax.Trailers
	_, err := r.skipSection(func(b []byte) (int, error) {
		size, err := t.Scan(b)
		examined := size
		if size == 0 {
			examined = len(b)
		}
		if err == nil && examined > maxTrailerBytes {
			err = errTrailerTooLarge
		}
		return size, err
	})
	if err != nil {
		return unexpectedEOF(err)
	}
	return io.EOF
}

// unexpectedEOF returns the error of a body that ends inside its framing.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
