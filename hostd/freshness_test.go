package hostd

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/boottime"
	"github.com/gooseberryshed/gooseberryshed/decisions"
	"github.com/gooseberryshed/gooseberryshed/metrics"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

// A reply counts from no later than when the store sent it, however late the
// process handles it, and a long poll's reply counts from later than its request.
func TestStoreReplyCountsFromWhenItWasSent(t *testing.T) {
	at := func(ms int) boottime.Instant {
		return boottime.Instant(time.Hour + time.Duration(ms)*time.Millisecond)
	}
	type reply struct{ asked, answered, received, earliest int }
	cases := []struct {
		name    string
		replies []reply
	}{
		{"first reply handled after a suspension", []reply{{0, 2, 9000, 0}}},
		{"second reply handled after a suspension", []reply{{0, 2, 4, 0}, {100, 1600, 9000, 1588}}},
		{"only delayed replies", []reply{{0, 2, 9000, 0}, {10_000, 11_500, 20_000, 11_480}, {20_000, 21_500, 21_502, 21_470}}},
		{"long polls", []reply{{0, 2, 4, 0}, {10, 1510, 1512, 1500}, {1520, 3020, 3022, 3010}}},
	}
	const storeClockStart = 77 * time.Second
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := &storeClock{}
			for _, r := range c.replies {
				stamp := storeClockStart.Milliseconds() + int64(r.answered)
				got := s.answeredAt(at(r.asked), at(r.received), stamp)
				assert.Assert(t, got <= at(r.answered), "counts from %s after the reply was sent", got.Sub(at(r.answered)))
				assert.Assert(t, got >= at(r.earliest), "counts from %s before the reply was sent", at(r.answered).Sub(got))
			}
		})
	}
}

// A view is never combined with the proof of a newer one.
func TestProofBelongsToItsView(t *testing.T) {
	c := NewControl("h", "dc", nil, nil, decisions.New(&logBuffer{}), metrics.New())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.Run(ctx) //nolint:errcheck // ends with ctx
	go func() {
		for version := uint64(1); ctx.Err() == nil; version++ {
			row := karpithaz.Row{Key: karpithaz.ConfigKey, Version: version,
				Value: standin.EncodeConfig(int(version), []string{"svc"}, defaultRoutes(), nil)}
			// The proof is as old as its version is low.
			c.submit(ctx, tableUpdate{table: karpithaz.OperatorTable, version: version, rows: []karpithaz.Row{row},
				proof: true, provenVersion: version, provenAt: boottime.Instant(version)})
		}
	}()
	for end := time.Now().Add(500 * time.Millisecond); time.Now().Before(end); {
		view, proof := c.ProvenView()
		assert.Assert(t, uint64(proof) <= view.operatorVersion, "proof of version %d for a view of version %d", proof, view.operatorVersion)
	}
}

// A host that starts while the store is away is as ready as its peers: their proofs may
// be older than the start of its machine.
func TestFirstProofMayBeOlderThanTheMachine(t *testing.T) {
	cfg, err := karpithaz.DecodeConfig(standin.EncodeConfig(1, []string{"svc"}, defaultRoutes(), nil))
	assert.NilError(t, err)
	c := NewControl("h", "dc", nil, nil, decisions.New(&logBuffer{}), metrics.New())
	c.config = cfg
	c.view.Store(newView(cfg, nil, nil, true, time.Now()))
	assert.Assert(t, !c.reportVersions("other").Result, "a host without a proof reports versions")
	age := time.Duration(boottime.Now()) + time.Minute
	c.apply(tableUpdate{proof: true, provenAt: boottime.Now().Add(-age)})
	assert.Assert(t, c.proven())
	assert.Assert(t, c.ProofAge() >= age, "%s", c.ProofAge())
	assert.Assert(t, c.reportVersions("other").Result)
	c.apply(tableUpdate{proof: true, provenAt: boottime.Now().Add(-time.Second)})
	assert.Assert(t, c.ProofAge() < 10*time.Second)
	c.apply(tableUpdate{proof: true, provenAt: boottime.Now().Add(-age)})
	assert.Assert(t, c.ProofAge() < 10*time.Second, "an older proof replaced a newer one")
}
