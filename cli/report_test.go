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
	b := newBench(t)
	b.succeed("config", "apply", b.file(document))
	addr := fakeFleet(t, 0)
	out := b.succeed("report", "burn", "--admin", addr, "--json")
	var rep report.Report
	assert.NilError(t, json.Unmarshal([]byte(out.stdout), &rep))
	assert.Equal(t, rep.Daemons, 2)
	assert.Equal(t, rep.Worst, "retail-1")
	assert.Equal(t, rep.Rows[0].Total.Served, uint32(2))
	out = b.succeed("report", "burn", "--admin", addr+",127.0.0.1:1")
	assert.Assert(t, strings.Contains(out.stdout, "no answer from: 127.0.0.1:1"), out.stdout)
	b.fail(exitFailed, "no daemon gave its counts", "report", "burn", "--admin", "127.0.0.1:1")
	b.fail(exitUsage, "--objective cannot be 1", "report", "burn", "--admin", addr, "--objective", "1")
	b.fail(exitUsage, "pass --admin", "report", "burn")
}

func TestBurnAlerts(t *testing.T) {
	b := newBench(t)
	r := report.NewRecorder(time.Second)
	for range 100 {
		r.Record(time.Now(), "/orders", "retail-1", report.OutcomeBad, 0)
	}
	b.fail(exitAlerting, "spends its allowance", "report", "burn", "--admin", fakeFleetWith(t, 0, r))
}

// TestBurnWithoutPlatform reports on, as the report is wanted most then.
func TestBurnWithoutPlatform(t *testing.T) {
	b := newBench(t)
	b.platform.SetFault(standin.Fault{Mode: standin.ModeDown})
	out := b.succeed("report", "burn", "--admin", fakeFleet(t, 0))
	assert.Assert(t, strings.Contains(out.err, "wrongful refusals are left out"), out.err)
}

// TestWrongfulRefusalsNeedTheLimits counts refusals within the rate.
func TestWrongfulRefusalsNeedTheLimits(t *testing.T) {
	b := newBench(t)
	b.succeed("config", "apply", b.file(document))
	r := report.NewRecorder(time.Second)
	r.Record(time.Now(), "/orders", "retail-1", report.OutcomeLimited, 0)
	out := b.succeed("report", "burn", "--json", "--admin", fakeFleetWith(t, 0, r))
	var rep report.Report
	assert.NilError(t, json.Unmarshal([]byte(out.stdout), &rep))
	assert.Equal(t, rep.Rows[1].Wrongful, uint32(2))
}
