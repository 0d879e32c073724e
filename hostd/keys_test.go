package hostd

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/platform/standin"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

const unknownKey = "key-that-was-never-issued"

// keyStage is a configuration, and the statuses of requests on a route that is not open.
type keyStage struct {
	name       string
	workspaces []standin.Workspace
	// absent is set if the configuration has no list of workspaces.
	absent                   bool
	noKey, goodKey, otherKey int
}

// Stages of the list of workspaces.
var (
	stageKeyed    = keyStage{"one with a key", []standin.Workspace{{Name: testWorkspace, Key: testKey}}, false, 401, 200, 401}
	stageKeyless  = keyStage{"one without keys", []standin.Workspace{{Name: testWorkspace}}, false, 401, 401, 401}
	stageEmpty    = keyStage{"empty", nil, false, 401, 401, 401}
	stageNoneList = keyStage{"absent", nil, true, 200, 200, 200}
)

// putStage writes the configuration of a stage.
func (f *testFleet) putStage(revision int, s keyStage) {
	if s.absent {
		f.store.Put(karpithaz.OperatorTable, karpithaz.ConfigKey, standin.EncodeConfigWithoutWorkspaces(revision, []string{"svc"}, f.routes))
		return
	}
	f.workspaces = s.workspaces
	f.configure(revision)
}

// connection sends calls on one open connection.
type connection struct{ client *fasthttp.HostClient }

var callsSent atomic.Int64

func (c *connection) status(t *testing.T, uri, key string) int {
	t.Helper()
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	attempt := fmt.Sprintf("keys-%d", callsSent.Add(1))
	standin.Call{Attempt: attempt, Method: http.MethodPost, URI: uri, Host: testHost, Key: key, Timeout: 3 * time.Second, Body: "b"}.Write(req)
	assert.NilError(t, c.client.DoTimeout(req, resp, 4*time.Second))
	return resp.StatusCode()
}

func newConnection(h *testHostd) *connection {
	return &connection{client: &fasthttp.HostClient{Addr: h.settings.CallerListen, MaxConns: 1}}
}

// check sends a request of each kind on the connection.
func (s keyStage) check(t *testing.T, c *connection) {
	t.Helper()
	assert.Equal(t, c.status(t, "/order/1", ""), s.noKey, "without a key")
	assert.Equal(t, c.status(t, "/order/1", testKey), s.goodKey, "with the key")
	assert.Equal(t, c.status(t, "/order/1", unknownKey), s.otherKey, "with a key that was never issued")
	assert.Equal(t, c.status(t, "/inner/1", ""), 200, "nested call without a key")
}

// Guards against routes that open as the last workspace or its key is taken away: in each
// change of the list of workspaces, on open connections and after a restart.
func TestKeysAreAskedForAsTheListOfWorkspacesChanges(t *testing.T) {
	t.Parallel()
	for _, sequence := range [][]keyStage{
		{stageKeyed, stageEmpty, stageKeyed, stageKeyless, stageKeyed},
		{stageNoneList, stageEmpty, stageNoneList, stageKeyed, stageNoneList},
	} {
		t.Run(sequence[0].name+" first", func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 2)
			open := newConnection(f.hosts[1])
			stageKeyed.check(t, open)
			for i, s := range sequence {
				f.putStage(i+2, s)
				f.awaitRevision(i + 2)
				s.check(t, open)
				f.restart(0)
				s.check(t, newConnection(f.hosts[0]))
			}
		})
	}
}

// Guards against asking for keys in a fleet that has no workspaces, also while the store is
// away for longer than a revoked key may be valid.
func TestFleetWithoutWorkspacesNeedsNoKey(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1)
	f.putStage(2, stageNoneList)
	f.awaitRevision(2)
	f.store.SetHostFault("", standin.ModeSilent)
	open := newConnection(f.hosts[0])
	for lost := time.Now(); time.Since(lost) < f.hosts[0].settings.Bounds.RevocationDeadline+time.Second; time.Sleep(200 * time.Millisecond) {
		assert.Equal(t, open.status(t, "/order/1", ""), 200)
	}
}

// Guards against a host that is cut off and takes a key of a list that has been emptied for
// longer than allowed, or one that was never issued.
func TestEmptiedListBehindACut(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	cut := f.hosts[0]
	f.freeze(cut.settings.Host)
	f.putStage(2, stageEmpty)
	acked := time.Now()
	f.awaitRevision(2, cut.settings.Host)
	stageEmpty.check(t, newConnection(f.hosts[1]))
	open := newConnection(cut)
	f.await("key refused behind the cut", func() bool {
		other := open.status(t, "/order/1", unknownKey)
		assert.Assert(t, other == 401 || other == 503, other)
		sent := time.Now()
		status := open.status(t, "/order/1", testKey)
		assert.Assert(t, status != 200 || sent.Sub(acked) < 5*time.Second, "served a key %s after it was taken away", sent.Sub(acked))
		return status == 503
	})
	f.thaw(cut.settings.Host)
	f.awaitRevision(2)
	stageEmpty.check(t, open)
}

// Guards against a restored store that brings back a configuration without a list of
// workspaces: on hosts that live, and on one that starts.
func TestListOfWorkspacesOutlastsARestoreOfTheStore(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	f.putStage(2, stageNoneList)
	f.awaitRevision(2)
	older := f.store.Copy()
	f.putStage(3, stageEmpty)
	f.awaitRevision(3)
	f.restoreStore(older)
	f.awaitEra(1)
	for _, h := range f.hosts {
		stageEmpty.check(t, newConnection(h))
	}
	f.restart(0)
	f.await("configuration of the restarted host", func() bool { return f.hosts[0].control.View().Config.Revision == 3 })
	stageEmpty.check(t, newConnection(f.hosts[0]))
}

// Guards against keys that stay valid although a configuration that cannot be read may have
// taken them away, and against one that is applied in part.
func TestConfigurationThatCannotBeReadProvesNothing(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	good := standin.EncodeConfig(2, []string{"svc"}, f.routes, nil)
	bad := []byte(strings.Replace(string(good), `"tenants":{`, `"tenants":null,"unheardOf":{`, 1))
	f.store.Put(karpithaz.OperatorTable, karpithaz.ConfigKey, bad)
	acked := time.Now()
	f.await("refused on all hosts", func() bool {
		for _, h := range f.hosts {
			if h.control.View().unread == nil {
				return false
			}
		}
		return true
	})
	assert.Equal(t, newConnection(f.hosts[0]).status(t, "/order/1", unknownKey), 401)
	for _, h := range f.hosts {
		open := newConnection(h)
		f.await("key no longer taken", func() bool {
			sent := time.Now()
			status := open.status(t, "/order/1", testKey)
			assert.Assert(t, status != 200 || sent.Sub(acked) < 5*time.Second, "served a key %s after the change", sent.Sub(acked))
			return status == 503
		})
		assert.Equal(t, h.control.View().Config.Revision, uint64(1))
		assert.Equal(t, open.status(t, "/inner/1", ""), 200, "routes that need no key are served")
		assert.Equal(t, open.status(t, "/order/1", unknownKey), 503, "the newer configuration may know the key")
		assert.Assert(t, strings.Contains(h.logs.String(), "configuration refused as a whole"))
		var text strings.Builder
		assert.NilError(t, h.metrics.WriteText(&text))
		assert.Assert(t, !strings.Contains(text.String(), "config_unread_version 0\n"), text.String())
	}
	f.putStage(3, stageKeyed)
	f.awaitRevision(3)
	stageKeyed.check(t, newConnection(f.hosts[0]))
}

// Guards against a host that has not seen yet that keys are needed: the gate with the newer
// configuration decides.
func TestGateRefusesWhatItsNewerConfigurationDoesNotAdmit(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1)
	f.putStage(5, stageKeyed)
	f.awaitRevision(5)
	h := f.hosts[0]
	cases := []struct {
		name  string
		f     Forward
		stale bool
	}{
		{"older, without a key", Forward{Route: "order", Revision: 4}, true},
		{"older, workspace gone", Forward{Route: "order", Revision: 4, Workspace: "gone"}, true},
		{"older, with the key", Forward{Route: "order", Revision: 4, Workspace: testWorkspace}, false},
		{"older, open route", Forward{Route: "inner", Revision: 4}, false},
		{"older, route unknown here", Forward{Route: "former", Revision: 4}, false},
		{"as new", Forward{Route: "order", Revision: 5}, false},
		{"newer", Forward{Route: "order", Revision: 6}, false},
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.f.Attempt, c.f.Target, c.f.Service = fmt.Sprintf("g%d", i), h.target.ID, "svc"
			c.f.TimeLeftMs, c.f.MaxGray = 2000, 1
			req := &fasthttp.Request{}
			standin.Call{Attempt: c.f.Attempt, Method: http.MethodPost, URI: "/order/1", Host: testHost, Timeout: 2 * time.Second}.Write(req)
			r := h.gate.Forward(context.Background(), c.f, req, nil)
			if !c.stale {
				assert.Assert(t, r.Answer != nil, "%+v", r.Refusal)
				r.Answer.release()
				return
			}
			assert.Assert(t, r.Refusal != nil)
			assert.Equal(t, r.Refusal.Reason, wire.ReasonStaleConfig)
			assert.Equal(t, r.Refusal.Run, wire.NotRun)
			assert.Equal(t, f.runsOf(c.f.Attempt), 0)
		})
	}
}

// Guards against routes that open without a trace: the log and a counter name the
// configuration.
func TestOpenedRoutesAreReported(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1)
	h := f.hosts[0]
	metric := func(line string) bool {
		var text strings.Builder
		assert.NilError(t, h.metrics.WriteText(&text))
		return strings.Contains(text.String(), line+"\n")
	}
	assert.Assert(t, metric("routes_without_key 1") && metric("routes_opened_revision 1") && metric("routes_opened 1"))
	f.putStage(2, stageEmpty)
	f.awaitRevision(2)
	assert.Assert(t, metric("routes_without_key 1") && metric("routes_opened_revision 1") && metric("routes_opened 1"))
	f.putStage(3, stageNoneList)
	f.awaitRevision(3)
	f.await("reported", func() bool { return h.logs.count("routes-opened") == 2 })
	assert.Assert(t, metric("routes_without_key 4") && metric("routes_opened_revision 3") && metric("routes_opened 4"))
	assert.Assert(t, strings.Contains(h.logs.String(), `"revision":3,"count":3,"routes":["long","order","read"],"workspace_list":"none"`), h.logs.String())
}
