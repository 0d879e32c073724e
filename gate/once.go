package gate

import (
	"context"
	"io"

	"github.com/gooseberryshed/gooseberryshed/wire"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// once runs an attempt that may not be repeated. A second copy of the attempt
// joins the first.
func (g *Gate) once(ctx context.Context, att wire.Attempt, req *fasthttp.Request) (*wire.Answer, *wire.Refusal) {
	g.mu.Lock()
	k := g.kept.find(att)
	joined := k != nil
	if !joined {
		k = newKept(att)
		g.kept.add(k)
	}
	k.waiters++
	g.mu.Unlock()
	if !joined {
		own := fasthttp.AcquireRequest()
		req.Header.CopyTo(&own.Header)
		own.SetBody(req.Body())
		go g.runOnce(k, att, own)
	}
	select {
	case <-k.done:
	case <-ctx.Done():
	}
	return g.collect(k, joined)
}

// collect ends a wait for a kept answer.
func (g *Gate) collect(k *kept, joined bool) (*wire.Answer, *wire.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	k.waiters--
	if !k.isDone() {
		if k.waiters == 0 {
			k.giveUp()
		}
		return nil, wire.RefuseUnknown(wire.ReasonTimeout, "the caller gave up")
	}
	if joined {
		g.stats.Replayed++
	}
	return k.take()
}

// runOnce runs the attempt and keeps what came of it.
func (g *Gate) runOnce(k *kept, att wire.Attempt, req *fasthttp.Request) {
	defer fasthttp.ReleaseRequest(req)
	running, cancel := context.WithCancel(context.Background())
	answer, ref := g.attempt(k.waiting, running, att, req)
	k.giveUp() // frees the context
	if ref != nil {
		cancel()
		g.settleKept(k, ref)
		return
	}
	answer.Body = &cancelBody{ReadCloser: answer.Body, cancel: cancel}
	if answer.Length > maxKeptBody {
		g.handOver(k, answer, nil)
		return
	}
	data, err := g.readStart(answer.Body)
	switch {
	case err == io.EOF:
		answer.Body.Close()
		g.keep(k, answer, data)
	case err == nil:
		g.handOver(k, answer, data)
	default:
		answer.Body.Close()
		g.settleKept(k, wire.RefuseUnknown(wire.ReasonTargetFailed, "answer cut short: %s", err))
	}
}

func (g *Gate) settleKept(k *kept, ref *wire.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	k.refusal = ref
	g.kept.finish(k, g.opts.Clock())
}

func (g *Gate) keep(k *kept, answer *wire.Answer, data []byte) {
	g.mu.Lock()
	defer g.mu.Unlock()
	k.answer, k.data = answer, data
	g.kept.finish(k, g.opts.Clock())
}

// handOver gives an answer that is too large to keep to a waiting caller.
func (g *Gate) handOver(k *kept, answer *wire.Answer, head []byte) {
	answer.Body = &headBody{head: head, ReadCloser: answer.Body}
	g.mu.Lock()
	wanted := k.waiters > 0
	if wanted {
		k.stream = answer
	}
	g.kept.finish(k, g.opts.Clock())
	g.mu.Unlock()
	if !wanted {
		answer.Body.Close()
	}
}

// readStart reads a body up to the size and time that are spent on keeping it.
// The error is io.EOF at the body's end, and nil when there is more.
func (g *Gate) readStart(r io.Reader) ([]byte, error) {
	until := g.opts.Clock().Add(keepPatience)
	var data []byte
	buf := make([]byte, readChunk)
	for len(data) <= maxKeptBody {
		n, err := r.Read(buf)
		data = append(data, buf[:n]...)
		if err != nil {
			return data, err
		}
		if g.opts.Clock().After(until) {
			break
		}
	}
	return data, nil
}

const readChunk = 4 << 10 // bytes

// cancelBody ends the exchange's context with the body.
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

// headBody puts back what was read of a body.
type headBody struct {
	head []byte
	io.ReadCloser
}

// Read implements io.Reader.
func (b *headBody) Read(p []byte) (int, error) {
	if len(b.head) == 0 {
		return b.ReadCloser.Read(p)
	}
	n := copy(p, b.head)
	b.head = b.head[n:]
	return n, nil
}

var errNotKept = errors.New("the answer was too large to keep")
