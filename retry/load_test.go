package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/quota"
)

// shedLoad plays a service whose targets all shed a share of what arrives for 8.5 s.
type shedLoad struct {
	hosts int
	shed  float64
	// reserve is the fleet's reserve: retries available at once and a second.
	burst, rate float64
	classes     []loadClass
	// byValue selects the present rule. The earlier one used the budget in order of
	// arrival and let no request wait.
	byValue bool
	// ownerLost is when the owner of the reserve is lost: for ownerGap none is
	// granted, and then the next owner starts with half a burst.
	ownerLost time.Duration
}

type loadClass struct {
	name      string
	perSecond float64
	repeat    Repeat
	maxShed   int
	wait      time.Duration
	// hosts is the number of hosts that send the class, all if 0.
	hosts int
}

const (
	tick      = time.Millisecond
	shedFrom  = 4 * time.Second
	shedUntil = shedFrom + 8500*time.Millisecond
	loadEnd   = 20 * time.Second
	tripTicks = 5
	ownerGap  = 500 * time.Millisecond
	budget    = 10 * time.Second // the budget's window
	ratio     = 0.2
	slack     = 56
	granted   = 0.8 // the granted share of the budget
)

type loadResult struct {
	sent, refused map[string]int
	// most is the largest excess of repeats over the budget in any window.
	most float64
	// waited is the number of requests that waited, in vain if they were refused.
	waited, inVain int
}

type loadHost struct {
	budget *Budget
	queue  *Queue
}

func (l shedLoad) play(seed uint64) loadResult {
	rng := rand.New(rand.NewPCG(seed, 1))
	res := loadResult{sent: map[string]int{}, refused: map[string]int{}}
	events := make([][]func(now time.Time), loadEnd/tick+2000)
	arrivals := make([]int, len(events))
	repeats := make([]int, len(events))
	hosts := make([]loadHost, l.hosts)
	for i := range hosts {
		b := NewBudget(granted*ratio, 1)
		hosts[i] = loadHost{b, NewQueue(b)}
	}
	reserve := quota.NewBucket(start, quota.InitialFill(l.burst))
	takeReserve := func(at int, now time.Time, v Value) bool {
		if lost := int(l.ownerLost / tick); lost > 0 && at >= lost {
			if at < lost+int(ownerGap/tick) {
				return false
			}
			reserve, l.ownerLost = quota.NewBucket(now, quota.InitialFill(l.burst)), 0
		}
		keep := 0.0
		if l.byValue {
			keep = v.ReserveShare()
		}
		ok, _ := reserve.TakeAbove(now, l.rate, l.burst, keep)
		return ok
	}
	var try func(at int, h loadHost, c loadClass, began, sheds int)
	afterShed := func(at int, now time.Time, h loadHost, c loadClass, began, sheds int) {
		v := c.repeat.Value()
		if sheds >= c.maxShed {
			res.refused[c.name]++
			return
		}
		ok := false
		if l.byValue {
			ok = h.queue.Take(now, v)
		} else {
			ok = h.budget.Withdraw()
		}
		if ok = ok || takeReserve(at, now, v); ok {
			repeats[at]++
			try(at, h, c, began, sheds)
			return
		}
		within := c.wait - time.Duration(at-began)*tick
		if w := (*Waiter)(nil); l.byValue {
			if w = h.queue.Wait(now, v, within); w != nil {
				res.waited++
				end := at + int(within/tick)
				var poll func(time.Time)
				next := at
				poll = func(time.Time) {
					select {
					case <-w.Grant:
						repeats[next]++
						try(next, h, c, began, sheds)
						return
					default:
					}
					if next >= end {
						h.queue.Leave(w)
						res.inVain++
						res.refused[c.name]++
						return
					}
					next++
					events[next] = append(events[next], poll)
				}
				poll(now)
				return
			}
		}
		res.refused[c.name]++
	}
	try = func(at int, h loadHost, c loadClass, began, sheds int) {
		shed := at >= int(shedFrom/tick) && at < int(shedUntil/tick) && rng.Float64() < l.shed
		events[at+tripTicks] = append(events[at+tripTicks], func(now time.Time) {
			h.queue.Observe(now, shed)
			if shed {
				afterShed(at+tripTicks, now, h, c, began, sheds+1)
			}
		})
	}
	for at := range int(loadEnd / tick) {
		now := start.Add(time.Duration(at) * tick)
		for _, c := range l.classes {
			for n := c.perSecond * tick.Seconds(); n > 0; n-- {
				if rng.Float64() >= n {
					continue
				}
				senders := l.hosts
				if c.hosts > 0 {
					senders = c.hosts
				}
				h := hosts[rng.IntN(senders)]
				res.sent[c.name]++
				arrivals[at]++
				h.queue.Deposit(now)
				try(at, h, c, at, 0)
			}
		}
		for i := 0; i < len(events[at]); i++ {
			events[at][i](now)
		}
	}
	res.most = mostExcess(arrivals, repeats)
	return res
}

// mostExcess returns the largest number of repeats beyond the budget's ratio in any
// window.
func mostExcess(arrivals, repeats []int) float64 {
	window, most, sum := int(budget/tick), 0.0, 0.0
	for at := range arrivals {
		sum += float64(repeats[at]) - ratio*float64(arrivals[at])
		if at >= window {
			sum -= float64(repeats[at-window]) - ratio*float64(arrivals[at-window])
		}
		most = max(most, sum)
	}
	return most
}

// dayOfOrders is the load of a day on which 905 of 5,639 orders were refused, but 13 of
// 2,304 reads.
func dayOfOrders(byValue bool) shedLoad {
	orders, reads := 4, 4
	if byValue {
		orders = 8
	}
	half := granted * slack / 2
	return shedLoad{hosts: 80, shed: 0.55, burst: half, rate: half / budget.Seconds(), byValue: byValue, classes: []loadClass{
		{name: "order", perSecond: 185, repeat: Repeat{Rank: Rank{Priority: 0, Once: true}}, maxShed: orders, wait: time.Second},
		{name: "nested read", perSecond: 75, repeat: Repeat{Rank: Rank{Priority: 2}, Nested: true}, maxShed: reads, wait: 200 * time.Millisecond, hosts: 20},
	}}
}

func (l shedLoad) mean(t *testing.T) (refused map[string]float64, waited, inVain int) {
	refused = map[string]float64{}
	const seeds = 5
	for seed := range uint64(seeds) {
		r := l.play(seed)
		assert.Check(t, r.most <= slack, "%v repeats beyond the ratio", r.most)
		for name, n := range r.sent {
			refused[name] += float64(r.refused[name]) / float64(n) / seeds
		}
		waited += r.waited
		inVain += r.inVain
	}
	t.Logf("by value %v, shed %v: refused %v, %d waited, %d of them in vain", l.byValue, l.shed, refused, waited, inVain)
	return refused, waited, inVain
}

// Orders get most of the retries of a service that sheds. They used to get as many as
// calls of reads: retries were given in order of arrival.
func TestShedServiceRetriesOrdersFirst(t *testing.T) {
	for _, c := range []struct{ shed, gain float64 }{{0.1, 0.003}, {0.2, 0.005}, {0.3, 0.005}, {0.55, 0.008}, {0.9, 0}} {
		before, after := dayOfOrders(false), dayOfOrders(true)
		before.shed, after.shed = c.shed, c.shed
		was, _, _ := before.mean(t)
		is, waited, inVain := after.mean(t)
		assert.Check(t, is["order"] <= was["order"]-c.gain, "orders refused: %.3f, before %.3f", is["order"], was["order"])
		assert.Check(t, is["nested read"] <= was["nested read"]+0.05, "reads refused: %.3f, before %.3f", is["nested read"], was["nested read"])
		assert.Check(t, float64(inVain) <= 0.3*float64(waited), "%d of %d waited in vain", inVain, waited)
	}
}

// Repeats of equal value are served as they were in order of arrival.
func TestEqualRanksAreServedAsBefore(t *testing.T) {
	before, after := dayOfOrders(false), dayOfOrders(true)
	for _, l := range []*shedLoad{&before, &after} {
		for i := range l.classes {
			c := &l.classes[i]
			c.repeat, c.maxShed, c.wait = Repeat{Rank: Rank{Once: true}, Nested: true}, 4, 0
		}
	}
	assert.Equal(t, after.classes[0].repeat.Value(), HighestValue)
	was, _, _ := before.mean(t)
	is, waited, _ := after.mean(t)
	assert.Equal(t, waited, 0)
	assert.DeepEqual(t, is, was)
}

// The reserve's owner is lost in the middle: the budget holds, and orders keep their
// precedence.
func TestOwnerOfTheReserveLost(t *testing.T) {
	before, after := dayOfOrders(false), dayOfOrders(true)
	before.ownerLost, after.ownerLost = shedFrom+4*time.Second, shedFrom+4*time.Second
	was, _, _ := before.mean(t)
	is, _, _ := after.mean(t)
	assert.Check(t, is["order"] <= was["order"]-0.008, "orders refused: %.3f, before %.3f", is["order"], was["order"])
}
