package rollout

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestAllowancesStayWithinTheBudget guards against exposure beyond the budget: over any
// sequence of requests, reports that are lost or repeated, restarts of gates, failed
// writes and takeovers, also by a holder that still answers after its successor has
// begun.
func TestAllowancesStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Share: rapid.Float64Range(0.01, 0.5).Draw(t, "share"), Slack: rapid.Float64Range(0, 80).Draw(t, "slack")}
		o := Order{Service: "svc", Target: "v2", Version: 3, Duration: time.Hour}
		now := time.Second
		// members are two old and four new targets.
		var members []Member
		gates := map[string]*Gate{}
		incarnation := int64(0)
		restart := func(host string) {
			incarnation++
			gates[host] = NewGate(incarnation)
			gates[host].Learn(Directive{Order: o.Version, Phase: Canary, Target: "v2", From: "v1"})
		}
		for i := range 6 {
			m := Member{fmt.Sprintf("h%d", i), "v2"}
			if i < 2 {
				m.Version = "v1"
			}
			members = append(members, m)
			restart(m.Host)
		}
		// row is the state in the store. holders are the controllers that may answer: the
		// last one holds the row.
		var row *State
		holders := []*Controller{Start(o, limits, "h0", nil, "v1")}
		total, exposed := 0, 0
		write := func(applied, replied bool) {
			c := holders[len(holders)-1]
			s := c.Next(now)
			if applied {
				row = s
			}
			if applied && replied {
				c.Committed(s)
			}
		}
		write(true, true)
		for range rapid.IntRange(20, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond
			m := members[rapid.IntRange(0, len(members)-1).Draw(t, "member")]
			g := gates[m.Host]
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0, 1, 2, 3:
				for range rapid.IntRange(1, 30).Draw(t, "requests") {
					if g.Check(m.Version, now) == Serve {
						g.Sent(m.Version)
						total++
						if m.Version == "v2" {
							exposed++
						}
					}
				}
			case 4, 5, 6:
				c := holders[rapid.IntRange(0, len(holders)-1).Draw(t, "holder")]
				c.Advance(now, members)
				r := g.Report(m.Version, 0, now)
				r.Host = m.Host
				for range rapid.IntRange(1, 2).Draw(t, "copies") {
					if a, ok := c.Report(r, now); ok && rapid.Bool().Draw(t, "answered") {
						g.Apply(a, now)
					}
				}
			case 7:
				write(rapid.Bool().Draw(t, "applied"), rapid.Bool().Draw(t, "replied"))
			case 8:
				holders = append(holders, Resume(o, limits, m.Host, row))
				write(true, true)
			case 9:
				restart(m.Host)
			}
			// The budget also holds for what was granted and not used yet.
			bound := limits.Share*float64(total) + limits.Slack
			if float64(exposed) > bound {
				t.Fatalf("%d exposed of %d requests, %.1f allowed", exposed, total, bound)
			}
		}
	})
}

// TestStateFitsIntoItsRow guards against a row that the store refuses, for a service
// with many routes.
func TestStateFitsIntoItsRow(t *testing.T) {
	c := Start(Order{Service: "svc", Target: "v2", Version: 1, Duration: time.Minute}, Limits{Share: 1}, "h", nil, "v1")
	c.Committed(c.Next(0))
	for i := range 200 {
		t := Tally{Answers: 5000, Failed: 5, Latency: Histogram{}}
		for b := range maxBucket + 1 {
			t.Latency[b] = 12345
		}
		for _, version := range []string{"v1", "v2"} {
			route := fmt.Sprintf("a-route-with-a-rather-long-name-%d", i)
			c.Report(Report{Host: version, Incarnation: 1, Order: 1, Version: version, Seq: uint64(i + 1), Counts: Tallies{route: t}}, time.Second)
		}
	}
	data, err := c.Next(time.Second).Encode()
	assert.NilError(t, err)
	s, err := DecodeState(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, s, c.Next(time.Second))
	_, err = DecodeState([]byte(`{"service":"svc"}`))
	assert.ErrorContains(t, err, "missing")
}

// TestDirectivesAreOrdered guards against a gate that follows an earlier holder or order, or
// that leaves a final phase.
func TestDirectivesAreOrdered(t *testing.T) {
	g := NewGate(1)
	step := func(d Directive, taken bool) {
		t.Helper()
		assert.Equal(t, g.Learn(d), taken, "%+v", d)
	}
	step(Directive{Order: 5, Term: 2, Phase: Withdraw, Target: "v2", From: "v1"}, true)
	assert.Equal(t, g.Check("v1", 0), RefuseVersion)
	step(Directive{Order: 5, Term: 1, Phase: Ramp, Target: "v2", From: "v1"}, false)
	step(Directive{Order: 4, Term: 9, Phase: Completed, Target: "v2"}, false)
	step(Directive{Order: 5, Term: 2, Phase: RolledBack, Target: "v2", From: "v1"}, true)
	assert.Equal(t, g.Check("v1", 0), Serve)
	assert.Equal(t, g.Check("v2", 0), RefuseVersion)
	step(Directive{Order: 5, Term: 3, Phase: Canary, Target: "v2", From: "v1"}, false)
	step(Directive{Order: 6, Term: 4, Phase: Canary, Target: "v3", From: "v1"}, true)
	assert.Equal(t, g.Check("v3", 0), RefuseAllowance)
	assert.Equal(t, g.Check("v2", 0), RefuseVersion)
	assert.Equal(t, g.Check("", 0), RefuseUnknown)
}

// TestReportFitsIntoADatagram guards against reports that are cut, after a time without a
// holder.
func TestReportFitsIntoADatagram(t *testing.T) {
	g := NewGate(1 << 60)
	g.Learn(Directive{Order: 1 << 40, Term: 1000, Phase: Canary, Target: "v2", From: "v1"})
	rnd := rand.New(rand.NewPCG(1, 2))
	results := 0
	for range 20000 {
		route := fmt.Sprintf("a-route-with-a-name-%d", rnd.IntN(20))
		g.Sent("v2")
		g.Observe(route, Result{Warm: true, Took: time.Duration(rnd.Int64N(int64(time.Minute)))}, time.Hour)
		g.Observe(route, Result{Warm: true, Took: time.Duration(rnd.Int64N(int64(time.Second)))}, time.Hour)
	}
	for range 100 {
		r := g.Report("v2", 4, time.Hour)
		data, err := json.Marshal(r)
		assert.NilError(t, err)
		assert.Assert(t, len(data) < 1050, "%d bytes", len(data)) // 1,200 with the datagram's other fields
		for _, tally := range r.Counts {
			results += tally.Answers
		}
		d, _ := g.Directive()
		g.Apply(Answer{Directive: d, Seq: r.Seq}, time.Hour)
	}
	assert.Equal(t, results, 40000)
}

// TestRareRoutesAreOfferedMoreOften guards against a version that is bad on a rare route and
// shows it only when it has all traffic.
func TestRareRoutesAreOfferedMoreOften(t *testing.T) {
	assert.Equal(t, RoutePercent(30, nil, "a"), 30)
	assert.Equal(t, RoutePercent(30, map[string]int{"a": 10}, "a"), 30)
	seen := map[string]int{"a": 90, "b": 8, "c": 2}
	assert.Equal(t, RoutePercent(30, seen, "a"), 30)
	assert.Equal(t, RoutePercent(20, seen, "c"), 80)
	assert.Equal(t, RoutePercent(30, seen, "c"), 100)
	assert.Equal(t, RoutePercent(0, seen, "c"), 0)
}
