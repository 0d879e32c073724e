package admission_test

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/admission"
	"github.com/gooseberryshed/gooseberryshed/slowstart"
)

// Return of a whole fleet: the gate's process and its target have just started. The target
// is cold for three seconds and bears 20 requests a second, and the callers come back
// together: 80 requests in the first 200 ms, many of which have waited before, then 35 a
// second.

const (
	returnSlots     = 6
	returnColdRate  = 20
	returnColdTime  = 3 * time.Second
	returnObjective = time.Second
	returnDeadline  = 4 * time.Second
	returnUsual     = 250 * time.Millisecond
)

// returning is a request of a returning fleet.
type returning struct {
	at, waited time.Duration // arrival at the gate, and wait of the caller before it
	priority   int
	took       time.Duration
	item       *admission.Item
	endsAt     time.Duration
	ended      time.Duration // 0 if not served
	refused    time.Duration // when it was refused, 0 if it was not
}

func returningFleet(rnd *rand.Rand, priorities int) []*returning {
	var all []*returning
	add := func(at time.Duration, waited time.Duration) {
		took := time.Duration(float64(returnUsual) * math.Exp(0.5*rnd.NormFloat64()))
		all = append(all, &returning{at: at, waited: waited, priority: rnd.IntN(priorities), took: took})
	}
	for range 80 {
		add(time.Duration(rnd.Float64()*float64(200*time.Millisecond)), time.Duration(rnd.Float64()*float64(1500*time.Millisecond)))
	}
	for at := 200 * time.Millisecond; at < 6*time.Second; at += time.Duration(rnd.ExpFloat64() / 35 * float64(time.Second)) {
		add(at, 0)
	}
	slices.SortFunc(all, func(a, b *returning) int { return cmp.Compare(a.at, b.at) })
	return all
}

// returnResult is what the callers of one priority got.
type returnResult struct {
	inTime, served, refused float64 // shares of the requests
	// refusedAfter is the mean time at the gate before a refusal.
	refusedAfter time.Duration
}

// playReturn plays a return at one gate in steps of one millisecond.
func playReturn(seed uint64, priorities int, returningFor time.Duration) [3]returnResult {
	rnd := rand.New(rand.NewPCG(seed, 4))
	all := returningFleet(rnd, priorities)
	start := time.Unix(1_700_000_000, 0)
	q := admission.NewQueue(returnSlots)
	limit := &slowstart.Limiter{}
	limit.Restarted(start)
	byItem := map[*admission.Item]*returning{}
	var running []*returning
	next := 0
	for at := time.Duration(0); at < 12*time.Second; at += time.Millisecond {
		now := start.Add(at)
		q.SetReturning(at < returningFor)
		setRate := func() {
			bound := returnColdRate
			if at > returnColdTime {
				bound = 0
			}
			room, wait := limit.Room(now, bound, func(time.Time) float64 { return 0 })
			q.SetRate(admission.Rate{Room: room, Wait: wait, Interval: time.Second / returnColdRate})
		}
		run := func(r *returning) {
			limit.Sent(now)
			r.endsAt = at + r.took
			running = append(running, r)
		}
		running = slices.DeleteFunc(running, func(r *returning) bool {
			if r.endsAt > at {
				return false
			}
			r.ended = at
			q.Complete(r.took, false)
			return true
		})
		setRate()
		granted, late := q.Next(now)
		for _, it := range granted {
			run(byItem[it])
		}
		for _, it := range late {
			byItem[it].refused = at
		}
		for ; next < len(all) && all[next].at <= at; next++ {
			r := all[next]
			began := now.Add(-r.waited)
			r.item = &admission.Item{Priority: r.priority, Expected: returnUsual, Deadline: began.Add(returnDeadline), Objective: began.Add(returnObjective)}
			byItem[r.item] = r
			verdict := admission.NoSlot
			// As hostd searches: a free slot, a short wait, then any wait.
			for _, wait := range []time.Duration{0, 80 * time.Millisecond, returnDeadline - r.waited} {
				setRate()
				r.item.MaxWait = wait
				var dropped []*admission.Item
				verdict, dropped = q.Offer(now, r.item)
				for _, it := range dropped {
					byItem[it].refused = at
				}
				if verdict == admission.Admitted || verdict == admission.Queued {
					break
				}
			}
			switch verdict {
			case admission.Admitted:
				run(r)
			case admission.Queued:
			default:
				r.refused = max(at, 1)
			}
		}
	}
	var out [3]returnResult
	var n [3]float64
	for _, r := range all {
		o := &out[r.priority]
		n[r.priority]++
		switch {
		case r.ended > 0 && r.ended-r.at+r.waited <= returnObjective:
			o.inTime++
			o.served++
		case r.ended > 0 && r.ended-r.at+r.waited <= returnDeadline:
			o.served++
		default:
			o.refused++
			o.refusedAfter += r.refused - r.at
		}
	}
	for i := range out {
		if out[i].refused > 0 {
			out[i].refusedAfter /= time.Duration(out[i].refused)
		}
		if n[i] == 0 {
			continue
		}
		out[i].inTime, out[i].served, out[i].refused = out[i].inTime/n[i], out[i].served/n[i], out[i].refused/n[i]
	}
	return out
}

// meanReturn plays a return on several seeds.
func meanReturn(t *testing.T, priorities int, returningFor time.Duration) [3]returnResult {
	var sum [3]returnResult
	const runs = 40
	for seed := range uint64(runs) {
		for i, r := range playReturn(seed, priorities, returningFor) {
			sum[i].inTime += r.inTime / runs
			sum[i].served += r.served / runs
			sum[i].refused += r.refused / runs
			sum[i].refusedAfter += r.refusedAfter / runs
		}
	}
	for i, r := range sum[:priorities] {
		t.Logf("returning for %v, priority %d: in time %.3f, served %.3f, refused %.3f after %v", returningFor, i, r.inTime, r.served, r.refused, r.refusedAfter.Round(time.Millisecond))
	}
	return sum
}

// Guards against the most urgent requests that have waited longest being refused after a
// restart of the fleet, while less urgent ones are served.
func TestReturnOfTheFleet(t *testing.T) {
	before, after := meanReturn(t, 3, 0), meanReturn(t, 3, 3*time.Second)
	assert.Assert(t, after[0].served > before[0].served+0.05)
	assert.Assert(t, after[0].inTime >= before[0].inTime-0.005)
}

// Guards against a change where all requests have the same rank.
func TestReturnWithEqualRanksIsAsBefore(t *testing.T) {
	assert.Equal(t, meanReturn(t, 1, 0), meanReturn(t, 1, 3*time.Second))
}
