package forward_test

import (
	"context"
	"io"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// TestMessagesPassUnchanged checks that uncommon requests and responses are not
// altered by client, server and gate.
func TestMessagesPassUnchanged(t *testing.T) {
	const multipart = "--b\r\nContent-Disposition: form-data; name=\"a\"\r\n\r\n1\r\n--b--\r\nepilogue"
	tests := []struct {
		name   string
		method string
		body   string
		fields map[string]string
		handle fasthttp.RequestHandler
		status int
		length int
		want   string
	}{
		{"head", "HEAD", "", nil, func(rc *fasthttp.RequestCtx) { rc.SetBodyString("hello") }, 200, 5, ""},
		{"no content", "DELETE", "", nil, func(rc *fasthttp.RequestCtx) { rc.SetStatusCode(204) }, 204, 0, ""},
		{"not modified", "GET", "", nil, func(rc *fasthttp.RequestCtx) {
			rc.SetStatusCode(304)
			rc.Response.Header.Set("Etag", `"1"`)
		}, 304, 0, ""},
		{"server error", "GET", "", nil, func(rc *fasthttp.RequestCtx) { rc.Error("broken", 500) }, 500, 6, "broken"},
		{"empty post", "POST", "", nil, func(rc *fasthttp.RequestCtx) { rc.SetBody(rc.PostBody()) }, 200, 0, ""},
		{"multipart", "POST", multipart, map[string]string{"Content-Type": "multipart/form-data; boundary=b"},
			func(rc *fasthttp.RequestCtx) { rc.SetBody(rc.Request.Body()) }, 200, len(multipart), multipart},
		{"cookies", "GET", "", map[string]string{"Cookie": "a=1; b=2"},
			func(rc *fasthttp.RequestCtx) { rc.SetBody(rc.Request.Header.Peek("Cookie")) }, 200, 8, "a=1; b=2"},
		{"get with body", "GET", "query", nil, func(rc *fasthttp.RequestCtx) { rc.SetBody(rc.Request.Body()) }, 200, 5, "query"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c := startChain(t, direct, tc.handle)
			req := &fasthttp.Request{}
			req.Header.SetMethod(tc.method)
			req.SetRequestURI("/x")
			req.Header.SetHost("shop")
			for k, v := range tc.fields {
				req.Header.Set(k, v)
			}
			req.SetBodyString(tc.body)
			for _, idempotent := range []bool{true, false, true} {
				att := c.attempt()
				att.Idempotent = idempotent
				response, err := c.client.Forward(context.Background(), "h", att, req)
				assert.NilError(t, err)
				got, err := io.ReadAll(response.Body)
				assert.NilError(t, err)
				assert.Equal(t, string(got), tc.want)
				assert.Equal(t, response.Header.StatusCode(), tc.status)
				assert.Equal(t, response.Length, tc.length)
			}
		})
	}
}

// TestResponseSizes uses sizes around the limits up to which responses are
// buffered and kept for replay; larger ones are streamed.
func TestResponseSizes(t *testing.T) {
	for _, size := range []int{1, 4095, 4096, 32 << 10, 32<<10 + 1, 200_000, 5 << 20} {
		body := strings.Repeat("x", size)
		c := startChain(t, direct, func(rc *fasthttp.RequestCtx) { rc.SetBodyString(body) })
		for _, idempotent := range []bool{true, false} {
			att := c.attempt()
			att.Idempotent = idempotent
			response, err := c.client.Forward(context.Background(), "h", att, request())
			assert.NilError(t, err)
			got, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Equal(t, len(got), size)
			assert.Equal(t, response.Length, size)
		}
	}
}
