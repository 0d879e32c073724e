package placing_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// unevenFleet is a service with 13 targets, whose speeds differ by a factor of 2.3 and
// three of which slow down beyond 3 requests.
func unevenFleet(dcs int) fleetSpec {
	slowness := []float64{0.7, 1, 1.6, 0.8, 1.2, 1, 0.9, 1.4, 1, 0.8, 1.3, 1, 1.1}
	s := fleetSpec{dcs: dcs, ingresses: 40, rate: 90, duration: 60 * time.Second}
	for i, x := range slowness {
		t := targetSpec{dc: i % dcs, slots: 6, slowness: x, knee: 6}
		if i == 2 || i == 6 || i == 10 { // in different data centres
			t.knee = 3
		}
		s.targets = append(s.targets, t)
	}
	return s
}

// evenFleet is a service with 13 equal targets.
func evenFleet(dcs int) fleetSpec {
	s := unevenFleet(dcs)
	for i := range s.targets {
		s.targets[i].slowness, s.targets[i].knee = 1, 6
	}
	return s
}

// meanResult plays a fleet on several seeds. The late shares of two means of 8 runs differ by
// some 3% by chance, and more rarely by 10%. Floating-point rounding differs between processor
// architectures, so that other runs are played there.
func meanResult(t *testing.T, what string, runs int, s fleetSpec) result {
	var sum result
	for seed := range runs {
		s.seed = uint64(seed)
		r := play(s).result()
		sum.busiest += r.busiest / float64(runs)
		sum.mostServed += r.mostServed / float64(runs)
		sum.p50 += r.p50 / time.Duration(runs)
		sum.p95 += r.p95 / time.Duration(runs)
		sum.lateShare += r.lateShare / float64(runs)
		sum.refused += r.refused / float64(runs)
		sum.spilt += r.spilt / float64(runs)
		sum.remoteShare += r.remoteShare / float64(runs)
	}
	t.Logf("%s: busiest %.2f, most requests %.2f, p50 %v, p95 %v, late %.4f, refused %.4f, remote %.3f, spilt %.3f", what,
		sum.busiest, sum.mostServed, sum.p50.Round(time.Millisecond), sum.p95.Round(time.Millisecond), sum.lateShare, sum.refused, sum.remoteShare, sum.spilt)
	return sum
}

// Guards against targets that are slow or slow down being the busiest, and callers of
// uneven targets getting later answers than they could.
func TestUnevenTargets(t *testing.T) {
	for _, dcs := range []int{1, 5} {
		for _, rate := range []float64{90, 130} {
			s := unevenFleet(dcs)
			s.rate = rate
			before := meanResult(t, "before", 8, s)
			s.learn = true
			after := meanResult(t, "after", 8, s)
			assert.Assert(t, after.busiest <= 1.05*before.busiest)
			assert.Assert(t, after.lateShare <= 1.02*before.lateShare)
			assert.Assert(t, after.refused <= before.refused+0.0005)
		}
	}
}

// Guards against a change for services whose targets are equal.
func TestEvenTargetsAreServedAsBefore(t *testing.T) {
	s := evenFleet(5)
	before := meanResult(t, "before", 24, s)
	s.learn = true
	after := meanResult(t, "after", 24, s)
	assert.Assert(t, after.busiest <= 1.05*before.busiest)
	assert.Assert(t, after.lateShare <= 1.05*before.lateShare)
	assert.Assert(t, after.p95 <= before.p95+before.p95/50)
}

// Guards against a fleet that depends on the reports: with most of them lost, callers
// must get no less than without estimates.
func TestLostReports(t *testing.T) {
	s := unevenFleet(5)
	s.lostReports = 0.8
	before := meanResult(t, "before", 8, s)
	s.learn = true
	after := meanResult(t, "after", 8, s)
	assert.Assert(t, after.lateShare <= 1.05*before.lateShare)
	assert.Assert(t, after.refused <= before.refused+0.0005)
}

// Guards against callers of a data centre with too much demand waiting, or getting
// later answers, while other data centres have room, and against traffic between
// data centres that does not serve this. Before, the eight cheapest of all
// candidates were tried, of which loaded local targets were none.
func TestSpill(t *testing.T) {
	for _, rate := range []float64{130, 280} {
		s := unevenFleet(5)
		s.rate, s.swing, s.learn = rate, 0.55, true
		if rate > 200 {
			s.quiet, s.swing = 0.3, 0
		}
		before := meanResult(t, "before", 8, s)
		s.allLocal = true
		meanResult(t, "no spill", 8, s)
		s.spill = true
		after := meanResult(t, "after", 8, s)
		assert.Assert(t, after.remoteShare <= 0.6*before.remoteShare)
		assert.Assert(t, after.lateShare <= 1.05*before.lateShare)
		assert.Assert(t, after.refused <= before.refused+0.0005)
	}
}

// Guards against hosts without processor time taking the same part as others.
func TestShortHosts(t *testing.T) {
	s := evenFleet(1)
	for i := range 3 {
		s.targets[i].delay, s.targets[i].shortage = 120*time.Millisecond, 0.6
	}
	s.learn, s.allLocal = true, true
	before := meanResult(t, "before", 8, s)
	s.tellShortage = true
	after := meanResult(t, "after", 8, s)
	assert.Assert(t, after.lateShare < 0.9*before.lateShare)
	assert.Assert(t, after.p50 < before.p50)
	assert.Assert(t, after.refused <= before.refused+0.0005)
}

// Guards against targets that become the busiest because an ingress gets reports of each of them
// only every few seconds, by when a report of the load at one moment says nothing.
func TestMeanLoad(t *testing.T) {
	for _, c := range []struct {
		what  string
		s     fleetSpec
		share float64 // of the excess over the mean that may remain
	}{{"even", evenFleet(1), 0.5}, {"uneven", unevenFleet(1), 0.85}, {"five data centres", unevenFleet(5), 1.05}} {
		c.s.learn, c.s.spill = true, true
		before := meanResult(t, c.what+", before", 16, c.s)
		c.s.meanLoad = true
		after := meanResult(t, c.what+", after", 16, c.s)
		assert.Assert(t, after.busiest-1 <= c.share*(before.busiest-1))
		assert.Assert(t, after.lateShare <= 1.1*before.lateShare)
		assert.Assert(t, after.refused <= before.refused+0.0005)
	}
}
