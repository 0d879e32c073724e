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

// newSample builds a sample from triples asked/answered/fresh, one for each data
// centre.
func newSample(at time.Time, triples ...[3]int) *Sample {
	s := &Sample{Begun: at}
	for i, t := range triples {
		s.DataCentres = append(s.DataCentres, DataCentreSample{fmt.Sprint("dc", i), t[0], t[1], t[2]})
	}
	return s
}

// asSoleMember puts the daemon in a data centre of its own.
func asSoleMember(s *Sample) *Sample {
	s.Own = "own"
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
		{"just read", 0, nil, Decision{Fresh, false}},
		{"about to turn stale", SampleAfter, nil, Decision{Fresh, true}},
		{"at the bound", FreshFor, nil, Decision{Fresh, true}},
		{"stale, not sampled", FreshFor + 1, nil, Decision{OutOfTouch, true}},
		{"table outage", 5 * time.Second, newSample(now, [3]int{3, 3, 0}, [3]int{3, 3, 0}, [3]int{3, 3, 0}), Decision{TableOut, true}},
		{"outage, one data centre gone", 5 * time.Second, newSample(now, [3]int{3, 3, 0}, [3]int{3, 2, 0}, [3]int{3, 0, 0}), Decision{TableOut, true}},
		{"outage told by an old sample", 5 * time.Second, newSample(now.Add(-SampleFor-1), [3]int{3, 3, 0}, [3]int{3, 3, 0}, [3]int{3, 3, 0}), Decision{OutOfTouch, true}},
		{"cut off alone", 5 * time.Second, newSample(now, [3]int{3, 0, 0}, [3]int{3, 0, 0}, [3]int{3, 0, 0}), Decision{OutOfTouch, true}},
		{"minority cut: own data centre only", 5 * time.Second, newSample(now, [3]int{3, 3, 0}, [3]int{3, 0, 0}, [3]int{3, 0, 0}), Decision{OutOfTouch, true}},
		{"half of the data centres is no majority", 5 * time.Second, newSample(now, [3]int{3, 3, 0}, [3]int{3, 0, 0}), Decision{OutOfTouch, true}},
		{"regions apart, the larger side", 5 * time.Second, newSample(now, [3]int{3, 3, 0}, [3]int{3, 3, 0}, [3]int{3, 3, 0}, [3]int{3, 3, 0}, [3]int{3, 3, 0}, [3]int{3, 0, 0}, [3]int{3, 0, 0}, [3]int{3, 0, 0}, [3]int{3, 0, 0}), Decision{TableOut, true}},
		{"regions apart, the smaller side", 5 * time.Second, newSample(now, [3]int{3, 3, 0}, [3]int{3, 3, 0}, [3]int{3, 3, 0}, [3]int{3, 3, 0}, [3]int{3, 0, 0}, [3]int{3, 0, 0}, [3]int{3, 0, 0}, [3]int{3, 0, 0}, [3]int{3, 0, 0}), Decision{OutOfTouch, true}},
		{"one way: they answer and are fresh, we cannot read", 5 * time.Second, newSample(now, [3]int{3, 3, 1}, [3]int{3, 3, 0}, [3]int{3, 3, 0}), Decision{OutOfTouch, true}},
		{"few of each answer", 5 * time.Second, newSample(now, [3]int{3, 1, 0}, [3]int{3, 1, 0}, [3]int{3, 1, 0}), Decision{OutOfTouch, true}},
		{"one daemon in each of three, one gone", 5 * time.Second, asSoleMember(newSample(now, [3]int{1, 1, 0}, [3]int{1, 0, 0})), Decision{TableOut, true}},
		{"one daemon in each of three, cut off", 5 * time.Second, asSoleMember(newSample(now, [3]int{1, 0, 0}, [3]int{1, 0, 0})), Decision{OutOfTouch, true}},
		{"no other daemon at all", 5 * time.Second, asSoleMember(newSample(now)), Decision{OutOfTouch, true}},
		{"nobody to ask", 5 * time.Second, newSample(now), Decision{OutOfTouch, true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var k Knowledge
			k.Read(now.Add(-tc.age))
			assert.Equal(t, Decide(now, k, tc.sample), tc.want)
		})
	}
}

func TestZeroValueIsNotFresh(t *testing.T) {
	assert.Equal(t, Decide(start, Knowledge{}, nil).Mode, OutOfTouch)
}

// TestAgesAreNeverUnderstated passes knowledge along a chain of daemons whose
// exchanges take time; none may seem fresher than the reading.
func TestAgesAreNeverUnderstated(t *testing.T) {
	const exchangeTime = 700 * time.Millisecond
	now := start
	var k Knowledge
	k.Read(now)
	for range 5 {
		begun := now
		now = now.Add(exchangeTime)
		stated, _ := k.Age(now) // the peer answers at the end of the exchange
		var next Knowledge
		next.Heard(begun, stated)
		age, ok := next.Age(now)
		assert.Assert(t, ok)
		assert.Assert(t, age >= now.Sub(start), "age %s after %s", age, now.Sub(start))
		k = next
	}
	assert.Assert(t, !k.Fresh(now), "a chain of slow exchanges turns stale")
}

func TestOlderReadIsIgnored(t *testing.T) {
	var k Knowledge
	k.Read(start)
	k.Heard(start, time.Minute)
	k.Heard(start, -time.Minute)
	age, _ := k.Age(start)
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
	got := Choose("h0", all, rand.New(rand.NewPCG(1, 1)))
	assert.Equal(t, len(got), 3*SampleSize)
	for _, d := range got {
		assert.Assert(t, d.Host != "h0" && d.Host != "h1")
	}
}
