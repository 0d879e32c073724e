package member

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fleet runs many state machines against a simulated clock, one exchange a
// second each. Links can be cut one way.
type fleet struct {
	now   time.Time
	rng   *rand.Rand
	nodes []*Gossip
	index map[string]int
	down  map[string]bool
	cut   map[[2]string]bool
	bytes []int
	// changes is how many targets change their figures each second; 0 stops
	// restarts as well.
	changes int
}

func hostName(i int) string { return fmt.Sprintf("host-%04d", i) }

func newRecord(i, targets int, now time.Time) Daemon {
	d := Daemon{
		Host: hostName(i), DataCentre: fmt.Sprintf("dc-%d", i%9),
		Incarnation: uint64(now.UnixNano()), State: StateServing,
		ForwardAddr: "10.0.0.1:4001", RPCAddr: "10.0.0.1:4002", CallerAddr: "10.0.0.1:4000",
	}
	for t := range targets {
		d.Targets = append(d.Targets, Target{
			ID: fmt.Sprintf("%s/w%d", d.Host, t), Service: fmt.Sprintf("service-%d", (i*targets+t)%200),
			Incarnation: d.Incarnation, State: TargetReady, Slots: 7, Limit: 7, ErrorPermille: 20, LatencyMicros: 25000,
		})
	}
	return d
}

func newFleet(n, targets int, opt Options) *fleet {
	f := &fleet{
		now: time.Unix(1_700_000_000, 0), rng: rand.New(rand.NewPCG(1, 2)),
		index: map[string]int{}, down: map[string]bool{}, cut: map[[2]string]bool{}, bytes: make([]int, n),
	}
	var all []Daemon
	for i := range n {
		all = append(all, newRecord(i, targets, f.now))
	}
	for i := range n {
		f.index[all[i].Host] = i
		f.nodes = append(f.nodes, New(f.now, all[i], opt))
		f.nodes[i].MergeRecords(f.now, all)
	}
	return f
}

func (f *fleet) send(from int, msg any) {
	raw, err := json.Marshal(msg)
	if err != nil {
		panic(err)
	}
	f.bytes[from] += len(raw)
}

func (f *fleet) passes(a, b int) bool {
	x, y := hostName(a), hostName(b)
	return !f.down[x] && !f.down[y] && !f.cut[[2]string{x, y}] && !f.cut[[2]string{y, x}]
}

func (f *fleet) exchange(a, b int) bool {
	if !f.passes(a, b) {
		f.nodes[a].Failed(f.now, hostName(b))
		return false
	}
	begin := f.nodes[a].Begin(hostName(b))
	f.send(a, begin)
	answer := f.nodes[b].Answer(f.now, begin)
	f.send(b, answer)
	finish, needed := f.nodes[a].Finish(f.now, begin, answer)
	if !needed {
		return false
	}
	f.send(a, finish)
	final := f.nodes[b].Final(f.now, finish)
	f.send(b, final)
	return f.nodes[a].Merge(f.now, answer, final)
}

// second lets each node make one exchange at a moment of its own.
func (f *fleet) second() {
	f.churn()
	for _, i := range f.rng.Perm(len(f.nodes)) {
		f.now = f.now.Add(time.Second / time.Duration(len(f.nodes)))
		if f.down[hostName(i)] {
			continue
		}
		f.nodes[i].Tick(f.now)
		peer, ok := f.nodes[i].Pick(f.now, f.rng)
		if !ok {
			continue
		}
		for range 40 {
			if !f.exchange(i, f.index[peer.Host]) {
				break
			}
		}
	}
}

func (f *fleet) run(seconds int) {
	for range seconds {
		f.second()
	}
}

// seeing counts the nodes that hold the record of host in a way that ok likes.
func (f *fleet) seeing(host string, ok func(Daemon, bool) bool) int {
	n := 0
	for i, g := range f.nodes {
		d, found := g.Find(host)
		if !f.down[hostName(i)] && ok(d, found) {
			n++
		}
	}
	return n
}

func TestChangeReachesAll(t *testing.T) {
	for _, n := range []int{2, 6, 18, 120} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			f := newFleet(n, 2, Options{})
			f.run(5)
			f.nodes[0].Update(f.now, func(d *Daemon) { d.Targets[1].State = TargetLeaving })
			f.run(20)
			got := f.seeing(hostName(0), func(d Daemon, _ bool) bool { return d.Targets[1].State == TargetLeaving })
			assert.Equal(t, got, n)
		})
	}
}

func TestDeadMemberIsKeptAsUnreachable(t *testing.T) {
	f := newFleet(18, 2, Options{})
	f.run(5)
	f.down[hostName(3)] = true
	f.run(40)
	for i, g := range f.nodes {
		if i == 3 {
			continue
		}
		assert.DeepEqual(t, g.Unreachable(), []string{hostName(3)})
		_, found := g.Find(hostName(3))
		assert.Assert(t, found, "an unreachable member must stay in the list")
	}
}

func TestRestartedMemberLearnsAllAgain(t *testing.T) {
	f := newFleet(18, 2, Options{})
	f.run(10)
	fresh := newRecord(5, 2, f.now)
	f.nodes[5] = New(f.now, fresh, Options{})
	f.nodes[5].MergeRecords(f.now, []Daemon{f.nodes[0].Self()})
	f.run(30)
	before, ok := f.nodes[5].Predecessor()
	assert.Assert(t, ok)
	assert.Equal(t, len(before.Targets), 2)
	for _, g := range f.nodes {
		assert.Equal(t, len(g.List()), 18)
		assert.Equal(t, len(g.Unreachable()), 0)
		d, _ := g.Find(hostName(5))
		assert.Equal(t, d.Incarnation, fresh.Incarnation)
	}
}

// TestNewcomerTakesOverSuspicions starts a daemon when another one has long
// been dead.
func TestNewcomerTakesOverSuspicions(t *testing.T) {
	f := newFleet(18, 2, Options{})
	f.down[hostName(3)] = true
	f.run(40)
	f.nodes[5] = New(f.now, newRecord(5, 2, f.now), Options{})
	f.nodes[5].MergeRecords(f.now, []Daemon{f.nodes[0].Self()})
	f.run(5)
	assert.DeepEqual(t, f.nodes[5].Unreachable(), []string{hostName(3)})
}

func TestCutLinkMakesNobodyUnreachable(t *testing.T) {
	f := newFleet(18, 2, Options{})
	f.run(5)
	f.cut[[2]string{hostName(1), hostName(2)}] = true
	for range 300 {
		f.second()
		for _, g := range f.nodes {
			assert.Equal(t, len(g.Unreachable()), 0)
		}
	}
}

func TestPartitionHeals(t *testing.T) {
	f := newFleet(18, 2, Options{})
	f.run(5)
	for a := range 18 {
		for b := range 18 {
			f.cut[[2]string{hostName(a), hostName(b)}] = (a < 6) != (b < 6)
		}
	}
	f.run(60)
	assert.Equal(t, len(f.nodes[0].Unreachable()), 12)
	assert.Equal(t, len(f.nodes[17].Unreachable()), 6)
	f.cut = map[[2]string]bool{}
	f.run(60)
	for i, g := range f.nodes {
		assert.Equal(t, len(g.Unreachable()), 0, "host %d", i)
	}
}

// BenchmarkFleet measures bytes, convergence and CPU at the design size, at
// several rates of changes of targets' published figures.
func BenchmarkFleet(b *testing.B) {
	for _, changes := range []int{1, 5, 20} {
		b.Run(fmt.Sprintf("changes-%d", changes), func(b *testing.B) {
			for range b.N {
				benchFleet(b, changes)
			}
		})
	}
}

func benchFleet(b *testing.B, changes int) {
	const n, probes, between = 1200, 4, 15
	f := newFleet(n, 8, Options{})
	f.run(20)
	clear(f.bytes)
	begun, start := time.Now(), f.now
	var times []float64
	f.changes = changes
	for range probes {
		f.run(between)
		times = append(times, f.probe()...)
	}
	span := f.now.Sub(start).Seconds()
	b.ReportMetric(float64(time.Since(begun).Microseconds())/span/n, "µs/node/s")
	slices.Sort(f.bytes)
	b.ReportMetric(float64(f.bytes[n/2])/span, "B/s-p50")
	b.ReportMetric(float64(f.bytes[n*99/100])/span, "B/s-p99")
	b.ReportMetric(float64(total(f.bytes))/span/n, "B/s-mean")
	slices.Sort(times)
	b.ReportMetric(times[len(times)/2], "s-p50")
	b.ReportMetric(times[len(times)*99/100], "s-p99")
	b.ReportMetric(times[len(times)-1], "s-max")
	b.ReportMetric(f.detect(7), "s-unreachable")
	for _, g := range f.nodes {
		assert.Assert(b, len(g.Unreachable()) <= 1)
	}
}

func total(list []int) int {
	sum := 0
	for _, v := range list {
		sum += v
	}
	return sum
}

// detect kills a daemon and returns the seconds until all hold it unreachable.
func (f *fleet) detect(i int) float64 {
	f.down[hostName(i)] = true
	start := f.now
	for f.now.Sub(start) < 2*time.Minute {
		f.second()
		missing := 0
		for j, g := range f.nodes {
			if j != i && !slices.Contains(g.Unreachable(), hostName(i)) {
				missing++
			}
		}
		if missing == 0 {
			break
		}
	}
	return f.now.Sub(start).Seconds()
}

// BenchmarkMemory measures a table of 1,200 daemons with 8 targets each.
func BenchmarkMemory(b *testing.B) {
	const n = 1200
	var records []Daemon
	for i := range n {
		records = append(records, newRecord(i, 8, time.Unix(1, 0)))
	}
	raw, err := json.Marshal(records)
	assert.NilError(b, err)
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		var decoded []Daemon
		assert.NilError(b, json.Unmarshal(raw, &decoded))
		g := New(time.Unix(1, 0), newRecord(n, 8, time.Unix(1, 0)), Options{})
		g.MergeRecords(time.Unix(1, 0), decoded)
		decoded = nil
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "B/record")
		runtime.KeepAlive(g)
	}
	b.ReportMetric(float64(len(raw))/n, "B/record-json")
}

func (f *fleet) churn() {
	for range f.changes {
		i := f.rng.IntN(len(f.nodes))
		f.nodes[i].Update(f.now, func(d *Daemon) { d.Targets[f.rng.IntN(len(d.Targets))].LatencyMicros += 7000 })
	}
	if f.changes > 0 && f.rng.Float64() < restartsPerSecond {
		i := f.rng.IntN(len(f.nodes))
		f.nodes[i] = New(f.now, newRecord(i, 8, f.now), Options{})
		f.nodes[i].MergeRecords(f.now, []Daemon{f.nodes[(i+1)%len(f.nodes)].Self()})
	}
}

// restartsPerSecond is that of 1,200 daemons.
const restartsPerSecond = 3700.0 / 86400

// probe makes a change and returns the seconds until each node has it.
func (f *fleet) probe() []float64 {
	i := f.rng.IntN(len(f.nodes))
	f.nodes[i].Update(f.now, func(d *Daemon) { d.State = StateLeaving })
	version := f.nodes[i].Self().Version
	start := f.now
	done := make([]float64, len(f.nodes))
	for left := len(f.nodes); left > 0; {
		f.second()
		for j, g := range f.nodes {
			d, _ := g.Find(hostName(i))
			if done[j] == 0 && (d.Version >= version || d.Incarnation != f.nodes[i].Self().Incarnation) {
				done[j] = f.now.Sub(start).Seconds()
				left--
			}
		}
		if f.now.Sub(start) > time.Minute {
			break
		}
	}
	return done
}

func TestPackedFormsReadBack(t *testing.T) {
	want := Finish{
		Host:    "a",
		Changes: Changes{{Daemon: newRecord(1, 3, time.Unix(5, 0))}, {Base: 4, Suspected: time.Second, Daemon: Daemon{Host: "b"}}},
		Wants:   Wants{{Key: KeyOf("c"), Incarnation: 1 << 62, Version: 300}, {Key: KeyOf("d")}},
	}
	raw, err := json.Marshal(want)
	assert.NilError(t, err)
	var got Finish
	assert.NilError(t, json.Unmarshal(raw, &got))
	assert.DeepEqual(t, got, want)
	assert.ErrorContains(t, json.Unmarshal([]byte(`{"r":"AAAA"}`), &got), "run the same version")
}
