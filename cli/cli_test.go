package cli

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/admin"
	"github.com/gooseberryshed/gooseberryshed/config"
	"github.com/gooseberryshed/gooseberryshed/configstore"
	"github.com/gooseberryshed/gooseberryshed/daemon"
	"github.com/gooseberryshed/gooseberryshed/member"
	"github.com/gooseberryshed/gooseberryshed/platform/standin"
	"github.com/gooseberryshed/gooseberryshed/report"
)

const document = `sections:
  - name: places
    team: platform
    datacentres: [{name: alfold-1, region: alfold}]
  - name: orders
    team: orders
    workspaces: [{name: retail-1, rate: 50/s, burst: 20}]
    services: [{name: orders}]
    routes: [{path: /orders, service: orders}]
`

// testEnv provides a stand-in platform and temporary files.
type testEnv struct {
	t        *testing.T
	platform *standin.Platform
	url      string
}

func newTestEnv(t *testing.T) *testEnv {
	t.Helper()
	p := standin.New()
	return &testEnv{t: t, platform: p, url: "http://" + listen(t, p.Handle)}
}

func listen(t *testing.T, handler fasthttp.RequestHandler) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go fasthttp.Serve(ln, handler) //nolint:errcheck // ends with the listener
	t.Cleanup(func() { ln.Close() })
	return ln.Addr().String()
}

// output is the exit code and output of a command.
type output struct {
	code        int
	stdout, err string
}

// run runs a command against the stand-in platform.
func (env *testEnv) run(args ...string) output {
	env.t.Helper()
	return runWith(New(), append([]string{"--platform", env.url}, args...)...)
}

func runWith(root *cobra.Command, args ...string) output {
	var stdout, stderr bytes.Buffer
	root.SetArgs(args)
	root.SetOut(&stdout)
	root.SetErr(&stderr)
	code := Execute(root)
	return output{code: code, stdout: stdout.String(), err: stderr.String()}
}

func (env *testEnv) file(text string) string {
	env.t.Helper()
	name := filepath.Join(env.t.TempDir(), "doc.yaml")
	assert.NilError(env.t, os.WriteFile(name, []byte(text), 0o600))
	return name
}

// mustSucceed runs a command and requires exit code 0.
func (env *testEnv) mustSucceed(args ...string) output {
	env.t.Helper()
	out := env.run(args...)
	assert.Equal(env.t, out.code, exitOK, "%s", out.err)
	return out
}

// mustFail runs a command and requires an exit code and a substring of the error message.
func (env *testEnv) mustFail(code int, message string, args ...string) {
	env.t.Helper()
	out := env.run(args...)
	assert.Equal(env.t, out.code, code, "%s", out.err)
	assert.Assert(env.t, strings.Contains(out.err, message), "%s", out.err)
}

func (env *testEnv) snapshot() *config.Snapshot {
	env.t.Helper()
	st, err := configstore.New(env.platform, nil).Load(env.t.Context())
	assert.NilError(env.t, err)
	s, err := st.Snapshot()
	assert.NilError(env.t, err)
	return s
}

func TestApplyShowEditApply(t *testing.T) {
	env := newTestEnv(t)
	out := env.mustSucceed("config", "apply", env.file(document), "-m", "first")
	assert.Equal(t, out.stdout, "accepted, revision 1\n")
	assert.Assert(t, strings.Contains(out.err, "+ section orders: workspace retail-1\n"), out.err)
	shown := env.mustSucceed("config", "show", "orders").stdout
	edited := env.file(strings.Replace(shown, "50/s", "60/s", 1))
	assert.Equal(t, env.mustSucceed("config", "diff", edited).stdout, "~ section orders: workspace retail-1: rate: 50/s -> 60/s\n")
	env.mustSucceed("config", "apply", edited)
	env.mustFail(exitConflict, "section orders was changed at revision 2", "config", "apply", env.file(strings.Replace(shown, "50/s", "70/s", 1)))
	env.mustSucceed("config", "apply", "--overwrite", env.file(strings.Replace(shown, "50/s", "70/s", 1)))
	log := env.mustSucceed("config", "log", "--limit", "3").stdout
	assert.Equal(t, strings.Count(log, "\n"), 3)
	assert.Assert(t, strings.Contains(log, "  first\n"), log)
	assert.Equal(t, env.mustSucceed("config", "apply", edited, "--base", "3").stdout, "accepted, revision 4\n")
	env.mustSucceed("config", "remove", "orders", "--base", "4")
	_, ok := env.snapshot().Workspace("retail-1")
	assert.Assert(t, !ok)
}

func TestRepeatedChangeIDAppliesOnce(t *testing.T) {
	env := newTestEnv(t)
	file := env.file(document)
	env.mustSucceed("config", "apply", file, "--change-id", "c1")
	assert.Equal(t, env.mustSucceed("config", "apply", file, "--change-id", "c1").stdout, "accepted earlier, revision 1\n")
}

func TestKeys(t *testing.T) {
	env := newTestEnv(t)
	env.mustSucceed("config", "apply", env.file(document))
	out := env.mustSucceed("key", "grant", "retail-1", "--id", "retail-1-a")
	secret := strings.TrimSpace(out.stdout)
	key, ok := env.snapshot().FindKey(sha256.Sum256([]byte(secret)))
	assert.Assert(t, ok)
	assert.Equal(t, key, config.KeyRef{ID: "retail-1-a", Workspace: "retail-1"})
	assert.Assert(t, !strings.Contains(env.mustSucceed("config", "show").stdout+out.err, secret))
	env.mustFail(exitFailed, `"retail-1-a" is already`, "key", "grant", "retail-1", "--id", "retail-1-a")
	env.mustFail(exitFailed, "add it to a section first", "key", "grant", "retail-9", "--id", "x")
	env.mustSucceed("key", "withdraw", "retail-1-a")
	_, ok = env.snapshot().FindKey(sha256.Sum256([]byte(secret)))
	assert.Assert(t, !ok)
	env.mustFail(exitFailed, "may already have been withdrawn", "key", "withdraw", "retail-1-a")
}

// TestRepeatedCommandsWithChangeID repeats commands with the same change id.
// Their edits can no longer be computed from the current document. A repeated grant
// must not print a new secret, because that secret was never stored.
func TestRepeatedCommandsWithChangeID(t *testing.T) {
	env := newTestEnv(t)
	env.mustSucceed("config", "apply", env.file(document))
	env.mustSucceed("key", "grant", "retail-1", "--id", "a", "--change-id", "g1")
	out := env.run("key", "grant", "retail-1", "--id", "a", "--change-id", "g1")
	assert.Equal(t, out.code, exitFailed)
	assert.Equal(t, out.stdout, "")
	assert.Assert(t, strings.Contains(out.err, "its secret is lost"), out.err)
	env.mustSucceed("key", "withdraw", "a", "--change-id", "w1")
	assert.Equal(t, env.mustSucceed("key", "withdraw", "a", "--change-id", "w1").stdout, "accepted earlier, revision 3\n")
}

func TestUncertainGrantNamesRemedy(t *testing.T) {
	env := newTestEnv(t)
	env.mustSucceed("config", "apply", env.file(document))
	env.platform.SetFault(standin.Fault{Mode: standin.ModeLoseReplies})
	env.mustFail(exitUnavailable, "platform", "--timeout", "300ms", "key", "grant", "retail-1", "--id", "a")
	uncertain := &configstore.UncertainError{ChangeID: "c"}
	assert.ErrorContains(t, wrapGrantError(uncertain, "a"), "key withdraw a, then grant a new key")
	assert.Equal(t, ExitCode(runError{wrapGrantError(uncertain, "a")}), exitUnavailable)
}

func TestDataCentres(t *testing.T) {
	env := newTestEnv(t)
	env.mustSucceed("config", "apply", env.file(document))
	for _, state := range []config.DataCentreState{config.DataCentreOut, config.DataCentreIn} {
		env.mustSucceed("datacentre", string(state), "alfold-1")
		dc, ok := env.snapshot().DataCentre("alfold-1")
		assert.Assert(t, ok)
		assert.Equal(t, dc.State, state)
	}
	env.mustFail(exitFailed, "no data centre", "datacentre", "out", "nowhere")
}

func TestExitCodes(t *testing.T) {
	env := newTestEnv(t)
	good := env.file(document)
	env.mustFail(exitUsage, "unknown command", "frob")
	env.mustFail(exitUsage, "unknown command", "config", "frob")
	env.mustFail(exitUsage, "requires at least 1 arg", "config", "apply")
	env.mustFail(exitUsage, "unknown flag", "config", "apply", "--frob")
	env.mustFail(exitUsage, "--wait requires --admin", "config", "apply", good, "--wait")
	env.mustFail(exitUsage, "pass --admin", "status")
	env.mustFail(exitFailed, "no such file", "config", "validate", "absent.yaml")
	env.mustFail(exitFailed, "doc.yaml:3:5: section places: section has the unknown field", "config", "validate", env.file(strings.Replace(document, "team: platform", "taem: platform", 1)))
	env.platform.SetFault(standin.Fault{Mode: standin.ModeDown})
	env.mustFail(exitUnavailable, "the request had no effect, retry later", "config", "show")
	assert.Equal(t, runWith(New(), "config", "show").code, exitUsage)
	assert.Equal(t, runWith(New(), "config", "validate", good).code, exitOK)
}

func TestPartialValidation(t *testing.T) {
	env := newTestEnv(t)
	env.mustSucceed("config", "apply", env.file(document))
	part := env.file("sections: [{name: more, team: orders, routes: [{path: /more, service: orders}]}]")
	env.mustFail(exitFailed, `unknown service "orders"`, "config", "validate", part)
	env.mustSucceed("config", "validate", "--partial", part)
}

func TestFlagsFromEnvironment(t *testing.T) {
	env := newTestEnv(t)
	t.Setenv("GOOSEBERRYSHED_PLATFORM", env.url)
	assert.Equal(t, runWith(New(), "config", "show").code, exitOK)
	t.Setenv("GOOSEBERRYSHED_TIMEOUT", "soon")
	out := runWith(New(), "config", "show")
	assert.Equal(t, out.code, exitUsage)
	assert.Assert(t, strings.Contains(out.err, "GOOSEBERRYSHED_TIMEOUT"), out.err)
	assert.Equal(t, runWith(New(), "config", "show", "--timeout", "5s").code, exitOK)
}

// fakeFleet serves the admin endpoints of two daemons, h1 and h2, which list h3 as
// having left. h2 reports revision 1 in force only after lag status responses. It
// returns the admin address of h1.
func fakeFleet(t *testing.T, lag int64) string {
	r := report.NewRecorder(time.Second)
	r.Record(time.Now(), "/orders", "retail-1", report.OutcomeServed, 0)
	return fakeFleetWith(t, lag, r)
}

// fakeFleetWith is like fakeFleet, but both daemons report the counts in r.
func fakeFleetWith(t *testing.T, lag int64, r *report.Recorder) string {
	addrs := make([]string, 2)
	var statusRequests atomic.Int64
	for i := range addrs {
		addrs[i] = listen(t, func(rc *fasthttp.RequestCtx) {
			st := daemon.Status{Host: fmt.Sprint("h", i+1), DataCentre: "alfold-1", Revision: 1, State: string(member.StateServing)}
			st.Targets = []member.Target{{ID: st.Host + "/t", Service: "orders", State: member.TargetReady, Slots: 7, Limit: 7}}
			if i == 1 && string(rc.Path()) == admin.PageStatus && statusRequests.Add(1) <= lag {
				st.Revision = 0
			}
			members := []member.Daemon{
				{Host: "h1", State: member.StateServing, AdminAddr: addrs[0]},
				{Host: "h2", State: member.StateServing, AdminAddr: addrs[1]},
				{Host: "h3", State: member.StateLeft},
			}
			pages := map[string]any{admin.PageStatus: st, admin.PageMembers: members, admin.PageReport: r.Export(time.Now())}
			body, err := json.Marshal(pages[string(rc.Path())])
			assert.Check(t, err)
			rc.SetBody(body)
		})
	}
	return addrs[0]
}

func TestWaitShowsProgress(t *testing.T) {
	env := newTestEnv(t)
	out := env.mustSucceed("config", "apply", env.file(document), "--wait", "--admin", fakeFleet(t, 2))
	assert.Assert(t, strings.Contains(out.err, "in force at 1 of 2 daemons\nrevision 1 is in force at 2 of 2 daemons\n"), out.err)
}

func TestWaitTimesOut(t *testing.T) {
	env := newTestEnv(t)
	env.mustFail(exitFailed, "it is in force at 1 of 2 daemons", "config", "apply", env.file(document), "--wait", "--wait-timeout", "300ms", "--admin", fakeFleet(t, 1<<60))
}

func TestUnreachableDaemonsDelayTheWaitForTheGracePeriod(t *testing.T) {
	p := measureRollout(admin.Fleet{
		{Name: "h1", Status: daemon.Status{Revision: 3, State: string(member.StateServing)}},
		{Name: "h2", Err: errors.New("no response")},
		{Name: "h3", Status: daemon.Status{Revision: 1, State: string(member.StateLeaving)}},
	}, 3)
	assert.Equal(t, p.String(), "revision 3 is in force at 1 of 1 daemons, and 1 did not respond")
	assert.Assert(t, !p.done(false) && p.done(true))
	assert.Assert(t, !measureRollout(nil, 3).done(true))
}

func TestStatus(t *testing.T) {
	env := newTestEnv(t)
	out := env.mustSucceed("status", "--admin", fakeFleet(t, 0))
	assert.Equal(t, strings.Count(out.stdout, "\n"), 5, out.stdout)
	env.mustFail(exitFailed, "1 of 3 daemons did not respond", "status", "--admin", fakeFleet(t, 0)+",127.0.0.1:1")
}

// TestEveryCommandHasExamples checks that each command has a short description and
// an example.
func TestEveryCommandHasExamples(t *testing.T) {
	var visit func(cmd *cobra.Command)
	visit = func(cmd *cobra.Command) {
		assert.Check(t, cmd.Short != "" && cmd.Example != "", cmd.CommandPath())
		for _, sub := range cmd.Commands() {
			visit(sub)
		}
	}
	visit(New())
}

func TestExtraCommands(t *testing.T) {
	extra := &cobra.Command{Use: "extra", RunE: func(*cobra.Command, []string) error { return &configstore.ConflictError{} }}
	assert.Equal(t, runWith(New(extra), "extra").code, exitConflict)
}
