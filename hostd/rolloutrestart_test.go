package hostd

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
)

// Guards against rolling a good version back because its targets fail calls over
// connections to a daemon that has been restarted.
func TestFailuresAfterARestartOfTheDaemonAreNoEvidence(t *testing.T) {
	g, _ := newTestGate(t)
	set := *g.settings()
	set.Rollouts = true
	g.settings = func() *karpithaz.Settings { return &set }
	now := time.Now()
	g.versions.startedAt = now
	counted := func(born int64, at time.Time) bool {
		target := newLocalTarget(newHeartbeat("a", 1, 1, false))
		target.born, target.version = born, "v2"
		g.mu.Lock()
		defer g.mu.Unlock()
		g.versions.state = newVersionGate().state
		g.target = target
		g.countSent(target)
		tk := &ticket{f: Forward{Route: "r"}, target: target, started: at.Add(-10 * time.Millisecond)}
		g.countResult(tk, exchangeResult{signal: signalFailed}, nil, at)
		return len(g.versions.state.Report("v2", 1, bootNow()).Counts) > 0
	}
	before, after := now.Add(-time.Minute).UnixMilli(), now.Add(time.Minute).UnixMilli()
	assert.Assert(t, !counted(before, now.Add(time.Second)), "a target that knew the earlier process")
	assert.Assert(t, counted(before, now.Add(callsSettleTime+time.Second)))
	assert.Assert(t, counted(after, now.Add(time.Second)), "a target that started after the daemon")
}
