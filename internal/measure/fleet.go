package measure

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gooseberryshed/gooseberryshed/member"
)

// Fleet simulates many daemons that gossip over a network with a simulated clock.
// Each daemon starts one exchange a second. An exchange needs both directions of a
// link, so a cut of one direction makes it fail.
type Fleet struct {
	Now   time.Time
	rng   *rand.Rand
	Nodes []*member.Gossip
	index map[string]int
	// Down holds the hosts that are down, Cut the links that are cut, by sending
	// and receiving host.
	Down map[string]bool
	Cut  map[[2]string]bool
	// BytesSent counts the bytes that each daemon has sent.
	BytesSent []int
	// UpdatesPerSecond is how many targets change their published latency each
	// second; 0 disables restarts as well.
	UpdatesPerSecond int
}

// HostName returns the host name of daemon i.
func HostName(i int) string { return fmt.Sprintf("host-%04d", i) }

// NewRecord returns the record of daemon i, started at now.
func NewRecord(i, targets int, now time.Time) member.Daemon {
	d := member.Daemon{
		Host: HostName(i), DataCentre: fmt.Sprintf("dc-%d", i%9),
		Incarnation: uint64(now.UnixNano()), State: member.StateServing,
		ForwardAddr: "10.0.0.1:4001", RPCAddr: "10.0.0.1:4002", CallerAddr: "10.0.0.1:4000",
	}
	for t := range targets {
		d.Targets = append(d.Targets, member.Target{
			ID: fmt.Sprintf("%s/w%d", d.Host, t), Service: fmt.Sprintf("service-%d", (i*targets+t)%200),
			Incarnation: d.Incarnation, State: member.TargetReady, Slots: 7, Limit: 7, ErrorPermille: 20, LatencyMicros: 25000,
		})
	}
	return d
}

// NewFleet returns n daemons that all hold each other's records.
func NewFleet(n, targets int, opt member.Options) *Fleet {
	f := &Fleet{
		Now: time.Unix(1_700_000_000, 0), rng: rand.New(rand.NewPCG(1, 2)),
		index: map[string]int{}, Down: map[string]bool{}, Cut: map[[2]string]bool{}, BytesSent: make([]int, n),
	}
	var all []member.Daemon
	for i := range n {
		all = append(all, NewRecord(i, targets, f.Now))
	}
	for i := range n {
		f.index[all[i].Host] = i
		f.Nodes = append(f.Nodes, member.New(f.Now, all[i], opt))
		f.Nodes[i].MergeRecords(f.Now, all)
	}
	return f
}

func (f *Fleet) countSent(from int, msg any) {
	raw, err := json.Marshal(msg)
	if err != nil {
		panic(err)
	}
	f.BytesSent[from] += len(raw)
}

func (f *Fleet) connected(a, b int) bool {
	x, y := HostName(a), HostName(b)
	return !f.Down[x] && !f.Down[y] && !f.Cut[[2]string{x, y}] && !f.Cut[[2]string{y, x}]
}

func (f *Fleet) exchange(a, b int) bool {
	if !f.connected(a, b) {
		f.Nodes[a].ExchangeFailed(f.Now, HostName(b))
		return false
	}
	begin := f.Nodes[a].BeginExchange(HostName(b))
	f.countSent(a, begin)
	answer := f.Nodes[b].HandleExchange(f.Now, begin)
	f.countSent(b, answer)
	finish, needed := f.Nodes[a].FinishExchange(f.Now, begin, answer)
	if !needed {
		return false
	}
	f.countSent(a, finish)
	final := f.Nodes[b].HandleFinish(f.Now, finish)
	f.countSent(b, final)
	return f.Nodes[a].CompleteExchange(f.Now, answer, final)
}

// Step simulates one second, in which each node starts one exchange at a time of
// its own.
func (f *Fleet) Step() {
	f.churn()
	for _, i := range f.rng.Perm(len(f.Nodes)) {
		f.Now = f.Now.Add(time.Second / time.Duration(len(f.Nodes)))
		if f.Down[HostName(i)] {
			continue
		}
		f.Nodes[i].Tick(f.Now)
		peer, ok := f.Nodes[i].Pick(f.Now, f.rng)
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

// Run simulates the given number of seconds.
func (f *Fleet) Run(seconds int) {
	for range seconds {
		f.Step()
	}
}

// CountNodes counts the live nodes whose record of host satisfies ok. The second
// argument of ok tells whether the node has a record.
func (f *Fleet) CountNodes(host string, ok func(member.Daemon, bool) bool) int {
	n := 0
	for i, g := range f.Nodes {
		d, found := g.Find(host)
		if !f.Down[HostName(i)] && ok(d, found) {
			n++
		}
	}
	return n
}

func total(list []int) int {
	sum := 0
	for _, v := range list {
		sum += v
	}
	return sum
}

// TimeToDetect stops a daemon and returns the seconds until all others consider it
// unreachable, at most 120.
func (f *Fleet) TimeToDetect(i int) float64 {
	f.Down[HostName(i)] = true
	start := f.Now
	for f.Now.Sub(start) < 2*time.Minute {
		f.Step()
		missing := 0
		for j, g := range f.Nodes {
			if j != i && !slices.Contains(g.Unreachable(), HostName(i)) {
				missing++
			}
		}
		if missing == 0 {
			break
		}
	}
	return f.Now.Sub(start).Seconds()
}

// churn changes target records and restarts daemons at random.
func (f *Fleet) churn() {
	for range f.UpdatesPerSecond {
		i := f.rng.IntN(len(f.Nodes))
		f.Nodes[i].Update(f.Now, func(d *member.Daemon) { d.Targets[f.rng.IntN(len(d.Targets))].LatencyMicros += 7000 })
	}
	if f.UpdatesPerSecond > 0 && f.rng.Float64() < restartsPerSecond {
		i := f.rng.IntN(len(f.Nodes))
		f.Nodes[i] = member.New(f.Now, NewRecord(i, 8, f.Now), member.Options{})
		f.Nodes[i].MergeRecords(f.Now, []member.Daemon{f.Nodes[(i+1)%len(f.Nodes)].Self()})
	}
}

// restartsPerSecond is the restart rate of a fleet of 1,200 daemons: 3,700 a day.
const restartsPerSecond = 3700.0 / 86400

// PropagationTimes changes the record of a random node and returns, by node, the
// seconds until the node had the change; 0 if it did not get it within a minute.
func (f *Fleet) PropagationTimes() []float64 {
	i := f.rng.IntN(len(f.Nodes))
	f.Nodes[i].Update(f.Now, func(d *member.Daemon) { d.State = member.StateLeaving })
	version := f.Nodes[i].Self().Version
	start := f.Now
	done := make([]float64, len(f.Nodes))
	for left := len(f.Nodes); left > 0; {
		f.Step()
		for j, g := range f.Nodes {
			d, _ := g.Find(HostName(i))
			if done[j] == 0 && (d.Version >= version || d.Incarnation != f.Nodes[i].Self().Incarnation) {
				done[j] = f.Now.Sub(start).Seconds()
				left--
			}
		}
		if f.Now.Sub(start) > time.Minute {
			break
		}
	}
	return done
}
