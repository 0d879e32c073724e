package quota

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var t0 = time.Unix(1_700_000_000, 0)

// In no interval does a bucket grant more tokens than its rate and burst allow.
func TestBucketNeverExceedsItsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := float64(rapid.IntRange(1, 60).Draw(t, "rate"))
		burst := float64(rapid.IntRange(1, 60).Draw(t, "burst"))
		b := NewBucket(t0, burst)
		now := t0
		var given []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			ok, after := b.Take(now, rate, burst)
			if ok {
				given = append(given, now)
			} else if after <= 0 {
				t.Fatalf("refused with retry after %s", after)
			}
		}
		for i := range given {
			for j := i; j < len(given); j++ {
				if n, most := float64(j-i+1), rate*given[j].Sub(given[i]).Seconds()+burst+1e-6; n > most {
					t.Fatalf("%v tokens, at most %v", n, most)
				}
			}
		}
	})
}

// The bucket of an owner that has owned the workspace for some time is full, so
// a burst at the start of the traffic is granted.
func TestBucketFillsDuringOwnership(t *testing.T) {
	b := NewBucket(t0, 10)
	served := 0
	for range 12 {
		if ok, _ := b.Take(t0.Add(8*time.Second), 5, 10); ok {
			served++
		}
	}
	assert.Equal(t, served, 10)
}

func TestOwnersChangeMinimally(t *testing.T) {
	var hosts []string
	for i := range 24 {
		hosts = append(hosts, fmt.Sprintf("host-%d", i))
	}
	moved := 0
	seen := map[string]int{}
	for i := range 240 {
		ws := fmt.Sprintf("ws-%d", i)
		owners := RankOwners(ws, hosts)
		assert.Equal(t, len(owners), len(hosts))
		seen[owners[0]]++
		if RankOwners(ws, hosts[:23])[0] != owners[0] {
			moved++
			assert.Equal(t, owners[0], hosts[23], "only the workspaces of the removed host get a new owner")
		}
	}
	assert.Assert(t, moved < 40, "%d of 240 moved", moved)
	assert.Assert(t, len(seen) >= 22, "owners: %d", len(seen))
}

// Each new owner may be the one after another that has just granted everything.
func TestTakeOverStartsPartlyFilled(t *testing.T) {
	b := NewBucket(t0.Add(-time.Hour), 40)
	ok, _ := b.Take(t0, 10, 40)
	assert.Assert(t, ok)
	b.TakeOver(t0, t0.Add(time.Second), 10, 40)
	granted := 0
	for {
		ok, _ := b.Take(t0.Add(time.Second), 10, 40)
		if !ok {
			break
		}
		granted++
	}
	assert.Equal(t, granted, 30)
}

// Two owners that have lost each other stay within a tenth more than the rate.
func TestSharesOfTwoOwnersInAPartition(t *testing.T) {
	assert.Assert(t, OwnerShare(false)+FailoverShare(0) <= 1.1)
	assert.Assert(t, OwnerShare(true)+FailoverShare(partitionDelay) <= 1.1)
}
