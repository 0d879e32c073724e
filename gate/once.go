package gate

import (
	"context"
	"io"

	"github.com/gooseberryshed/gooseberryshed/wire"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// forwardOnce forwards a non-idempotent attempt. A duplicate of the attempt
// joins the original instead of running again.
func (g *Gate) forwardOnce(ctx context.Context, att wire.Attempt, req *fasthttp.Request) (*wire.Response, *wire.Refusal) {
	g.mu.Lock()
	entry := g.replays.find(att)
	joined := entry != nil
	if !joined {
		entry = newReplayEntry(att)
		g.replays.add(entry)
	}
	entry.waiters++
	g.mu.Unlock()
	if !joined {
		own := fasthttp.AcquireRequest()
		req.Header.CopyTo(&own.Header)
		own.SetBody(req.Body())
		go g.runOnce(entry, att, own)
	}
	select {
	case <-entry.done:
	case <-ctx.Done():
	}
	return g.collectResult(entry, joined)
}

// collectResult returns the result of an attempt to one waiting caller. When
// the last caller leaves before the result is available, the wait for a slot is
// canceled; an exchange in progress continues.
func (g *Gate) collectResult(entry *replayEntry, joined bool) (*wire.Response, *wire.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	entry.waiters--
	if !entry.isDone() {
		if entry.waiters == 0 {
			entry.cancelQueue()
		}
		return nil, wire.RefuseUnknown(wire.ReasonTimeout, "the caller canceled the request")
	}
	if joined {
		g.stats.Replayed++
	}
	return entry.result()
}

// runOnce runs the attempt and retains its result for duplicates.
func (g *Gate) runOnce(entry *replayEntry, att wire.Attempt, req *fasthttp.Request) {
	defer fasthttp.ReleaseRequest(req)
	exchangeCtx, cancel := context.WithCancel(context.Background())
	answer, ref := g.attempt(entry.queueCtx, exchangeCtx, att, req)
	entry.cancelQueue() // releases the context
	if ref != nil {
		cancel()
		g.finishWithRefusal(entry, ref)
		return
	}
	answer.Body = &cancelBody{ReadCloser: answer.Body, cancel: cancel}
	if answer.Length > maxReplayBody {
		g.finishWithStream(entry, answer, nil)
		return
	}
	data, err := g.readPrefix(answer.Body)
	switch {
	case err == io.EOF:
		answer.Body.Close()
		g.finishWithResponse(entry, answer, data)
	case err == nil:
		g.finishWithStream(entry, answer, data)
	default:
		answer.Body.Close()
		g.finishWithRefusal(entry, wire.RefuseUnknown(wire.ReasonTargetFailed, "response truncated: %s", err))
	}
}

func (g *Gate) finishWithRefusal(entry *replayEntry, ref *wire.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	entry.refusal = ref
	g.replays.finish(entry, g.opts.Clock())
}

func (g *Gate) finishWithResponse(entry *replayEntry, answer *wire.Response, data []byte) {
	g.mu.Lock()
	defer g.mu.Unlock()
	entry.response, entry.body = answer, data
	g.replays.finish(entry, g.opts.Clock())
}

// finishWithStream passes a response that is too large to retain to one waiting
// caller.
func (g *Gate) finishWithStream(entry *replayEntry, answer *wire.Response, prefix []byte) {
	answer.Body = &prefixedBody{prefix: prefix, ReadCloser: answer.Body}
	g.mu.Lock()
	hasWaiter := entry.waiters > 0
	if hasWaiter {
		entry.stream = answer
	}
	g.replays.finish(entry, g.opts.Clock())
	g.mu.Unlock()
	if !hasWaiter {
		answer.Body.Close()
	}
}

// readPrefix reads a body up to the size and time limits for retaining it. The
// error is io.EOF at the end of the body, and nil if there is more.
func (g *Gate) readPrefix(r io.Reader) ([]byte, error) {
	bufferUntil := g.opts.Clock().Add(maxBufferTime)
	var data []byte
	buf := make([]byte, readChunk)
	for len(data) <= maxReplayBody {
		n, err := r.Read(buf)
		data = append(data, buf[:n]...)
		if err != nil {
			return data, err
		}
		if g.opts.Clock().After(bufferUntil) {
			break
		}
	}
	return data, nil
}

const readChunk = 4 << 10 // bytes

// cancelBody cancels the context of the exchange when the body is closed.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *cancelBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}

// prefixedBody returns the part of a body that was already read, followed by
// the rest.
type prefixedBody struct {
	prefix []byte
	io.ReadCloser
}

// Read implements io.Reader.
func (b *prefixedBody) Read(p []byte) (int, error) {
	if len(b.prefix) == 0 {
		return b.ReadCloser.Read(p)
	}
	n := copy(p, b.prefix)
	b.prefix = b.prefix[n:]
	return n, nil
}

var errNotRetained = errors.New("the response was too large or arrived too slowly to be retained")
