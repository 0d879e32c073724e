package headers_test

import (
	"slices"
	"testing"

	"github.com/gooseberryshed/gooseberryshed/headers"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

func TestCleanRequest(t *testing.T) {
	h := &fasthttp.RequestHeader{}
	for _, name := range []string{
		"Connection", "Keep-Alive", "Proxy-Authorization", "Te", "Upgrade", "Expect", "X-Named", "X-Other",
		"Gooseberryshed-Workspace", "GOOSEBERRYSHED-x", "X-Stays", "Cookie", "Authorization", "X-Api-Key",
	} {
		h.Set(name, "v=1")
	}
	h.Set("Connection", "x-named, X-Other ,close")
	h.Add("Gooseberryshed-Workspace", "again")
	headers.CleanRequest(h)
	headers.DropCredentials(h)
	var left []string
	for k := range h.All() {
		left = append(left, string(k))
	}
	slices.Sort(left)
	assert.DeepEqual(t, left, []string{"Cookie", "X-Stays"})
	assert.Assert(t, !h.ConnectionClose())
}

func TestCleanResponse(t *testing.T) {
	h := &fasthttp.ResponseHeader{}
	h.Set("Connection", "X-Named, close")
	h.Set("X-Named", "1")
	h.Set("Gooseberryshed-Run", "not-run")
	h.Set("X-Stays", "1")
	h.Add("Set-Cookie", "a=1")
	h.Add("Set-Cookie", "b=2")
	headers.CleanResponse(h)
	assert.Equal(t, len(h.Peek("X-Named"))+len(h.Peek("Gooseberryshed-Run")), 0)
	assert.Equal(t, string(h.Peek("X-Stays")), "1")
	assert.Equal(t, string(h.PeekCookie("a")), "a=1")
	assert.Equal(t, string(h.PeekCookie("b")), "b=2")
	assert.Assert(t, !h.ConnectionClose())
}
