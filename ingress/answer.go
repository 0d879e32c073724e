package ingress

import (
	"context"
	"io"
	"sync"

	"github.com/gooseberryshed/gooseberryshed/headers"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

// answer writes a target's answer to the caller, streaming what was not read
// whole. done is called when the answer's body is no longer needed.
func (x *exchange) answer(ans *wire.Answer, done context.CancelFunc) {
	resp := &x.caller.Response
	status := ans.Header.StatusCode()
	ans.Header.CopyTo(&resp.Header)
	resp.SetStatusCode(status)
	headers.CleanResponse(&resp.Header)
	if closing(x.in.opts.Snapshot()) {
		x.caller.SetConnectionClose()
	}
	if isBodyless(x.caller.Method()) || ans.Body == nil {
		resp.SkipBody = true
		closeBody(ans)
		return
	}
	if whole, ok := ans.Body.(wholeBody); ok {
		resp.SetBodyRaw(whole.bytes)
		return
	}
	x.streaming = true
	resp.SetBodyStream(&streamedBody{x: x, body: ans.Body, done: done}, ans.Length)
}

func closeBody(ans *wire.Answer) {
	if ans.Body != nil {
		ans.Body.Close()
	}
}

// wholeBody is a body that has been read to its verified end.
type wholeBody struct{ bytes []byte }

// Read implements io.Reader; the bytes are taken directly instead.
func (wholeBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close implements io.Closer.
func (wholeBody) Close() error { return nil }

// streamedBody passes a large body on and finishes the exchange at its end.
type streamedBody struct {
	x    *exchange
	body io.ReadCloser
	done context.CancelFunc
	once sync.Once
	// whole is set when the verified end was read.
	whole bool
}

// Read implements io.Reader. An error other than io.EOF makes the server close
// the caller's connection before the answer's end.
func (s *streamedBody) Read(p []byte) (int, error) {
	n, err := s.body.Read(p)
	if err == io.EOF {
		s.whole = true
	}
	return n, err
}

// Close implements io.Closer.
func (s *streamedBody) Close() error {
	var err error
	s.once.Do(func() {
		err = s.body.Close()
		s.done()
		s.x.truncated = !s.whole
		s.x.finish()
	})
	return err
}

// readWhole reads a body that fits maxBuffered. It returns the answer with a
// wholeBody, or with a body that still starts at the first byte.
func readWhole(ans *wire.Answer) error {
	if ans.Body == nil || ans.Length > maxBuffered {
		return nil
	}
	buf, err := io.ReadAll(io.LimitReader(ans.Body, maxBuffered+1))
	if err != nil {
		ans.Body.Close()
		return err
	}
	if len(buf) > maxBuffered {
		ans.Body = &prefixedBody{prefix: buf, rest: ans.Body}
		return nil
	}
	ans.Body.Close()
	ans.Body = wholeBody{buf}
	ans.Length = len(buf)
	return nil
}

// prefixedBody is a body whose start has been read already.
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
