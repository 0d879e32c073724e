package hostd

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/placing"
)

// loadedIngress is an ingress with two local targets that use some of ten slots, according
// to reports that have just arrived, and ten remote ones without a report.
func loadedIngress(t *testing.T, g gateForwarder, running int) *Ingress {
	t.Helper()
	hosts := []string{"local-1", "local-2"}
	for i := range 10 {
		hosts = append(hosts, fmt.Sprintf("remote-%d", i))
	}
	in := newTestIngress(t, g, hosts...)
	moveToRemote(in, hosts[2:]...)
	for _, h := range hosts[:2] {
		target, ok := in.control.View().TargetOf(h)
		assert.Assert(t, ok)
		r := placing.Report{ReceivedAt: time.Now(), Running: running, Slots: 10, GrayProbability: 0.1}
		in.states.set(target.ID, r)
		for range 20 {
			in.balances.observe(target, r)
		}
	}
	return in
}

// firstOffers returns the host of the first offer of each of several requests.
func firstOffers(t *testing.T, running int) []string {
	t.Helper()
	var first []string
	for i := range 40 {
		g := &scriptedGates{}
		g.forward = func(context.Context, Target, Forward, func()) Reply { return replyWithStatus(200) }
		in := loadedIngress(t, g, running)
		in.Handle(context.Background(), newExchange(fmt.Sprint(i), "GET", "/read/1", time.Second))
		offered := g.offered()
		assert.Assert(t, len(offered) > 0)
		first = append(first, offered[0])
	}
	return first
}

func isLocal(host string) bool { return host == "local-1" || host == "local-2" }

// Guards against loaded local targets being dropped from the candidates because ten remote
// ones without a report seem cheaper: requests then left the data centre for a small
// difference.
func TestLoadedLocalTargetsAreTried(t *testing.T) {
	for _, host := range firstOffers(t, 7) {
		assert.Assert(t, isLocal(host), host)
	}
}

// Guards against a data centre that is nearly full keeping all requests until a queue
// forms, and against it giving all of them away.
func TestRequestsSpillFromAFullDataCentre(t *testing.T) {
	first := firstOffers(t, 9)
	assert.Assert(t, slices.ContainsFunc(first, isLocal))
	assert.Assert(t, slices.ContainsFunc(first, func(h string) bool { return !isLocal(h) }))
}
