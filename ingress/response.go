package ingress

import (
	"context"
	"io"
	"sync"

	"github.com/gooseberryshed/gooseberryshed/headers"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

// writeResponse sends a target's response to the caller and streams the body if
// it was not buffered. release is called when a streamed body is closed.
func (x *exchange) writeResponse(src *wire.Response, release context.CancelFunc) {
	resp := &x.caller.Response
	status := src.Header.StatusCode()
	src.Header.CopyTo(&resp.Header)
	resp.SetStatusCode(status)
	headers.CleanResponse(&resp.Header)
	if shouldCloseConnections(x.in.opts.Snapshot()) {
		x.caller.SetConnectionClose()
	}
	if isHead(x.caller.Method()) || src.Body == nil {
		resp.SkipBody = true
		closeBody(src)
		return
	}
	if buffered, ok := src.Body.(bufferedBody); ok {
		resp.SetBodyRaw(buffered.bytes)
		return
	}
	x.streaming = true
	resp.SetBodyStream(&streamedBody{x: x, body: src.Body, release: release}, src.Length)
}

func closeBody(resp *wire.Response) {
	if resp.Body != nil {
		resp.Body.Close()
	}
}

// bufferedBody is a body that has been read completely and verified.
type bufferedBody struct{ bytes []byte }

// Read implements io.Reader. It is not used; callers access the bytes directly.
func (bufferedBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close implements io.Closer.
func (bufferedBody) Close() error { return nil }

// streamedBody streams a large body and finishes the exchange when it is closed.
type streamedBody struct {
	x       *exchange
	body    io.ReadCloser
	release context.CancelFunc
	once    sync.Once
	// complete is set after the verified end of the body has been read.
	complete bool
}

// Read implements io.Reader. On an error other than io.EOF, the server closes the
// caller's connection before the end of the response.
func (s *streamedBody) Read(p []byte) (int, error) {
	n, err := s.body.Read(p)
	if err == io.EOF {
		s.complete = true
	}
	return n, err
}

// Close implements io.Closer.
func (s *streamedBody) Close() error {
	var err error
	s.once.Do(func() {
		err = s.body.Close()
		s.release()
		s.x.truncated = !s.complete
		s.x.finish()
	})
	return err
}

// bufferBody replaces a body of at most maxBuffered bytes by a bufferedBody. A
// larger body can still be read from its first byte.
func bufferBody(resp *wire.Response) error {
	if resp.Body == nil || resp.Length > maxBuffered {
		return nil
	}
	buf, err := io.ReadAll(io.LimitReader(resp.Body, maxBuffered+1))
	if err != nil {
		resp.Body.Close()
		return err
	}
	if len(buf) > maxBuffered {
		resp.Body = &prefixedBody{prefix: buf, rest: resp.Body}
		return nil
	}
	resp.Body.Close()
	resp.Body = bufferedBody{buf}
	resp.Length = len(buf)
	return nil
}

// prefixedBody is a body whose first bytes have already been read.
type prefixedBody struct {
	prefix []byte
	rest   io.ReadCloser
}

// Read implements io.Reader.
func (b *prefixedBody) Read(p []byte) (int, error) {
	if len(b.prefix) == 0 {
		return b.rest.Read(p)
	}
	n := copy(p, b.prefix)
	b.prefix = b.prefix[n:]
	return n, nil
}

// Close implements io.Closer.
func (b *prefixedBody) Close() error { return b.rest.Close() }
