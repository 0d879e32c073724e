package admin

import (
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/daemon"
	"github.com/gooseberryshed/gooseberryshed/internal/standin/rawanswer"
	"github.com/gooseberryshed/gooseberryshed/respsyntax"
)

// asPage replaces the body of an answer by an empty JSON object of the same size.
func asPage(answer string) string {
	return strings.NewReplacer("\r\no\r\n", "\r\n{\r\n", "\r\nk\r\n", "\r\n}\r\n", "ok", "{}").Replace(answer)
}

func TestInvalidPageIsRefused(t *testing.T) {
	get := func(t *testing.T, c rawanswer.Case, f rawanswer.Framing) error {
		p, err := rawanswer.Start(func(*fasthttp.RequestHeader, int) (string, int, bool) { return asPage(c.Bytes(f, "")), 0, false })
		assert.NilError(t, err)
		defer p.Close()
		var s daemon.Status
		return New().Get(t.Context(), p.Addr(), PageStatus, &s)
	}
	for _, f := range []rawanswer.Framing{rawanswer.Length, rawanswer.Chunked} {
		for _, c := range rawanswer.Broken {
			if c.Has(f) {
				t.Run(c.Name+"/"+string(f), func(t *testing.T) {
					var v *respsyntax.Violation
					err := get(t, c, f)
					assert.Assert(t, errors.As(err, &v), "%v", err)
				})
			}
		}
		for _, c := range rawanswer.Sound {
			if c.Has(f) {
				t.Run(c.Name+"/"+string(f), func(t *testing.T) { assert.NilError(t, get(t, c, f)) })
			}
		}
	}
}
