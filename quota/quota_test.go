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
		b := NewBucket(t0, InitialFill(burst))
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
	b := NewBucket(t0, InitialFill(10))
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
	b := NewBucket(t0.Add(-time.Hour), InitialFill(40))
	ok, _ := b.Take(t0, 10, 40)
	assert.Assert(t, ok)
	b.TakeOver(t0, t0.Add(time.Second), 10, InitialFill(40))
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

// An owner that was killed after it had granted a burst much larger than its rate was
// followed by a process that granted half of the burst again.
func TestSuccessorOfAKilledOwnerGrantsNoSecondBurst(t *testing.T) {
	const (
		rate    = 20.0
		window  = 5 * time.Second
		overage = 0.1
		slack   = 20
		step    = 10 * time.Millisecond
		outage  = 300 * time.Millisecond
	)
	for _, burst := range []float64{rate, 8 * rate, 20 * rate} {
		t.Run(fmt.Sprintf("burst %g", burst), func(t *testing.T) {
			killed := t0.Add(200 * time.Millisecond)
			owner := NewBucket(t0.Add(-time.Hour), burst)
			granted := 0
			for now := t0; now.Before(t0.Add(window)); now = now.Add(step) {
				switch {
				case now.Equal(killed):
					owner = NewBucket(killed.Add(outage), BoundedFill(rate, burst))
				case now.After(killed) && now.Before(killed.Add(outage)):
					continue
				}
				for ok := true; ok; {
					if ok, _ = owner.Take(now, rate, burst); ok {
						granted++
					}
				}
			}
			// The second owner grants a tenth while the first is missing.
			granted += int(overlapShare * (burst + rate*partitionDelay.Seconds()))
			allowed := (rate*window.Seconds()+burst)*(1+overage) + slack
			assert.Assert(t, float64(granted) <= allowed, "%d tokens, %g are allowed", granted, allowed)
		})
	}
}

// All that hosts grant in a partition stays within a tenth more than the rate, once
// the owners know of it.
func TestSharesInAPartition(t *testing.T) {
	const hosts = 30
	whole := Reach{Hosts: hosts, Reached: hosts}
	cases := []struct {
		name  string
		first Reach
		// second is that of the second owner, and each that of cut hosts which
		// reach neither.
		second, each Reach
		cut          int
	}{
		{"the first owner is lost", whole, whole, whole, 0},
		{"the first owner is isolated", Reach{Hosts: hosts, Reached: hosts, Isolated: true}, Reach{Hosts: hosts, Reached: hosts, OwnerMissing: partitionDelay}, whole, 0},
		{
			"the data centre of the first owner is cut off", Reach{Hosts: hosts, Reached: 10},
			Reach{Hosts: hosts, Reached: 20, OwnerMissing: partitionDelay, OwnerCut: true}, whole, 0,
		},
		{"another data centre is cut off", Reach{Hosts: hosts, Reached: 20}, Reach{}, Reach{Hosts: hosts, Reached: 10, OwnerMissing: partitionDelay}, 10},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			own, _ := c.each.OwnShare()
			sum := c.first.OwnerShare() + float64(c.cut)*own
			if c.second.Hosts > 0 {
				sum += c.second.FailoverShare()
			}
			assert.Assert(t, sum <= 1.1, "%.2f", sum)
		})
	}
}
