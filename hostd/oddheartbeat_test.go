package hostd

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

func TestOddHeartbeatOfAnotherWriterDoesNotReplaceTheTarget(t *testing.T) {
	f := newFleet(t, 1)
	h := f.hosts[0]
	heartbeat := func(change func(fields map[string]any)) string {
		fields := map[string]any{}
		assert.NilError(t, json.Unmarshal(h.target.Heartbeat("dc-a", "ready"), &fields))
		fields["born"] = time.Now().UnixMilli()
		change(fields)
		body, err := json.Marshal(fields)
		assert.NilError(t, err)
		return string(body)
	}
	set := func(name, value string) func(map[string]any) {
		return func(fields map[string]any) { fields[name] = json.RawMessage(value) }
	}
	odd := map[string]string{
		"deeply nested":      strings.Repeat("[", 4000),
		"nested field":       heartbeat(set("version", strings.Repeat("[", 1500)+strings.Repeat("]", 1500))),
		"started far ahead":  heartbeat(set("born", "9000000000000000000")),
		"started too far":    heartbeat(set("born", "9e300")),
		"too many slots":     heartbeat(set(standin.FieldSlots, "9000000000000000000")),
		"slots too large":    heartbeat(set(standin.FieldSlots, "1e300")),
		"cold for ever":      heartbeat(set(standin.FieldCold, "1e300")),
		"port out of range":  heartbeat(set("address", `"127.0.1.1:70000"`)),
		"port too large":     heartbeat(set("address", `"127.0.1.1:99999999999999999999"`)),
		"unknown service":    heartbeat(set("service", `"nobody"`)),
		"sequence too large": heartbeat(set("sequence", "1e300")),
	}
	for name, body := range odd {
		t.Run(name, func(t *testing.T) {
			req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			req.SetRequestURI("http://" + h.settings.AnnounceListen + "/instances/i-odd")
			req.Header.SetMethod(fasthttp.MethodPut)
			req.SetBodyString(body)
			assert.NilError(t, fasthttp.DoTimeout(req, resp, 2*time.Second))
			assert.Check(t, resp.StatusCode() != fasthttp.StatusOK)
		})
	}
	_, err := h.target.Announce(h.settings.AnnounceListen, "dc-a", "ready")
	assert.NilError(t, err)
	r, err := h.call(standin.Call{Method: "GET", URI: "/read/a", Key: testKey, Attempt: "after"})
	assert.NilError(t, err)
	assert.Equal(t, r.Status, fasthttp.StatusOK)
}
