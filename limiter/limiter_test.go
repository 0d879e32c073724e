package limiter

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/limit"
	"github.com/gooseberryshed/gooseberryshed/platform"
)

const stepInterval = 3 * time.Second

func threeDataCentres() *fakeConfig {
	return &fakeConfig{
		revision:    1,
		dataCentres: []string{"a", "b", "c"},
		limits: map[string]Limits{
			"large": {Rate: 30, Burst: 60},
			"small": {Rate: 1, Burst: 3},
		},
	}
}

// takeAll requests n tokens at one host and counts grants, refusals and errors.
func takeAll(t *testing.T, f *fleet, host, workspace string, n int) (allowed, denied, noOwner int) {
	t.Helper()
	for range n {
		d, err := f.services[host].Take(context.Background(), workspace)
		var e *Error
		switch {
		case errors.As(err, &e) && e.Kind == KindNoOwner:
			noOwner++
		case err != nil:
			t.Fatal(err)
		case d.Allowed:
			allowed++
		default:
			denied++
		}
	}
	return allowed, denied, noOwner
}

// warmUp runs the fleet until all rows are owned and all buckets are full.
func warmUp(t *testing.T, f *fleet, workspace string) {
	t.Helper()
	f.step()
	f.step()
	for host := range f.services {
		takeAll(t, f, host, workspace, 1)
	}
	for range 40 {
		f.clock.Advance(stepInterval)
		f.step()
	}
}

// ownerHost returns the host that owns the workspace's row in a data centre.
func ownerHost(f *fleet, dc, workspace string) string {
	row := rowID{Holder: limit.Holder{DataCentre: dc}, Shard: limit.Shard(workspace, 2)}
	for host, s := range f.services {
		if o := s.ownerOf(row); o != nil && o.fractionNow(f.clock.Now()) > 0 {
			return host
		}
	}
	return ""
}

// fractionNow returns the fraction for a share that is large enough to be
// divided.
func (o *owner) fractionNow(now time.Time) float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lease.Fraction(now, o.policy, 100)
}

func TestSkewedLoadUsesTheWholeBurst(t *testing.T) {
	f := newFleet(threeDataCentres(), 3)
	warmUp(t, f, "large")
	allowed, denied, _ := takeAll(t, f, "a-0", "large", 100)
	assert.Assert(t, allowed <= 60, "allowed %d", allowed)
	assert.Assert(t, allowed >= 57, "allowed %d", allowed)
	assert.Equal(t, denied, 100-allowed)
}

func TestSmallBurstIsNotSplit(t *testing.T) {
	f := newFleet(threeDataCentres(), 3)
	warmUp(t, f, "small")
	allowed, _, _ := takeAll(t, f, "a-0", "small", 2)
	more, _, _ := takeAll(t, f, "b-1", "small", 2)
	assert.Equal(t, allowed+more, 3)
}

func TestUnreachableOwnerIsSkipped(t *testing.T) {
	f := newFleet(threeDataCentres(), 3)
	warmUp(t, f, "large")
	lost := ownerHost(f, "a", "large")
	f.network.setUnreachable(lost+":1", true)
	from := "a-0"
	if lost == from {
		from = "a-1"
	}
	allowed, denied, noOwner := takeAll(t, f, from, "large", 20)
	assert.Equal(t, allowed, 20)
	assert.Equal(t, denied+noOwner, 0)
}

func TestUnreachableOwnerIsNotReportedAsRateExceeded(t *testing.T) {
	f := newFleet(threeDataCentres(), 3)
	warmUp(t, f, "small")
	home := limit.NewLayout(f.config.dataCentres, "small", 3).Holders[0].DataCentre
	owner, from := ownerHost(f, home, "small"), "a-0"
	if owner == from {
		from = "b-0"
	}
	f.network.setUnreachable(owner+":1", true)
	_, err := f.services[from].Take(context.Background(), "small")
	var e *Error
	assert.Assert(t, errors.As(err, &e))
	assert.Equal(t, e.Kind, KindNoOwner)
}

func TestFailedOwnerIsReplacedAfterLeaseExpiry(t *testing.T) {
	f := newFleet(threeDataCentres(), 3)
	warmUp(t, f, "large")
	lost := ownerHost(f, "a", "large")
	f.network.setUnreachable(lost+":1", true)
	for range 3 {
		f.clock.Advance(stepInterval)
		f.step(lost)
		assert.Assert(t, f.services[lost].Stats().RowsOwned > 0)
	}
	before := ownerHost(f, "a", "large")
	assert.Equal(t, before, lost)
	f.clock.Advance(stepInterval)
	f.step(lost)
	f.clock.Advance(stepInterval)
	f.step(lost)
	// The former owner keeps the grace fraction, the new owner has the rest.
	row := rowID{Holder: limit.Holder{DataCentre: "a"}, Shard: limit.Shard("large", 2)}
	var sum float64
	for _, s := range f.services {
		if o := s.ownerOf(row); o != nil {
			sum += o.fractionNow(f.clock.Now())
		}
	}
	assert.Equal(t, sum, 1.0)
}

func TestTakeoverAfterRestartGetsTheWholeFraction(t *testing.T) {
	f := newFleet(threeDataCentres(), 3)
	warmUp(t, f, "large")
	lost := ownerHost(f, "a", "large")
	for i := range f.peers {
		if f.peers[i].Host == lost {
			f.peers[i].Incarnation = 2
			f.start(f.peers[i])
		}
	}
	for range 2 {
		f.clock.Advance(stepInterval)
		f.step()
	}
	row := rowID{Holder: limit.Holder{DataCentre: "a"}, Shard: limit.Shard("large", 2)}
	now := ownerHost(f, "a", "large")
	assert.Assert(t, now != "")
	assert.Equal(t, f.services[now].ownerOf(row).fractionNow(f.clock.Now()), 1.0)
}

func TestPlannedStopTransfersBucketLevels(t *testing.T) {
	f := newFleet(threeDataCentres(), 3)
	warmUp(t, f, "large")
	stop := ownerHost(f, "a", "large")
	f.services[stop].Release(context.Background())
	f.step(stop)
	next := ownerHost(f, "a", "large")
	assert.Assert(t, next != "" && next != stop)
	o := f.services[next].ownerOf(rowID{Holder: limit.Holder{DataCentre: "a"}, Shard: limit.Shard("large", 2)})
	assert.Assert(t, o.buckets["large"].Level() >= 19, "level %v", o.buckets["large"].Level())
	assert.Equal(t, o.fractionNow(f.clock.Now()), 1.0)
}

func TestTableOutageLeavesTheGraceFraction(t *testing.T) {
	f := newFleet(threeDataCentres(), 3)
	warmUp(t, f, "large")
	f.table.unavailable = true
	for range 100 {
		f.clock.Advance(stepInterval)
		f.step()
	}
	allowed, _, noOwner := takeAll(t, f, "b-0", "large", 100)
	most := int(DefaultGraceFraction * 60)
	assert.Assert(t, allowed >= most-3 && allowed <= most, "allowed %d", allowed)
	assert.Equal(t, noOwner, 0)
}

func TestUncertainCommitIsResolvedByReading(t *testing.T) {
	f := newFleet(threeDataCentres(), 3)
	f.table.loseReplies = true
	warmUp(t, f, "large")
	allowed, _, _ := takeAll(t, f, "a-0", "large", 30)
	assert.Equal(t, allowed, 30)
}

func TestReplyFromPausedOwnerIsDropped(t *testing.T) {
	f := newFleet(threeDataCentres(), 3)
	warmUp(t, f, "small")
	home := limit.NewLayout(f.config.dataCentres, "small", 3).Holders[0].DataCentre
	owner := ownerHost(f, home, "small")
	from := "a-0"
	if owner == from {
		from = "b-0"
	}
	f.network.delay = func(addr, method string) { f.clock.Advance(20 * time.Second) }
	_, err := f.services[from].Take(context.Background(), "small")
	var e *Error
	assert.Assert(t, errors.As(err, &e))
	assert.Assert(t, f.services[from].Stats().LateReplies > 0)
}

func TestYieldedEpochIsNotInstalled(t *testing.T) {
	f := newFleet(threeDataCentres(), 1)
	s := f.services["a-0"]
	row := rowID{Holder: limit.Holder{DataCentre: "a"}, Shard: 0}
	reply, err := s.serveYield(context.Background(), yieldRequest{Row: row, Epoch: 1})
	assert.NilError(t, err)
	assert.Assert(t, !reply.MayGrant)
	next, _ := limit.Record{}.TakeOver(s.opts.owner(), s.policy, limit.OwnerStopped, 1)
	s.acquireRow(context.Background(), row, limit.Record{}, 0, next)
	assert.Assert(t, s.ownerOf(row) == nil)
	_, err = f.table.Get(context.Background(), row.key())
	assert.Assert(t, !platform.IsKind(err, platform.KindNotFound))
}

func TestRowsMoveToCandidatesInTheirDataCentre(t *testing.T) {
	f := newFleet(threeDataCentres(), 3)
	all := f.peers
	f.peers = all[:1]
	f.step()
	assert.Equal(t, f.services["a-0"].Stats().RowsOwned, int64(2*3*limit.Replicas))
	f.peers = all
	for range 4 {
		f.clock.Advance(stepInterval)
		f.step()
	}
	for _, p := range all {
		for _, o := range f.services[p.Host].owned() {
			assert.Equal(t, o.row.DataCentre, p.DataCentre)
		}
	}
	assert.Assert(t, ownerHost(f, "b", "large") != "")
}

func TestFirstRequestOfAnIdleWorkspaceIsServed(t *testing.T) {
	f := newFleet(threeDataCentres(), 3)
	f.step()
	for range 3 {
		f.clock.Advance(stepInterval)
		f.step()
	}
	for _, w := range []string{"large", "small"} {
		allowed, _, _ := takeAll(t, f, "b-1", w, 1)
		assert.Equal(t, allowed, 1, w)
	}
}

func TestSingleFailureDoesNotExcludeTheOwner(t *testing.T) {
	f := newFleet(threeDataCentres(), 3)
	warmUp(t, f, "small")
	home := limit.NewLayout(f.config.dataCentres, "small", 3).Holders[0].DataCentre
	owner, from := ownerHost(f, home, "small"), "a-0"
	if owner == from {
		from = "b-0"
	}
	f.network.setUnreachable(owner+":1", true)
	_, err := f.services[from].Take(context.Background(), "small")
	assert.ErrorContains(t, err, "no owner")
	f.network.setUnreachable(owner+":1", false)
	allowed, _, _ := takeAll(t, f, from, "small", 1)
	assert.Equal(t, allowed, 1)
}

func TestUnansweredPullDoesNotDelayTheGrant(t *testing.T) {
	f := newFleet(threeDataCentres(), 3)
	warmUp(t, f, "large")
	owner := f.services[ownerHost(f, "a", "large")]
	release := make(chan struct{})
	f.network.delay = func(_, method string) {
		if method == methodGive {
			<-release
		}
	}
	defer close(release)
	row := rowID{Holder: limit.Holder{DataCentre: "a"}, Shard: limit.Shard("large", 2)}
	grants, ok := owner.grantAll(context.Background(), owner.ownerOf(row), []takeItem{{Workspace: "large", N: 40}})
	assert.Assert(t, ok)
	assert.Assert(t, grants[0].Granted >= 19 && grants[0].Granted <= 20, "granted %d", grants[0].Granted)
}

func TestRowIsKeptDuringTableOutage(t *testing.T) {
	f := newFleet(threeDataCentres(), 3)
	all := f.peers
	f.peers = all[:1]
	f.step()
	f.peers = all
	f.table.unavailable = true
	for range 6 {
		f.clock.Advance(time.Second)
		f.step()
	}
	assert.Equal(t, f.services["a-0"].Stats().RowsOwned, int64(2*3*limit.Replicas))
}

// TestRestartedOwnersLeaveTheOtherReplicas restarts one host of each data centre
// while the table is out. The owners on the other hosts go on serving within
// the grace fraction.
func TestRestartedOwnersLeaveTheOtherReplicas(t *testing.T) {
	for _, hosts := range []int{2, 3} {
		cfg := threeDataCentres()
		cfg.limits["replicated"] = Limits{Rate: 60, Burst: 120}
		f := newFleet(cfg, hosts)
		warmUp(t, f, "replicated")
		f.table.unavailable = true
		for range 4 {
			f.clock.Advance(stepInterval)
			f.step()
		}
		for _, dc := range cfg.dataCentres {
			owner := ownerHost(f, dc, "replicated")
			for i := range f.peers {
				if f.peers[i].Host == owner {
					f.peers[i].Incarnation++
					f.start(f.peers[i])
				}
			}
		}
		f.clock.Advance(stepInterval)
		f.step()
		for _, p := range f.peers {
			f.clock.Advance(time.Second)
			allowed, _, _ := takeAll(t, f, p.Host, "replicated", 1)
			assert.Equal(t, allowed, 1, "%s of %d hosts a data centre", p.Host, hosts)
		}
		allowed := 0
		for _, p := range f.peers {
			got, _, _ := takeAll(t, f, p.Host, "replicated", 120)
			allowed += got
		}
		assert.Assert(t, allowed <= int(DefaultGraceFraction*120), "allowed %d", allowed)
	}
}

// TestReplicasHaveOwnersOnDifferentHosts checks all rows of a settled fleet.
func TestReplicasHaveOwnersOnDifferentHosts(t *testing.T) {
	f := newFleet(threeDataCentres(), 2)
	warmUp(t, f, "large")
	owners := map[rowID]string{}
	for host, s := range f.services {
		for _, o := range s.owned() {
			owners[o.row] = host
		}
	}
	assert.Equal(t, len(owners), 3*limit.Replicas*2)
	for row, host := range owners {
		other := row
		other.Replica = 1 - row.Replica
		assert.Assert(t, owners[other] != host, "%s and %s belong to %s", row.key(), other.key(), host)
	}
}

// Tokens of a pull that ends after the lease are discarded and counted.
func TestTokensThatArriveAfterTheLeaseAreCountedAsLost(t *testing.T) {
	f := newFleet(threeDataCentres(), 3)
	warmUp(t, f, "large")
	s := f.services[ownerHost(f, "a", "large")]
	o := s.ownerOf(rowID{Holder: limit.Holder{DataCentre: "a"}, Shard: limit.Shard("large", 2)})
	limits, err := s.workspaceLimits("large")
	assert.NilError(t, err)
	o.take(f.clock.Now(), limits, "large", 20)
	f.network.delay = func(_, method string) {
		if method == methodGive {
			o.end()
		}
	}
	<-s.pull(o, limits, "large", 4)
	assert.Assert(t, f.eventually(func() bool { return s.Stats().LostTokens > 0 }))
	assert.Equal(t, s.Stats().LostTokens, s.Stats().PulledTokens)
}
