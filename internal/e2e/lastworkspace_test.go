package e2e

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/internal/e2e/harness"
)

// Guards against routes that open as the last workspace or the last key is taken away, on open
// connections and after a restart.
func TestRoutesStayKeyedWithoutWorkspaces(t *testing.T) {
	t.Parallel()
	f := harness.Start(t, harness.Options{Hosts: 3})
	unrestricted := strings.Replace(harness.RouteSection(nil), ", workspaces: [w1]", "", 1)
	const customers = "  - name: customers\n    team: sales\n"
	noKeys := map[string]harness.WorkspaceSpec{}
	for _, ws := range []string{"w1", "w2", "w3"} {
		noKeys[ws] = harness.WorkspaceSpec{Rate: "2000/s", Burst: 2000, Keys: []string{}}
	}
	for _, stage := range []struct {
		name, section string
		keyed         int
	}{
		{"an empty list", customers + "    workspaces: []\n", 401},
		{"given back", harness.WorkspaceSection(nil), 200},
		{"no list", customers, 401},
		{"given back again", harness.WorkspaceSection(nil), 200},
		{"workspaces without keys", strings.ReplaceAll(harness.WorkspaceSection(noKeys), "keys:\n", "keys: []\n"), 401},
	} {
		f.Apply(stage.section, unrestricted)
		for i := range f.Hosts {
			r := harness.Request{Host: i, Workspace: "w1"}
			ok := harness.Poll(configTimeout, func() bool { return f.Call(r).Status == stage.keyed })
			assert.Check(t, ok, "%s: not in force at host %d", stage.name, i)
		}
		check := func(when string, host int) {
			for _, c := range []struct {
				name   string
				r      harness.Request
				status int
			}{
				{"with the key", harness.Request{Workspace: "w1"}, stage.keyed},
				{"route of one workspace", harness.Request{Workspace: "w1", Path: "/w1"}, stage.keyed},
				{"without a key", harness.Request{KeyForm: harness.KeyNone}, 401},
				{"with a key that was never issued", harness.Request{Workspace: "w1", KeyID: "k9"}, 401},
				{"open route", harness.Request{KeyForm: harness.KeyNone, Path: "/open", Method: "GET"}, 200},
			} {
				c.r.Host = host
				got := f.Call(c.r)
				assert.Check(t, got.Status == c.status, "%s, %s, %s at host %d: %+v", stage.name, when, c.name, host, got)
			}
		}
		for i := range f.Hosts {
			check("on open connections", i)
		}
		f.Hosts[0].Daemon.Kill()
		f.StartDaemon(f.Hosts[0])
		ok := harness.Poll(configTimeout, func() bool {
			return f.Call(harness.Request{KeyForm: harness.KeyNone, Path: "/open", Method: "GET"}).Succeeded()
		})
		assert.Check(t, ok, "%s: not served after the restart", stage.name)
		check("after a restart", 0)
	}
}

// Guards against a restricted route that admits everybody once its list of workspaces is empty.
func TestEmptyListOfARouteIsRefused(t *testing.T) {
	t.Parallel()
	f := harness.Start(t, harness.Options{Hosts: 3})
	empty := strings.Replace(harness.RouteSection(nil), "workspaces: [w1]", "workspaces: []", 1)
	out, status := f.CLI("config", "apply", f.WriteChange("empty.yaml", empty))
	assert.Check(t, status != 0, out)
	assert.Check(t, strings.Contains(out, "workspaces is an empty list"), out)
	assert.Equal(t, f.Call(harness.Request{Workspace: "w2", Path: "/w1"}).Status, 403)
}
