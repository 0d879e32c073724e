package admin

import (
	"encoding/json"
	"net"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/daemon"
	"github.com/gooseberryshed/gooseberryshed/member"
)

// serveDaemon serves the admin pages of a daemon named host and returns its address.
func serveDaemon(t *testing.T, host string, members func(own string) []member.Daemon) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { ln.Close() })
	own := ln.Addr().String()
	pages := map[string]any{PageStatus: daemon.Status{Host: host}, PageMembers: members(own)}
	go fasthttp.Serve(ln, func(rc *fasthttp.RequestCtx) { //nolint:errcheck // ends with the listener
		body, err := json.Marshal(pages[string(rc.Path())])
		assert.Check(t, err)
		rc.SetBody(body)
	})
	return own
}

// TestSharedAdminAddressIsRejected guards against reporting one daemon's status for
// another host: two member records share an address, as loopback addresses can.
func TestSharedAdminAddressIsRejected(t *testing.T) {
	addr := serveDaemon(t, "h1", func(own string) []member.Daemon {
		return []member.Daemon{{Host: "h1", AdminAddr: own}, {Host: "h2", AdminAddr: own}, {Host: "h3"}}
	})
	f := New().Fleet(t.Context(), []string{addr})
	assert.Equal(t, len(f), 3)
	assert.NilError(t, f[0].Err)
	assert.ErrorContains(t, f[1].Err, "set --admin-listen")
	assert.ErrorContains(t, f[2].Err, "upgrade its daemon")
	assert.DeepEqual(t, f.Unresponsive(), []string{"h2", "h3"})
}

func TestAddressOfAnotherServer(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	go fasthttp.Serve(ln, func(rc *fasthttp.RequestCtx) { rc.Error("no", fasthttp.StatusNotFound) }) //nolint:errcheck // ends with the listener
	f := New().Fleet(t.Context(), []string{ln.Addr().String()})
	assert.ErrorContains(t, f[0].Err, "check that this is the admin address")
}
