package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/member"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

var start = time.Unix(1_700_000_000, 0)

// sixTargets describes a service with 6 targets on 6 hosts in 3 data centres.
func sixTargets() Input {
	in := Input{Host: "h0", DataCentre: "dc0", Loads: &LoadTracker{}}
	for i := range 6 {
		dc := fmt.Sprintf("dc%d", i/2)
		in.Daemons = append(in.Daemons, daemon(i, dc, "orders"))
	}
	for i := range 3 {
		in.DataCentres = append(in.DataCentres, DataCentre{Name: fmt.Sprintf("dc%d", i), Region: "r"})
	}
	return in
}

func daemon(i int, dc, service string) member.Daemon {
	host := fmt.Sprintf("h%d", i)
	return member.Daemon{Host: host, DataCentre: dc, State: member.StateServing, Targets: []member.Target{
		{ID: host + "/w", Service: service, State: member.TargetReady, Slots: 7, Limit: 7},
	}}
}

func seeded() *rand.Rand { return rand.New(rand.NewPCG(7, 7)) }

// pickCounts returns how many of 1000 picks went to each host.
func pickCounts(now time.Time, in Input, avoid *HostBackoff, req Request) map[string]int {
	v := NewView(in)
	rng := seeded()
	got := map[string]int{}
	for range 1000 {
		if c, ok := Pick(now, v, avoid, req, rng); ok {
			got[c.Host]++
		}
	}
	return got
}

func TestPrefersOwnDataCentre(t *testing.T) {
	got := pickCounts(start, sixTargets(), nil, Request{Service: "orders"})
	assert.Equal(t, got["h0"]+got["h1"], 1000)
	assert.Assert(t, got["h0"] > 300 && got["h1"] > 300, "%v", got)
}

func TestOverflowsToOtherDataCentresWhenFull(t *testing.T) {
	in := sixTargets()
	for range 7 {
		in.Loads.Begin("h0/w")
		in.Loads.Begin("h1/w")
	}
	got := pickCounts(start, in, nil, Request{Service: "orders"})
	assert.Equal(t, got["h0"]+got["h1"], 0)
}

func TestIneligibleTargetsAreNotPicked(t *testing.T) {
	req := Request{Service: "orders"}
	for _, tc := range []struct {
		name   string
		change func(in *Input)
		req    Request
	}{
		{"tried", func(*Input) {}, Request{Service: "orders", Tried: []string{"h0/w"}}},
		{"ejected", func(in *Input) { in.Ejected = []string{"h0/w"} }, req},
		{"unreachable", func(in *Input) { in.Host = "h1"; in.Unreachable = []string{"h0"} }, req},
		{"leaving daemon", func(in *Input) { in.Daemons[0].State = member.StateLeaving }, req},
		{"leaving target", func(in *Input) { in.Daemons[0].Targets[0].State = member.TargetLeaving }, req},
		{"data centre out", func(in *Input) { in.DataCentres[0].Drained = true }, req},
	} {
		t.Run(tc.name, func(t *testing.T) {
			in := sixTargets()
			tc.change(&in)
			got := pickCounts(start, in, nil, tc.req)
			assert.Equal(t, got["h0"], 0)
			assert.Assert(t, len(got) > 0)
		})
	}
}

func TestHostInBackoffIsProbedByOneRequest(t *testing.T) {
	var avoid HostBackoff
	avoid.RecordFailure(start, "h0")
	got := pickCounts(start, sixTargets(), &avoid, Request{Service: "orders"})
	assert.Equal(t, got["h0"], 0)
	got = pickCounts(start.Add(backoffInitial), sixTargets(), &avoid, Request{Service: "orders"})
	assert.Equal(t, got["h0"], 1, "one request probes the host")
	avoid.RecordSuccess("h0")
	got = pickCounts(start.Add(backoffInitial), sixTargets(), &avoid, Request{Service: "orders"})
	assert.Assert(t, got["h0"] > 300)
}

func TestReturningDataCentreIsRampedUp(t *testing.T) {
	in := sixTargets()
	in.DataCentres[0].RestoredAt = start
	share := func(after time.Duration) int {
		got := pickCounts(start.Add(after), in, nil, Request{Service: "orders"})
		return got["h0"] + got["h1"]
	}
	assert.Equal(t, share(0), 0)
	half := share(DefaultRamp / 2)
	assert.Assert(t, half > 400 && half < 600, "%d", half)
	assert.Equal(t, share(DefaultRamp), 1000)
}

func TestEjectedTargetGetsLimitedTrialRequests(t *testing.T) {
	in := sixTargets()
	in.Ejected = []string{"h0/w"}
	v := NewView(in)
	rng := seeded()
	trials := 0
	now := start
	const seconds = 60
	for range seconds * 100 {
		now = now.Add(10 * time.Millisecond)
		c, ok := Pick(now, v, nil, Request{Service: "orders", Idempotent: true}, rng)
		assert.Assert(t, ok)
		if c.Trial {
			assert.Equal(t, c.Host, "h0")
			trials++
		}
	}
	assert.Assert(t, trials >= seconds/12 && trials <= seconds/6+1, "%d trials", trials)
}

// A cold target whose limit is 1 and which serves one request gets no other.
func TestFullColdTargetGetsNoRequests(t *testing.T) {
	in := sixTargets()
	in.Daemons[0].Targets[0].Limit = 1
	in.Loads.Begin("h0/w")
	got := pickCounts(start, in, nil, Request{Service: "orders"})
	assert.Equal(t, got["h0"], 0)
	assert.Equal(t, got["h1"], 1000)
}

func TestStaleReportDecays(t *testing.T) {
	var l LoadTracker
	l.RecordReport(start, "t", wire.Load{InFlight: 8, Limit: 7})
	ld := l.Get("t")
	assert.Equal(t, ld.inFlight(start), 8.0)
	assert.Equal(t, ld.inFlight(start.Add(reportHalfLife)), 4.0)
	assert.Equal(t, ld.effectiveLimit(start, 3), 7)
	assert.Equal(t, ld.effectiveLimit(start.Add(time.Minute), 3), 3)
}

func TestRefusalMarksTargetFullUntilItDecays(t *testing.T) {
	in := sixTargets()
	for range 6 {
		in.Loads.Begin("h1/w")
	}
	in.Loads.Begin("h0/w")
	in.Loads.RecordRefusal(start, "h0/w", 7)
	in.Loads.End("h0/w")
	got := pickCounts(start, in, nil, Request{Service: "orders"})
	assert.Equal(t, got["h0"], 0)
	got = pickCounts(start.Add(4*reportHalfLife), in, nil, Request{Service: "orders"})
	assert.Equal(t, got["h0"], 1000)
}

// The number of hosts to connect to stays bounded at the design size of 1,200
// daemons and 200 services.
func TestSubsetBoundsHosts(t *testing.T) {
	in := designSize()
	v := NewView(in)
	assert.Equal(t, len(v.services), 200)
	assert.Assert(t, v.HostCount() < 600, "%d hosts", v.HostCount())
}

func designSize() Input {
	in := Input{Host: "h0", DataCentre: "dc0", Loads: &LoadTracker{}}
	for i := range 1200 {
		d := daemon(i, fmt.Sprintf("dc%d", i%9), "")
		d.Targets = nil
		for t := range 8 {
			d.Targets = append(d.Targets, member.Target{
				ID: fmt.Sprintf("%s/w%d", d.Host, t), Service: fmt.Sprintf("s%d", (i*8+t)*7919%200),
				State: member.TargetReady, Slots: 7, Limit: 7,
			})
		}
		in.Daemons = append(in.Daemons, d)
	}
	for i := range 9 {
		in.DataCentres = append(in.DataCentres, DataCentre{Name: fmt.Sprintf("dc%d", i), Region: fmt.Sprintf("r%d", i/3)})
	}
	return in
}

func BenchmarkNewView(b *testing.B) {
	in := designSize()
	for b.Loop() {
		NewView(in)
	}
	b.ReportMetric(float64(NewView(in).HostCount()), "hosts")
}

func BenchmarkPick(b *testing.B) {
	v := NewView(designSize())
	rng := seeded()
	var avoid HostBackoff
	for b.Loop() {
		Pick(start, v, &avoid, Request{Service: "s7"}, rng)
	}
}

// An idle cold target gets the same share of requests as an idle warm one. If
// the lower limit counted against it, it would get no traffic and stay cold.
func TestIdleColdTargetIsUsed(t *testing.T) {
	cold := member.Target{ID: "h1/t", Service: "s", State: member.TargetReady, Slots: 7, Limit: 1}
	warm := member.Target{ID: "h2/t", Service: "s", State: member.TargetReady, Slots: 7, Limit: 7}
	v := NewView(Input{Host: "h3", DataCentre: "dc", DataCentres: []DataCentre{{Name: "dc"}}, Daemons: []member.Daemon{
		{Host: "h1", DataCentre: "dc", State: member.StateServing, Targets: []member.Target{cold}},
		{Host: "h2", DataCentre: "dc", State: member.StateServing, Targets: []member.Target{warm}},
	}})
	rng := rand.New(rand.NewPCG(1, 2))
	chosen := 0
	for range 1000 {
		c, ok := Pick(time.Unix(0, 0), v, nil, Request{Service: "s"}, rng)
		assert.Assert(t, ok)
		if c.Host == "h1" {
			chosen++
		}
	}
	assert.Assert(t, chosen > 400 && chosen < 600, "%d of 1000", chosen)
}
