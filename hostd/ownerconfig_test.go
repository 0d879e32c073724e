package hostd

import (
	"context"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/platform/standin"
	"github.com/gooseberryshed/gooseberryshed/quota"
	"github.com/gooseberryshed/gooseberryshed/routes"
)

// ownersOf returns the hosts of a fleet by their rank as owners of the workspace's rate.
func (f *limiterFleet) ownersOf(hosts []string) []string {
	return quota.RankOwners(queryRate+" "+f.workspace.Name, hosts)
}

// setConfig gives a host another configuration, or none.
func (f *limiterFleet) setConfig(host string, cfg *routes.Config) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := *f.views[host]
	v.Config = cfg
	f.views[host] = &v
}

// queriesEnd is a time after which no query of a model is under way.
const queriesEnd = 3 * time.Second

func configOf(t *testing.T, revision uint64, list ...routes.Workspace) *routes.Config {
	t.Helper()
	cfg, err := routes.New(routes.Document{Revision: revision, Workspaces: list})
	assert.NilError(t, err)
	return cfg
}

// Guards against refusing callers as over their rate because its owner has just started and
// has no configuration yet: after a loss of power of all hosts 65 of 186 requests were.
func TestOwnerWithoutConfigurationIsNotALimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(queriesEnd)
		w := &routes.Workspace{Name: "w", Rate: 85, Burst: 85}
		hosts := hostNames(6)
		f := newLimiterFleet(t, w, hosts...)
		owners := f.ownersOf(hosts)
		f.setConfig(owners[0], nil)
		go func() {
			time.Sleep(400 * time.Millisecond)
			f.setConfig(owners[0], f.config)
		}()
		begun := time.Now()
		for range 10 {
			for _, host := range owners[2:] {
				ok, _, err := f.limiters[host].Allow(context.Background(), w, time.Second)
				assert.NilError(t, err)
				assert.Assert(t, ok, "refused after %s", time.Since(begun))
			}
		}
		assert.Assert(t, time.Since(begun) >= 400*time.Millisecond, "granted by nobody but the owner")
	})
}

// Guards against a rate that two owners grant: while the first cannot tell, nobody grants in
// its place, and callers are told so, at once if they cannot wait.
func TestOwnerThatStaysWithoutConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(queriesEnd)
		w := &routes.Workspace{Name: "w", Rate: 50, Burst: 50}
		hosts := hostNames(6)
		f := newLimiterFleet(t, w, hosts...)
		owners := f.ownersOf(hosts)
		f.setConfig(owners[0], nil)
		l := f.limiters[owners[3]]
		for _, patience := range []time.Duration{0, 300 * time.Millisecond} {
			begun := time.Now()
			ok, after, err := l.Allow(context.Background(), w, patience)
			assert.ErrorContains(t, err, "has no configuration yet, or an older one")
			assert.Assert(t, !ok && after == 0)
			assert.Assert(t, time.Since(begun) >= patience && time.Since(begun) < patience+400*time.Millisecond, "after %s", time.Since(begun))
		}
		reaches := func(from, to string) bool { return from != owners[3] || to != owners[0] }
		f.cut(reaches, func(string) bool { return false }) // the query goes to the second owner
		for range 60 {
			time.Sleep(100 * time.Millisecond)
			for _, host := range owners[1:4] {
				ok, _, err := f.limiters[host].Allow(context.Background(), w, 0)
				assert.Assert(t, !ok && err != nil, "granted by another than the first owner")
			}
		}
		f.setConfig(owners[0], f.config)
		ok, _, err := l.Allow(context.Background(), w, 0)
		assert.NilError(t, err)
		assert.Assert(t, ok)
	})
}

// Guards against waiting for, or refusing as a limit, what a newer configuration has removed.
func TestWorkspaceThatIsGoneAtItsOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(queriesEnd)
		w := &routes.Workspace{Name: "w", Rate: 50, Burst: 50}
		hosts := hostNames(6)
		f := newLimiterFleet(t, w, hosts...)
		owners := f.ownersOf(hosts)
		for _, owner := range owners[:2] {
			f.setConfig(owner, configOf(t, 2, routes.Workspace{Name: "other"}))
		}
		begun := time.Now()
		ok, _, err := f.limiters[owners[3]].Allow(context.Background(), w, time.Second)
		assert.ErrorContains(t, err, "has revision 2, in which the workspace does not exist; this host has revision 1")
		assert.Assert(t, !ok && time.Since(begun) < 100*time.Millisecond, "after %s", time.Since(begun))
	})
}

// Guards against an owner that is late with a change and takes a new workspace for one over
// its rate.
func TestOwnerWithAnOlderConfigurationIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(queriesEnd)
		w := &routes.Workspace{Name: "w", Rate: 50, Burst: 50}
		hosts := hostNames(6)
		f := newLimiterFleet(t, w, hosts...)
		owners := f.ownersOf(hosts)
		newer := configOf(t, 2, *w)
		for _, host := range hosts {
			f.setConfig(host, newer)
		}
		f.setConfig(owners[0], configOf(t, 1, routes.Workspace{Name: "other"}))
		go func() {
			time.Sleep(150 * time.Millisecond)
			f.setConfig(owners[0], newer)
		}()
		ok, _, err := f.limiters[owners[3]].Allow(context.Background(), w, time.Second)
		assert.NilError(t, err)
		assert.Assert(t, ok)
	})
}

// Guards against waiting for the owner of a rate whose workspace this host's own configuration
// has removed meanwhile.
func TestWorkspaceThatIsGoneHereIsNotWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(queriesEnd)
		w := &routes.Workspace{Name: "w", Rate: 50, Burst: 50}
		hosts := hostNames(6)
		f := newLimiterFleet(t, w, hosts...)
		owners := f.ownersOf(hosts)
		for _, host := range hosts {
			f.setConfig(host, configOf(t, 2, routes.Workspace{Name: "other"}))
		}
		begun := time.Now()
		ok, _, err := f.limiters[owners[3]].Allow(context.Background(), w, time.Second)
		assert.ErrorContains(t, err, "does not exist any more in revision 2")
		assert.Assert(t, !ok && time.Since(begun) < 300*time.Millisecond, "after %s", time.Since(begun))
	})
}

// Guards against tokens beyond the bound while owners start again and again without a
// configuration.
func TestRateHoldsWhileOwnersStartWithoutConfiguration(t *testing.T) {
	for seed := range 4 {
		synctest.Test(t, func(t *testing.T) {
			w := &routes.Workspace{Name: "w-" + string(rune('a'+seed)), Rate: 46, Burst: 46}
			hosts := hostNames(9)
			f := newLimiterFleet(t, w, hosts...)
			owners := f.ownersOf(hosts)
			stop := make(chan struct{})
			f.send(stop, 15, hosts)
			for i := range 6 {
				owner := owners[i%2]
				time.Sleep(2500 * time.Millisecond)
				f.start(owner, hosts, time.Now())
				f.setConfig(owner, nil)
				time.Sleep(time.Duration(300+700*i) * time.Millisecond)
				f.setConfig(owner, f.config)
			}
			time.Sleep(3 * time.Second)
			close(stop)
			time.Sleep(queriesEnd)
			most, bound := f.mostInWindow()
			assert.Assert(t, float64(most) <= bound, "%d of %.0f", most, bound)
			assert.Assert(t, len(f.granted) > 400, "%d", len(f.granted))
		})
	}
}

// unknownRates are rates whose owners cannot tell.
type unknownRates struct{ rateLimiter }

func (unknownRates) Allow(context.Context, *routes.Workspace, time.Duration) (bool, time.Duration, error) {
	return false, 0, errors.New("the owners have no configuration yet")
}

// Guards against the caller being told of a rate that it has not reached.
func TestUnknownRateIsRefusedAsUnavailable(t *testing.T) {
	f := newFleet(t, 1)
	h := f.hosts[0]
	h.ingress.limiter = unknownRates{}
	r, err := h.call(standin.Call{Attempt: "u1", Method: "POST", URI: "/order/1", Key: testKey, Body: "b"})
	assert.NilError(t, err)
	assert.Equal(t, r.Status, 503)
	assert.Assert(t, strings.Contains(r.Body, "limiter-unavailable") && strings.Contains(r.Body, "no configuration yet"), r.Body)
	assert.Equal(t, f.runsOf("u1"), 0)
	assert.Assert(t, !slices.Contains([]string{"", "0"}, r.RetryAfter), r.RetryAfter)
}
