package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/fairqueue"
)

// fleetLoad plays the queues of a service's targets and requests of several workspaces,
// which arrive at all hosts, each with one target.
type fleetLoad struct {
	hosts, slots int
	// perSecond is the rate of each workspace's requests.
	perSecond []float64
	// onHost, if not nil, is the only host that a workspace sends to.
	onHost map[int]int
	// movesAt, if not 0, is when the first workspace moves from the first half of the
	// hosts to the other one.
	movesAt time.Duration
	// from and until limit the time that is counted, if not 0.
	from, until time.Duration
	// byWorkspace selects the present order, and reports whether use is told to gates.
	byWorkspace, reports bool
}

const (
	playTick  = time.Millisecond
	playTime  = 30 * time.Second
	playWarm  = 5 * time.Second // not counted
	meanHold  = 100 * time.Millisecond
	objective = 500 * time.Millisecond
	patience  = 2 * time.Second
	freeTries = 4
	waitTries = 2
)

// served is what became of a workspace's requests, as shares of those sent.
type served struct {
	sent             int
	answered, inTime float64
	// byHost is the share answered of the requests of each host.
	byHost []float64
}

func (l fleetLoad) play(seed uint64) []served {
	rng := rand.New(rand.NewPCG(seed, 7))
	queues := make([]*Queue, l.hosts)
	used := make([]*fairqueue.Usage, l.hosts)
	for i := range queues {
		queues[i], used[i] = NewQueue(l.slots), fairqueue.NewUsage()
	}
	events := make([][]func(), playTime/playTick+10_000)
	res := make([]served, len(l.perSecond))
	sentBy := make([][]int, len(l.perSecond))
	for i := range res {
		sentBy[i], res[i].byHost = make([]int, l.hosts), make([]float64, l.hosts)
	}
	now := t0
	tick := 0
	counted := func(at time.Time) bool {
		return at.Sub(t0) > max(l.from, playWarm) && (l.until == 0 || at.Sub(t0) < l.until)
	}
	var grant func(host int)
	type request struct{ workspace, ingress int }
	start := func(host int, r request, began time.Time) {
		hold := time.Duration(rng.ExpFloat64() * float64(meanHold))
		at := tick + max(int(hold/playTick), 1)
		if at >= len(events) {
			return
		}
		events[at] = append(events[at], func() {
			name := fmt.Sprint(r.workspace)
			queues[host].Complete(hold, false)
			queues[host].Used(now, name, hold)
			used[r.ingress].Add(name, now, hold)
			if counted(began) {
				res[r.workspace].answered++
				res[r.workspace].byHost[r.ingress]++
				if now.Sub(began) <= objective {
					res[r.workspace].inTime++
				}
			}
			grant(host)
		})
	}
	began := map[*Item]time.Time{}
	grant = func(host int) {
		run, _ := queues[host].Next(now)
		for _, it := range run {
			start(host, it.Value.(request), began[it])
			delete(began, it)
		}
	}
	offer := func(host int, r request, wait time.Duration) bool {
		it := &Item{Priority: 1, Expected: meanHold, Deadline: now.Add(patience), Objective: now.Add(objective), MaxWait: wait, Value: r}
		name := fmt.Sprint(r.workspace)
		if l.byWorkspace {
			it.Workspace = name
		}
		if l.reports {
			queues[host].Tell(now, name, fmt.Sprint("host-", r.ingress), time.Duration(used[r.ingress].Recent(name, now)*float64(time.Second)))
		}
		v, _ := queues[host].Offer(now, it)
		switch v {
		case Admitted:
			start(host, r, now)
			return true
		case Queued:
			began[it] = now
			return true
		}
		return false
	}
	for ; tick < int(playTime/playTick); tick++ {
		now = t0.Add(time.Duration(tick) * playTick)
		for _, f := range events[tick] {
			f()
		}
		for w, rate := range l.perSecond {
			for n := rate * playTick.Seconds(); n > 0; n-- {
				if rng.Float64() >= n {
					continue
				}
				r := request{w, rng.IntN(l.hosts)}
				if h, only := l.onHost[w]; only {
					r.ingress = h
				}
				if counted(now) {
					res[w].sent++
					sentBy[w][r.ingress]++
				}
				hosts := l.gatesOf(w, now.Sub(t0), rng)
				_ = slices.ContainsFunc(hosts[:freeTries], func(h int) bool { return offer(h, r, 0) }) ||
					slices.ContainsFunc(hosts[:freeTries], func(h int) bool { return offer(h, r, objective/12) }) ||
					slices.ContainsFunc(hosts[:waitTries], func(h int) bool { return offer(h, r, patience) })
			}
		}
	}
	for w := range res {
		res[w].answered /= float64(res[w].sent)
		res[w].inTime /= float64(res[w].sent)
		for h := range res[w].byHost {
			res[w].byHost[h] /= float64(max(sentBy[w][h], 1))
		}
	}
	return res
}

// gatesOf returns the gates to which a workspace offers a request, in random order.
func (l fleetLoad) gatesOf(w int, at time.Duration, rng *rand.Rand) []int {
	gates := rng.Perm(l.hosts)
	if w != 0 || l.movesAt == 0 {
		return gates
	}
	return slices.DeleteFunc(gates, func(h int) bool { return (h < l.hosts/2) != (at < l.movesAt) })
}

// busyHour is a busy hour: the first workspace sends 4.5 times what the others do, which
// alone would use 0.9 of the slots.
var busyHour = []float64{243, 54, 54, 54, 54, 54, 54, 54}

func (l fleetLoad) log(t *testing.T, name string, res []served) {
	s := ""
	for _, r := range res {
		s += fmt.Sprintf(" %.2f/%.2f", r.answered, r.inTime)
	}
	t.Logf("%s: answered/in time, by workspace:%s", name, s)
}

// A workspace that sends 4.5 times its usual used to take most of the slots: of each
// workspace's requests 0.75 were answered. Now the others are served, and it gets the
// rest.
func TestBusyWorkspaceDoesNotCrowdOutOthers(t *testing.T) {
	before := fleetLoad{hosts: 8, slots: 6, perSecond: busyHour}
	after := before
	after.byWorkspace, after.reports = true, true
	was, is := before.play(1), after.play(1)
	before.log(t, "before", was)
	after.log(t, "after", is)
	for w := range is {
		if w > 0 {
			assert.Check(t, was[w].answered < 0.85 && is[w].answered > 0.97 && is[w].inTime > 0.95, "workspace %d: %v, before %v", w, is[w], was[w])
		}
	}
	assert.Check(t, total(after, is) > total(before, was)-0.01, "answered %.3f, before %.3f", total(after, is), total(before, was))
}

func total(l fleetLoad, res []served) (share float64) {
	sent := 0.0
	for w, r := range res {
		share += r.answered * l.perSecond[w]
		sent += l.perSecond[w]
	}
	return share / sent
}

// Workspaces that send alike are served as before, by objective.
func TestEqualWorkspacesAreServedAsBefore(t *testing.T) {
	before := fleetLoad{hosts: 8, slots: 6, perSecond: []float64{72, 72, 72, 72, 72, 72, 72, 72}}
	after := before
	after.byWorkspace, after.reports = true, true
	was, is := before.play(1), after.play(1)
	before.log(t, "before", was)
	after.log(t, "after", is)
	for w := range is {
		assert.Check(t, abs(is[w].answered-was[w].answered) < 0.04 && abs(is[w].inTime-was[w].inTime) < 0.05, "workspace %d: %v, before %v", w, is[w], was[w])
	}
	assert.Check(t, abs(total(after, is)-total(before, was)) < 0.015)
}

func abs(x float64) float64 { return max(x, -x) }

// Each target serves few requests of each of many workspaces. Reports tell it which of
// them is busy. Without them, a gate compares what it has seen itself: the busy workspace
// still has no precedence, and the others get less than with them.
func TestReportsOfUse(t *testing.T) {
	rates := slices.Repeat([]float64{13.5}, 80)
	rates[0], rates[1] = 600, 600
	l := fleetLoad{hosts: 24, slots: 6, perSecond: rates}
	least := func(res []served) (low, mean float64) {
		low = 1
		for _, r := range res[2:] {
			low, mean = min(low, r.answered), mean+r.answered/float64(len(res)-2)
		}
		return low, mean
	}
	beforeLow, before := least(l.play(2))
	l.byWorkspace = true
	lostLow, lost := least(l.play(2))
	l.reports = true
	withLow, with := least(l.play(2))
	t.Logf("answered of small workspaces, least and mean: before %.3f %.3f, reports lost %.3f %.3f, with reports %.3f %.3f",
		beforeLow, before, lostLow, lost, withLow, with)
	assert.Check(t, lost > before+0.05)
	assert.Check(t, with >= lost-0.005)
	assert.Check(t, withLow > 0.95)
}

// What a caller gets does not depend on its host, also if a workspace sends to one only.
func TestSharesHoldOverTheFleet(t *testing.T) {
	l := fleetLoad{hosts: 8, slots: 6, perSecond: busyHour, byWorkspace: true, reports: true, onHost: map[int]int{1: 0, 2: 5}}
	res := l.play(3)
	l.log(t, "two workspaces at one host each", res)
	for w, r := range res {
		if w == 0 {
			assert.Check(t, slices.Max(r.byHost)-slices.Min(r.byHost) < 0.1, "%v", r.byHost)
			continue
		}
		assert.Check(t, r.answered > 0.95, "workspace %d: %v", w, r)
		if _, one := l.onHost[w]; !one {
			assert.Check(t, slices.Min(r.byHost) > 0.92, "workspace %d: %v", w, r.byHost)
		}
	}
}

// A busy workspace moves to other gates, as when its data centre is taken out. Reports
// tell them at once what it has used.
func TestReportsTellOfAWorkspaceThatMoves(t *testing.T) {
	const moves = 15 * time.Second
	l := fleetLoad{hosts: 16, slots: 6, perSecond: []float64{450, 90, 90, 90, 90, 90, 90}, movesAt: moves, from: moves, until: moves + 3*time.Second}
	small := func(l fleetLoad) (mean float64) {
		for seed := range uint64(4) {
			for _, r := range l.play(seed)[1:] {
				mean += r.inTime / 4 / float64(len(l.perSecond)-1)
			}
		}
		return mean
	}
	before := small(l)
	l.byWorkspace = true
	lost := small(l)
	l.reports = true
	with := small(l)
	t.Logf("in time of the others in the 3 s after the move: before %.3f, reports lost %.3f, with reports %.3f", before, lost, with)
	assert.Check(t, with >= lost && with > before)
}
