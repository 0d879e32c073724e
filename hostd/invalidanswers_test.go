package hostd

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/decisions"
	"github.com/gooseberryshed/gooseberryshed/internal/standin/rawanswer"
	"github.com/gooseberryshed/gooseberryshed/metrics"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/platform/standin"
	"github.com/gooseberryshed/gooseberryshed/respsyntax"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

// Guards against taking an invalid answer of another host for a target's, or for changes of the
// configuration.
func TestInvalidAnswerOfAHostIsRefused(t *testing.T) {
	t.Parallel()
	for _, c := range rawanswer.Broken {
		for _, f := range []rawanswer.Framing{rawanswer.Length, rawanswer.Chunked} {
			if !c.Has(f) {
				continue
			}
			t.Run(c.Name+"/"+string(f), func(t *testing.T) {
				t.Parallel()
				peer, err := rawanswer.Start(func(*fasthttp.RequestHeader, int) (string, int, bool) {
					return c.Bytes(f, headerReport+": {\"l\":7,\"r\":0,\"s\":4,\"g\":0}\r\n"), 0, false
				})
				assert.NilError(t, err)
				defer peer.Close()
				client := newGateClient("127.0.0.1", newAccount(&karpithaz.Settings{}))
				defer client.links.Close()
				var invalid atomic.Int64
				client.links.SetOnInvalid(func(string, *respsyntax.Violation) { invalid.Add(1) })
				req := &fasthttp.Request{}
				standin.Call{Attempt: "a", Method: "POST", Host: testHost, URI: "/order/1", Body: "b", Timeout: rawPatience}.Write(req)
				forward := Forward{Attempt: "a", Target: "t", TimeLeftMs: rawPatience.Milliseconds()}
				r := client.Forward(context.Background(), Target{Gate: peer.Addr(), Host: "h"}, forward, req, offerEvents{sent: func() {}, heartbeat: func() {}})
				assert.Assert(t, r.Answer == nil, "taken for an answer")
				assert.Equal(t, r.Refusal.Run, wire.Unknown, "%v", r.Refusal)
				assert.Equal(t, peer.Requests.Load(), int64(1), "requests at the host")
				var changes operatorChanges
				assert.Assert(t, client.fetchChanges(context.Background(), peer.Addr(), operatorChangesPath, 0, &changes) != nil)
				assert.Equal(t, invalid.Load(), int64(2))
			})
		}
	}
}

// The refusal of an answer says which rule is broken by which bytes, in the log, in the counters
// and in the detail of the refusal.
func TestRefusedAnswerIsReported(t *testing.T) {
	var out logBuffer
	l, m := decisions.New(&out), metrics.New()
	ctx, stop := context.WithCancel(context.Background())
	written := make(chan error, 1)
	go func() { written <- l.Run(ctx) }()
	head := respsyntax.Head{}
	_, err := head.Scan([]byte("HTTP/1.1 200 OK\r\nX Y: 1\r\n\r\n"))
	var v *respsyntax.Violation
	assert.Assert(t, errors.As(err, &v))
	recordInvalid(fromTarget, l, m)("127.0.0.1:7", v)
	stop()
	<-written
	for _, want := range []string{`"msg":"answer-invalid"`, `"from":"target"`, `"address":"127.0.0.1:7"`, `"rule":"field-name"`,
		`"source":"RFC 9112 section 5.1"`, `"bytes":"\"X \""`, `"offset":18`} {
		assert.Assert(t, strings.Contains(out.String(), want), "%s is missing in %s", want, out.String())
	}
	var text strings.Builder
	assert.NilError(t, m.WriteText(&text))
	assert.Assert(t, strings.Contains(text.String(), "answers_invalid_target 1\n"), text.String())
	assert.Assert(t, strings.Contains(text.String(), "answers_invalid_target_field-name 1\n"), text.String())
}
