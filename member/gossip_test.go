package member_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/internal/measure"
	"github.com/gooseberryshed/gooseberryshed/member"
)

func TestChangeReachesAllMembers(t *testing.T) {
	for _, n := range []int{2, 6, 18, 120} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			f := measure.NewFleet(n, 2, member.Options{})
			f.Run(5)
			f.Nodes[0].Update(f.Now, func(d *member.Daemon) { d.Targets[1].State = member.TargetLeaving })
			f.Run(20)
			got := f.CountNodes(measure.HostName(0), func(d member.Daemon, _ bool) bool { return d.Targets[1].State == member.TargetLeaving })
			assert.Equal(t, got, n)
		})
	}
}

func TestDeadMemberIsKeptAsUnreachable(t *testing.T) {
	f := measure.NewFleet(18, 2, member.Options{})
	f.Run(5)
	f.Down[measure.HostName(3)] = true
	f.Run(40)
	for i, g := range f.Nodes {
		if i == 3 {
			continue
		}
		assert.DeepEqual(t, g.Unreachable(), []string{measure.HostName(3)})
		_, found := g.Find(measure.HostName(3))
		assert.Assert(t, found, "an unreachable member must stay in the list")
	}
}

func TestRestartedMemberResynchronises(t *testing.T) {
	f := measure.NewFleet(18, 2, member.Options{})
	f.Run(10)
	fresh := measure.NewRecord(5, 2, f.Now)
	f.Nodes[5] = member.New(f.Now, fresh, member.Options{})
	f.Nodes[5].MergeRecords(f.Now, []member.Daemon{f.Nodes[0].Self()})
	f.Run(30)
	before, ok := f.Nodes[5].Predecessor()
	assert.Assert(t, ok)
	assert.Equal(t, len(before.Targets), 2)
	for _, g := range f.Nodes {
		assert.Equal(t, len(g.List()), 18)
		assert.Equal(t, len(g.Unreachable()), 0)
		d, _ := g.Find(measure.HostName(5))
		assert.Equal(t, d.Incarnation, fresh.Incarnation)
	}
}

// TestNewMemberReceivesSuspicions guards against a daemon that starts after
// another one has died and treats the dead one as reachable for a further
// suspicion timeout.
func TestNewMemberReceivesSuspicions(t *testing.T) {
	f := measure.NewFleet(18, 2, member.Options{})
	f.Down[measure.HostName(3)] = true
	f.Run(40)
	f.Nodes[5] = member.New(f.Now, measure.NewRecord(5, 2, f.Now), member.Options{})
	f.Nodes[5].MergeRecords(f.Now, []member.Daemon{f.Nodes[0].Self()})
	f.Run(5)
	assert.DeepEqual(t, f.Nodes[5].Unreachable(), []string{measure.HostName(3)})
}

func TestCutLinkMakesNoMemberUnreachable(t *testing.T) {
	f := measure.NewFleet(18, 2, member.Options{})
	f.Run(5)
	f.Cut[[2]string{measure.HostName(1), measure.HostName(2)}] = true
	for range 300 {
		f.Step()
		for _, g := range f.Nodes {
			assert.Equal(t, len(g.Unreachable()), 0)
		}
	}
}

func TestPartitionHeals(t *testing.T) {
	f := measure.NewFleet(18, 2, member.Options{})
	f.Run(5)
	for a := range 18 {
		for b := range 18 {
			f.Cut[[2]string{measure.HostName(a), measure.HostName(b)}] = (a < 6) != (b < 6)
		}
	}
	f.Run(60)
	assert.Equal(t, len(f.Nodes[0].Unreachable()), 12)
	assert.Equal(t, len(f.Nodes[17].Unreachable()), 6)
	f.Cut = map[[2]string]bool{}
	f.Run(60)
	for i, g := range f.Nodes {
		assert.Equal(t, len(g.Unreachable()), 0, "host %d", i)
	}
}
