package hostd

import (
	"context"
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

// A target that signed off at a daemon that had just restarted, and started again under its
// ID, was taken to be leaving for good.
func TestTargetThatSignedOffAtARestartedDaemonReturns(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name    string
		found   bool // by a health check, before the sign-off
		born    time.Time
		leaving bool
	}{
		{"later incarnation", false, now.Add(2 * time.Second), false},
		{"later incarnation of a target found by a health check", true, now.Add(2 * time.Second), false},
		{"late heartbeat of the incarnation that signed off", false, now.Add(-time.Minute), true},
		{"late heartbeat of one found by a health check", true, now.Add(-time.Minute), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g, rows := newTestGate(t)
			if c.found {
				g.applyHeartbeat(newHeartbeat("a", 0, 0, false), now)
			}
			g.markLeaving("a")
			departed := (*rows)[len(*rows)-1]
			assert.Equal(t, departed.includes("a", c.born.UnixMilli()), c.leaving, "departed row %+v", departed)
			g.applyHeartbeat(newHeartbeat("a", c.born.UnixMilli(), 1, false), now.Add(3*time.Second))
			assert.Equal(t, g.target.leaving, c.leaving)
		})
	}
}

// A configuration without the service of this host's settings ended the process at the next
// health check.
func TestHealthCheckWithoutItsServiceFails(t *testing.T) {
	g, _ := newTestGate(t)
	_, ok := g.checkHealth(context.Background(), time.Second)
	assert.Assert(t, !ok)
}
