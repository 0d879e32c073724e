package cli

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/platform/standin"
	"github.com/gooseberryshed/gooseberryshed/report"
)

func TestBurnSumsTheFleet(t *testing.T) {
	env := newTestEnv(t)
	env.mustSucceed("config", "apply", env.file(document))
	addr := fakeFleet(t, 0)
	out := env.mustSucceed("report", "burn", "--admin", addr, "--json")
	var rep report.Report
	assert.NilError(t, json.Unmarshal([]byte(out.stdout), &rep))
	assert.Equal(t, rep.Daemons, 2)
	assert.Equal(t, rep.WorstWorkspace, "retail-1")
	assert.Equal(t, rep.Rows[0].Total.Served, uint32(2))
	out = env.mustSucceed("report", "burn", "--admin", addr+",127.0.0.1:1")
	assert.Assert(t, strings.Contains(out.stdout, "no response from: 127.0.0.1:1"), out.stdout)
	env.mustFail(exitFailed, "no daemon returned its request counts", "report", "burn", "--admin", "127.0.0.1:1")
	env.mustFail(exitUsage, "--objective cannot be 1", "report", "burn", "--admin", addr, "--objective", "1")
	env.mustFail(exitUsage, "pass --admin", "report", "burn")
}

func TestBurnAlerts(t *testing.T) {
	env := newTestEnv(t)
	r := report.NewRecorder(time.Second)
	for range 100 {
		r.Record(time.Now(), "/orders", "retail-1", report.OutcomeBad, 0)
	}
	env.mustFail(exitAlert, "consumes its error budget", "report", "burn", "--admin", fakeFleetWith(t, 0, r))
}

// TestBurnWithoutPlatform checks that the report is printed during a platform
// outage, when it is needed most.
func TestBurnWithoutPlatform(t *testing.T) {
	env := newTestEnv(t)
	env.platform.SetFault(standin.Fault{Mode: standin.ModeDown})
	out := env.mustSucceed("report", "burn", "--admin", fakeFleet(t, 0))
	assert.Assert(t, strings.Contains(out.err, "wrongful refusals are not counted"), out.err)
}

// TestWrongfulRefusalsNeedTheLimits checks that refusals of a workspace within its
// rate limit are counted as wrongful.
func TestWrongfulRefusalsNeedTheLimits(t *testing.T) {
	env := newTestEnv(t)
	env.mustSucceed("config", "apply", env.file(document))
	r := report.NewRecorder(time.Second)
	r.Record(time.Now(), "/orders", "retail-1", report.OutcomeLimited, 0)
	out := env.mustSucceed("report", "burn", "--json", "--admin", fakeFleetWith(t, 0, r))
	var rep report.Report
	assert.NilError(t, json.Unmarshal([]byte(out.stdout), &rep))
	assert.Equal(t, rep.Rows[1].Wrongful, uint32(2))
}
