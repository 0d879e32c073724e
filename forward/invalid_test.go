package forward_test

import (
	"context"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/headers"
	"github.com/gooseberryshed/gooseberryshed/internal/standin/rawanswer"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

// Guards against taking an invalid answer of another daemon for a target's. The request may have run. An attempt that is not idempotent may be sent again to the
// same daemon, which runs it once, under the same id.
func TestInvalidAnswerOfADaemonIsRefused(t *testing.T) {
	for _, c := range rawanswer.Broken {
		for _, f := range []rawanswer.Framing{rawanswer.Length, rawanswer.Chunked} {
			if !c.Has(f) {
				continue
			}
			for _, idempotent := range []bool{true, false} {
				t.Run(c.Name+"/"+string(f), func(t *testing.T) {
					att := attempt()
					att.Idempotent = idempotent
					p, err := rawanswer.Start(func(h *fasthttp.RequestHeader, _ int) (string, int, bool) {
						assert.Check(t, string(h.Peek(headers.Attempt)) == att.ID.String())
						own := headers.Attempt + ": " + att.ID.String() + "\r\n" +
							"Gooseberryshed-Reply: incarnation=4&generation=5&in-flight=0&limit=4&gate-revision=9&length=2\r\n"
						return c.Bytes(f, own), 0, false
					})
					assert.NilError(t, err)
					defer p.Close()
					cl := client(t, p.Addr(), "new")
					err = readAll(cl.Forward(context.Background(), "h", att, request()))
					assert.Assert(t, err != nil, "taken for an answer")
					if ref := wire.AsRefusal(err); ref != nil {
						assert.Equal(t, ref.Run, wire.Unknown)
					}
					if idempotent {
						assert.Equal(t, p.Requests.Load(), int64(1), "requests at the daemon")
					}
					assert.Equal(t, cl.Stats().Connections.Invalid, p.Requests.Load())
				})
			}
		}
	}
}
