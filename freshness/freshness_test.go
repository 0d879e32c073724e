package freshness

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/member"
)

var start = time.Unix(1_700_000_000, 0)

// newSample returns a sample from triples of queried, responded and fresh members,
// one for each data centre.
func newSample(at time.Time, triples ...[3]int) *Sample {
	s := &Sample{Start: at}
	for i, t := range triples {
		s.DataCentres = append(s.DataCentres, DataCentreSample{fmt.Sprint("dc", i), t[0], t[1], t[2]})
	}
	return s
}

// asSoleMember makes the daemon the only member of its data centre.
func asSoleMember(s *Sample) *Sample {
	s.LocalDataCentre = "own"
	return s
}

func TestDecide(t *testing.T) {
	now := start.Add(time.Minute)
	for _, tc := range []struct {
		name   string
		age    time.Duration
		sample *Sample
		want   Decision
	}{
		{"read just now", 0, nil, Decision{Fresh, false}},
		{"about to become stale", SampleAge, nil, Decision{Fresh, true}},
		{"at the limit", MaxAge, nil, Decision{Fresh, true}},
		{"stale, not sampled", MaxAge + 1, nil, Decision{Stale, true}},
		{"table outage", 5 * time.Second, newSample(now, [3]int{3, 3, 0}, [3]int{3, 3, 0}, [3]int{3, 3, 0}), Decision{TableOutage, true}},
		{"outage, one data centre unreachable", 5 * time.Second, newSample(now, [3]int{3, 3, 0}, [3]int{3, 2, 0}, [3]int{3, 0, 0}), Decision{TableOutage, true}},
		{"outage seen by an expired sample", 5 * time.Second, newSample(now.Add(-SampleTTL-1), [3]int{3, 3, 0}, [3]int{3, 3, 0}, [3]int{3, 3, 0}), Decision{Stale, true}},
		{"daemon isolated", 5 * time.Second, newSample(now, [3]int{3, 0, 0}, [3]int{3, 0, 0}, [3]int{3, 0, 0}), Decision{Stale, true}},
		{"minority partition: local data centre only", 5 * time.Second, newSample(now, [3]int{3, 3, 0}, [3]int{3, 0, 0}, [3]int{3, 0, 0}), Decision{Stale, true}},
		{"half of the data centres is not a majority", 5 * time.Second, newSample(now, [3]int{3, 3, 0}, [3]int{3, 0, 0}), Decision{Stale, true}},
		{"regions partitioned, majority side", 5 * time.Second, newSample(now, [3]int{3, 3, 0}, [3]int{3, 3, 0}, [3]int{3, 3, 0}, [3]int{3, 3, 0}, [3]int{3, 3, 0}, [3]int{3, 0, 0}, [3]int{3, 0, 0}, [3]int{3, 0, 0}, [3]int{3, 0, 0}), Decision{TableOutage, true}},
		{"regions partitioned, minority side", 5 * time.Second, newSample(now, [3]int{3, 3, 0}, [3]int{3, 3, 0}, [3]int{3, 3, 0}, [3]int{3, 3, 0}, [3]int{3, 0, 0}, [3]int{3, 0, 0}, [3]int{3, 0, 0}, [3]int{3, 0, 0}, [3]int{3, 0, 0}), Decision{Stale, true}},
		{"a sampled member is fresh, local reads fail", 5 * time.Second, newSample(now, [3]int{3, 3, 1}, [3]int{3, 3, 0}, [3]int{3, 3, 0}), Decision{Stale, true}},
		{"minority responds in every data centre", 5 * time.Second, newSample(now, [3]int{3, 1, 0}, [3]int{3, 1, 0}, [3]int{3, 1, 0}), Decision{Stale, true}},
		{"one daemon in each of three data centres, one unreachable", 5 * time.Second, asSoleMember(newSample(now, [3]int{1, 1, 0}, [3]int{1, 0, 0})), Decision{TableOutage, true}},
		{"one daemon in each of three data centres, isolated", 5 * time.Second, asSoleMember(newSample(now, [3]int{1, 0, 0}, [3]int{1, 0, 0})), Decision{Stale, true}},
		{"sole member of the fleet", 5 * time.Second, asSoleMember(newSample(now)), Decision{Stale, true}},
		{"empty sample", 5 * time.Second, newSample(now), Decision{Stale, true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var tracker Tracker
			tracker.ObserveRead(now.Add(-tc.age))
			assert.Equal(t, Decide(now, tracker, tc.sample), tc.want)
		})
	}
}

func TestZeroValueIsNotFresh(t *testing.T) {
	assert.Equal(t, Decide(start, Tracker{}, nil).Mode, Stale)
}

// TestAgesAreNeverUnderstated relays a read along a chain of daemons with slow
// exchanges. A daemon that ignored the time of the exchange would consider the
// read more recent than it is.
func TestAgesAreNeverUnderstated(t *testing.T) {
	const exchangeTime = 700 * time.Millisecond
	now := start
	var tracker Tracker
	tracker.ObserveRead(now)
	for range 5 {
		exchangeStart := now
		now = now.Add(exchangeTime)
		reported, _ := tracker.Age(now) // worst case: the peer responds at the end of the exchange
		var next Tracker
		next.ObservePeer(exchangeStart, reported)
		age, ok := next.Age(now)
		assert.Assert(t, ok)
		assert.Assert(t, age >= now.Sub(start), "age %s after %s", age, now.Sub(start))
		tracker = next
	}
	assert.Assert(t, !tracker.Fresh(now), "still fresh after a chain of slow exchanges")
}

func TestOlderReadIsIgnored(t *testing.T) {
	var tracker Tracker
	tracker.ObserveRead(start)
	tracker.ObservePeer(start, time.Minute)
	tracker.ObservePeer(start, -time.Minute)
	age, _ := tracker.Age(start)
	assert.Equal(t, age, time.Duration(0))
}

func TestSampleCoversEachDataCentre(t *testing.T) {
	var all []member.Daemon
	for i := range 20 {
		d := member.Daemon{Host: fmt.Sprint("h", i), DataCentre: fmt.Sprint("dc", i%3), State: member.StateServing}
		if i == 1 {
			d.State = member.StateLeft
		}
		all = append(all, d)
	}
	got := SelectMembers("h0", all, rand.New(rand.NewPCG(1, 1)))
	assert.Equal(t, len(got), 3*SampleSize)
	for _, d := range got {
		assert.Assert(t, d.Host != "h0" && d.Host != "h1")
	}
}
