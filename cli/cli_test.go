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

// bench is a platform and a place for files.
type bench struct {
	t        *testing.T
	platform *standin.Platform
	url      string
}

func newBench(t *testing.T) *bench {
	t.Helper()
	p := standin.New()
	return &bench{t: t, platform: p, url: "http://" + listen(t, p.Handle)}
}

func listen(t *testing.T, handler fasthttp.RequestHandler) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go fasthttp.Serve(ln, handler) //nolint:errcheck // ends with the listener
	t.Cleanup(func() { ln.Close() })
	return ln.Addr().String()
}

// output is what a command left.
type output struct {
	code        int
	stdout, err string
}

// run runs a command line on the bench's platform.
func (b *bench) run(args ...string) output {
	b.t.Helper()
	return runWith(New(), append([]string{"--platform", b.url}, args...)...)
}

func runWith(root *cobra.Command, args ...string) output {
	var stdout, stderr bytes.Buffer
	root.SetArgs(args)
	root.SetOut(&stdout)
	root.SetErr(&stderr)
	code := Execute(root)
	return output{code: code, stdout: stdout.String(), err: stderr.String()}
}

func (b *bench) file(text string) string {
	b.t.Helper()
	name := filepath.Join(b.t.TempDir(), "doc.yaml")
	assert.NilError(b.t, os.WriteFile(name, []byte(text), 0o600))
	return name
}

// succeed demands exit code 0.
func (b *bench) succeed(args ...string) output {
	b.t.Helper()
	out := b.run(args...)
	assert.Equal(b.t, out.code, exitOK, "%s", out.err)
	return out
}

// fail demands an exit code and part of the message.
func (b *bench) fail(code int, message string, args ...string) {
	b.t.Helper()
	out := b.run(args...)
	assert.Equal(b.t, out.code, code, "%s", out.err)
	assert.Assert(b.t, strings.Contains(out.err, message), "%s", out.err)
}

func (b *bench) snapshot() *config.Snapshot {
	b.t.Helper()
	st, err := configstore.New(b.platform, nil).Load(b.t.Context())
	assert.NilError(b.t, err)
	s, err := st.Snapshot()
	assert.NilError(b.t, err)
	return s
}

func TestApplyShowEditApply(t *testing.T) {
	b := newBench(t)
	out := b.succeed("config", "apply", b.file(document), "-m", "first")
	assert.Equal(t, out.stdout, "accepted, revision 1\n")
	assert.Assert(t, strings.Contains(out.err, "+ section orders: workspace retail-1\n"), out.err)
	shown := b.succeed("config", "show", "orders").stdout
	edited := b.file(strings.Replace(shown, "50/s", "60/s", 1))
	assert.Equal(t, b.succeed("config", "diff", edited).stdout, "~ section orders: workspace retail-1: rate: 50/s -> 60/s\n")
	b.succeed("config", "apply", edited)
	b.fail(exitConflict, "section orders was changed at revision 2", "config", "apply", b.file(strings.Replace(shown, "50/s", "70/s", 1)))
	b.succeed("config", "apply", "--overwrite", b.file(strings.Replace(shown, "50/s", "70/s", 1)))
	log := b.succeed("config", "log", "--limit", "3").stdout
	assert.Equal(t, strings.Count(log, "\n"), 3)
	assert.Assert(t, strings.Contains(log, "  first\n"), log)
	assert.Equal(t, b.succeed("config", "apply", edited, "--base", "3").stdout, "accepted, revision 4\n")
	b.succeed("config", "remove", "orders", "--base", "4")
	_, ok := b.snapshot().Workspace("retail-1")
	assert.Assert(t, !ok)
}

func TestRepeatedChangeIDAppliesOnce(t *testing.T) {
	b := newBench(t)
	file := b.file(document)
	b.succeed("config", "apply", file, "--change-id", "c1")
	assert.Equal(t, b.succeed("config", "apply", file, "--change-id", "c1").stdout, "accepted earlier, revision 1\n")
}

func TestKeys(t *testing.T) {
	b := newBench(t)
	b.succeed("config", "apply", b.file(document))
	out := b.succeed("key", "grant", "retail-1", "--id", "retail-1-a")
	secret := strings.TrimSpace(out.stdout)
	key, ok := b.snapshot().FindKey(sha256.Sum256([]byte(secret)))
	assert.Assert(t, ok)
	assert.Equal(t, key, config.KeyRef{ID: "retail-1-a", Workspace: "retail-1"})
	assert.Assert(t, !strings.Contains(b.succeed("config", "show").stdout+out.err, secret))
	b.fail(exitFailed, `"retail-1-a" is already`, "key", "grant", "retail-1", "--id", "retail-1-a")
	b.fail(exitFailed, "add it to a section first", "key", "grant", "retail-9", "--id", "x")
	b.succeed("key", "withdraw", "retail-1-a")
	_, ok = b.snapshot().FindKey(sha256.Sum256([]byte(secret)))
	assert.Assert(t, !ok)
	b.fail(exitFailed, "may be withdrawn already", "key", "withdraw", "retail-1-a")
}

// TestRepeatedVerbs repeats commands whose edits no longer follow from the
// document. A grant must not show a secret that was never stored.
func TestRepeatedVerbs(t *testing.T) {
	b := newBench(t)
	b.succeed("config", "apply", b.file(document))
	b.succeed("key", "grant", "retail-1", "--id", "a", "--change-id", "g1")
	out := b.run("key", "grant", "retail-1", "--id", "a", "--change-id", "g1")
	assert.Equal(t, out.code, exitFailed)
	assert.Equal(t, out.stdout, "")
	assert.Assert(t, strings.Contains(out.err, "its secret is lost"), out.err)
	b.succeed("key", "withdraw", "a", "--change-id", "w1")
	assert.Equal(t, b.succeed("key", "withdraw", "a", "--change-id", "w1").stdout, "accepted earlier, revision 3\n")
}

func TestLostGrantNamesRemedy(t *testing.T) {
	b := newBench(t)
	b.succeed("config", "apply", b.file(document))
	b.platform.SetFault(standin.Fault{Mode: standin.ModeLoseReplies})
	b.fail(exitUnavailable, "platform", "--timeout", "300ms", "key", "grant", "retail-1", "--id", "a")
	uncertain := &configstore.UncertainError{ChangeID: "c"}
	assert.ErrorContains(t, explainGrant(uncertain, "a"), "key withdraw a, and grant anew")
	assert.Equal(t, ExitCode(failure{explainGrant(uncertain, "a")}), exitUnavailable)
}

func TestDataCentres(t *testing.T) {
	b := newBench(t)
	b.succeed("config", "apply", b.file(document))
	for _, state := range []config.DataCentreState{config.DataCentreOut, config.DataCentreIn} {
		b.succeed("datacentre", string(state), "alfold-1")
		dc, ok := b.snapshot().DataCentre("alfold-1")
		assert.Assert(t, ok)
		assert.Equal(t, dc.State, state)
	}
	b.fail(exitFailed, "no data centre", "datacentre", "out", "nowhere")
}

func TestExitCodes(t *testing.T) {
	b := newBench(t)
	good := b.file(document)
	b.fail(exitUsage, "unknown command", "frob")
	b.fail(exitUsage, "unknown command", "config", "frob")
	b.fail(exitUsage, "requires at least 1 arg", "config", "apply")
	b.fail(exitUsage, "unknown flag", "config", "apply", "--frob")
	b.fail(exitUsage, "--wait needs --admin", "config", "apply", good, "--wait")
	b.fail(exitUsage, "pass --admin", "status")
	b.fail(exitFailed, "no such file", "config", "validate", "absent.yaml")
	b.fail(exitFailed, "doc.yaml:3:5: section places: section has the unknown field", "config", "validate", b.file(strings.Replace(document, "team: platform", "taem: platform", 1)))
	b.platform.SetFault(standin.Fault{Mode: standin.ModeDown})
	b.fail(exitUnavailable, "try again later", "config", "show")
	assert.Equal(t, runWith(New(), "config", "show").code, exitUsage)
	assert.Equal(t, runWith(New(), "config", "validate", good).code, exitOK)
}

func TestPartialValidation(t *testing.T) {
	b := newBench(t)
	b.succeed("config", "apply", b.file(document))
	part := b.file("sections: [{name: more, team: orders, routes: [{path: /more, service: orders}]}]")
	b.fail(exitFailed, `unknown service "orders"`, "config", "validate", part)
	b.succeed("config", "validate", "--partial", part)
}

func TestFlagsFromEnvironment(t *testing.T) {
	b := newBench(t)
	t.Setenv("GOOSEBERRYSHED_PLATFORM", b.url)
	assert.Equal(t, runWith(New(), "config", "show").code, exitOK)
	t.Setenv("GOOSEBERRYSHED_TIMEOUT", "soon")
	out := runWith(New(), "config", "show")
	assert.Equal(t, out.code, exitUsage)
	assert.Assert(t, strings.Contains(out.err, "GOOSEBERRYSHED_TIMEOUT"), out.err)
	assert.Equal(t, runWith(New(), "config", "show", "--timeout", "5s").code, exitOK)
}

// fakeFleet serves the pages of two daemons, h1 and h2, of which h2 has revision
// 1 in force only after lag answers, and of h3, which has left. It returns the
// admin address of h1.
func fakeFleet(t *testing.T, lag int64) string {
	r := report.NewRecorder(time.Second)
	r.Record(time.Now(), "/orders", "retail-1", report.OutcomeServed, 0)
	return fakeFleetWith(t, lag, r)
}

// fakeFleetWith is fakeFleet whose daemons have both counted what r holds.
func fakeFleetWith(t *testing.T, lag int64, r *report.Recorder) string {
	addrs := make([]string, 2)
	var asked atomic.Int64
	for i := range addrs {
		addrs[i] = listen(t, func(rc *fasthttp.RequestCtx) {
			st := daemon.Status{Host: fmt.Sprint("h", i+1), DataCentre: "alfold-1", Revision: 1, State: string(member.StateServing)}
			st.Targets = []member.Target{{ID: st.Host + "/t", Service: "orders", State: member.TargetReady, Slots: 7, Limit: 7}}
			if i == 1 && string(rc.Path()) == admin.PageStatus && asked.Add(1) <= lag {
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
	b := newBench(t)
	out := b.succeed("config", "apply", b.file(document), "--wait", "--admin", fakeFleet(t, 2))
	assert.Assert(t, strings.Contains(out.err, "in force at 1 of 2 daemons\nrevision 1 is in force at 2 of 2 daemons\n"), out.err)
}

func TestWaitGivesUp(t *testing.T) {
	b := newBench(t)
	b.fail(exitFailed, "it is in force at 1 of 2 daemons", "config", "apply", b.file(document), "--wait", "--wait-timeout", "300ms", "--admin", fakeFleet(t, 1<<60))
}

func TestSilentDaemonsHoldUpTheWaitForAGrace(t *testing.T) {
	p := measure(admin.Fleet{
		{Name: "h1", Status: daemon.Status{Revision: 3, State: string(member.StateServing)}},
		{Name: "h2", Err: errors.New("no answer")},
		{Name: "h3", Status: daemon.Status{Revision: 1, State: string(member.StateLeaving)}},
	}, 3)
	assert.Equal(t, p.String(), "revision 3 is in force at 1 of 1 daemons, and 1 gave no answer")
	assert.Assert(t, !p.complete(false) && p.complete(true))
	assert.Assert(t, !measure(nil, 3).complete(true))
}

func TestStatus(t *testing.T) {
	b := newBench(t)
	out := b.succeed("status", "--admin", fakeFleet(t, 0))
	assert.Equal(t, strings.Count(out.stdout, "\n"), 5, out.stdout)
	b.fail(exitFailed, "1 of 3 daemons gave no answer", "status", "--admin", fakeFleet(t, 0)+",127.0.0.1:1")
}

// TestEveryCommandHasExamples keeps the help complete.
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
