package suspect

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// A registry that starts empty learns from reports what the other one knows, whatever the
// order in which they come and however often, and wherever its clock stands.
func TestReportsCarryTheVerdictsToAnotherHost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from := NewRegistry(Options{DeathThreshold: 3})
		for range rapid.IntRange(0, 30).Draw(t, "events") {
			fp := rapid.Uint64Range(1, 4).Draw(t, "request")
			if rapid.IntRange(0, 5).Draw(t, "kind") == 0 {
				from.OnSuccess(start, fp)
				continue
			}
			from.OnDeath(start, "t", rapid.Uint64Range(1, 9).Draw(t, "incarnation"), []uint64{fp})
		}
		reports := rapid.Permutation(from.Reports(start.Add(time.Second), 100)).Draw(t, "order")
		encoded, err := json.Marshal(reports)
		assert.NilError(t, err)
		var received []Report
		assert.NilError(t, json.Unmarshal(encoded, &received))
		there := start.Add(time.Duration(rapid.IntRange(-3600, 3600).Draw(t, "clock_s")) * time.Second)
		to := NewRegistry(Options{DeathThreshold: 3})
		to.Apply(there, received...)
		to.Apply(there, received...)
		for fp := uint64(1); fp <= 4; fp++ {
			assert.Equal(t, to.Check(there, fp).Level, from.Check(start.Add(time.Second), fp).Level, "request %d", fp)
		}
	})
}

// A success clears the deaths known when it happened, and no other, whatever the clock of
// the host that saw it says.
func TestSuccessClearsKnownDeathsAlone(t *testing.T) {
	r := NewRegistry(Options{DeathThreshold: 2})
	r.OnDeath(start, "a", 1, []uint64{poison})
	assert.Equal(t, len(r.OnSuccess(start.Add(time.Hour), poison)), 1)
	assert.Equal(t, len(r.OnSuccess(start.Add(time.Hour), poison)), 0, "cleared already")
	r.OnDeath(start.Add(time.Second), "b", 1, []uint64{poison})
	r.OnDeath(start.Add(time.Second), "c", 1, []uint64{poison})
	assert.Equal(t, r.Check(start.Add(time.Second), poison).Level, Quarantined)
}

// The requests in flight at a full target fit into a datagram, and the most suspected are
// named first.
func TestReportsAreBounded(t *testing.T) {
	r := NewRegistry(Options{DeathThreshold: 2})
	var all []uint64
	for fp := range uint64(64) {
		all = append(all, 1<<63+fp)
	}
	r.OnDeath(start, "some-target-with-a-long-name", 1<<60, all)
	data, err := json.Marshal(r.Reports(start, 64))
	assert.NilError(t, err)
	assert.Assert(t, len(data) < 1000, "%d bytes", len(data))
	r.OnDeath(start, "b", 1, []uint64{poison})
	r.OnDeath(start, "c", 1, []uint64{poison})
	for _, p := range r.Reports(start.Add(time.Second), 1) {
		assert.DeepEqual(t, p.Requests, Fingerprints{poison})
	}
	assert.Assert(t, json.Unmarshal([]byte(`"AAAA"`), &Fingerprints{}) != nil, "three bytes")
}
