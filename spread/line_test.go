package spread

import (
	"container/heap"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestLineServesAFewAndSendsHalfOfTheOthersOn(t *testing.T) {
	var l Line
	var tickets []Ticket
	for i := range Width + 5 {
		ticket, served := l.Ask(fmt.Sprint("h", i))
		assert.Equal(t, served, i < Width)
		tickets = append(tickets, ticket)
	}
	assert.DeepEqual(t, l.Done(tickets[0], true), []Release{
		{Ticket: tickets[Width]}, {Ticket: tickets[Width+3], To: "h0"}, {Ticket: tickets[Width+4], To: "h0"},
	})
	assert.DeepEqual(t, l.Done(tickets[1], false), []Release{{Ticket: tickets[Width+1]}})
	assert.Equal(t, len(l.Done(tickets[0], true)), 0)
	assert.Assert(t, l.Leave(tickets[Width+2]))
	assert.Assert(t, !l.Leave(tickets[Width+2]))
	host, ok := l.Holder()
	assert.Equal(t, host, "h0")
	assert.Assert(t, ok)
	l.Renew()
	_, ok = l.Holder()
	assert.Assert(t, !ok)
	serving, waiting := l.Lengths()
	assert.Equal(t, serving, Width)
	assert.Equal(t, waiting, 0)
}

// Every request is served or sent on exactly once, whatever the order of events.
func TestLineReleasesEachRequestOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Line
		waiting, serving := map[Ticket]bool{}, map[Ticket]bool{}
		release := func(list []Release) {
			for _, r := range list {
				assert.Assert(t, waiting[r.Ticket], "released twice")
				delete(waiting, r.Ticket)
				if r.To == "" {
					serving[r.Ticket] = true
				}
			}
		}
		pick := func(from map[Ticket]bool) Ticket {
			list := []Ticket{}
			for id := Ticket(1); id <= l.last; id++ {
				if from[id] {
					list = append(list, id)
				}
			}
			return rapid.SampledFrom(append(list, 0)).Draw(t, "ticket")
		}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0, 1:
				id, served := l.Ask(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "host"))
				if served {
					serving[id] = true
				} else {
					waiting[id] = true
				}
			case 2:
				id := pick(serving)
				delete(serving, id)
				release(l.Done(id, rapid.Bool().Draw(t, "has")))
			case 3:
				id := pick(waiting)
				assert.Equal(t, l.Leave(id), waiting[id])
				delete(waiting, id)
			}
			s, w := l.Lengths()
			assert.Equal(t, s, len(serving))
			assert.Equal(t, w, len(waiting))
			assert.Assert(t, s <= Width && (s == Width || w == 0), "%d served, %d wait", s, w)
		}
	})
}

// event is one of a play without a network.
type event struct {
	at  time.Duration
	run func(now time.Duration)
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// play lets hosts take a change of some bytes over links with a number of bits a second, all
// from the first host or by lines, and returns when the last one has it.
func play(hosts, bytes int, bitsPerSecond float64, byLines bool) time.Duration {
	const roundTrip = 2 * time.Millisecond
	transfer := time.Duration(float64(bytes*8) / bitsPerSecond * float64(time.Second))
	var queue events
	after := func(now, d time.Duration, run func(time.Duration)) { heap.Push(&queue, event{now + d, run}) }
	lines := make([]Line, hosts)
	free := make([]time.Duration, hosts) // when each host's link is free
	var last time.Duration
	var ask func(from, host int, now time.Duration)
	requests := map[int]map[Ticket]int{}
	var serve func(from int, ticket Ticket, host int, now time.Duration)
	release := func(from int, list []Release, now time.Duration) {
		for _, r := range list {
			host := requests[from][r.Ticket]
			if r.To == "" {
				serve(from, r.Ticket, host, now)
				continue
			}
			var to int
			fmt.Sscan(r.To, &to)
			after(now, roundTrip, func(now time.Duration) { ask(to, host, now) })
		}
	}
	serve = func(from int, ticket Ticket, host int, now time.Duration) {
		free[from] = max(free[from], now) + transfer
		after(free[from], roundTrip/2, func(now time.Duration) {
			last = max(last, now)
			after(now, roundTrip/2, func(now time.Duration) { release(from, lines[from].Done(ticket, true), now) })
		})
	}
	ask = func(from, host int, now time.Duration) {
		if !byLines {
			serve(from, 0, host, now)
			return
		}
		ticket, served := lines[from].Ask(fmt.Sprint(host))
		if requests[from] == nil {
			requests[from] = map[Ticket]int{}
		}
		requests[from][ticket] = host
		if served {
			serve(from, ticket, host, now)
		}
	}
	for host := 1; host < hosts; host++ {
		after(0, roundTrip, func(now time.Duration) { ask(0, host, now) })
	}
	for queue.Len() > 0 {
		e := heap.Pop(&queue).(event)
		e.run(e.at)
	}
	return last
}

// A document of 8,000 routes has 142 kB in compressed form, and 1,400 new routes 24 kB.
func TestChangeReachesALargeDataCentreOverSlowLinks(t *testing.T) {
	for _, c := range []struct {
		hosts, bytes int
		bound        time.Duration
	}{
		{25, 24 << 10, 300 * time.Millisecond},
		{100, 24 << 10, 500 * time.Millisecond},
		{300, 24 << 10, 700 * time.Millisecond},
		{25, 142 << 10, time.Second},
		{100, 142 << 10, 1500 * time.Millisecond},
	} {
		direct, lines := play(c.hosts, c.bytes, 10e6, false), play(c.hosts, c.bytes, 10e6, true)
		t.Logf("%d hosts, %d kB: last after %s from one host, %s by lines", c.hosts, c.bytes>>10, direct, lines)
		assert.Check(t, lines <= c.bound, "%d hosts, %d bytes: %s", c.hosts, c.bytes, lines)
		assert.Check(t, lines < direct)
	}
}
