package hostd

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// freezeReaders freezes the readers of the first data centre.
func freezeReaders(f *modelFleet) map[string]time.Time {
	for _, host := range f.host("dc-a/0").c.View().ranked("dc-a")[:2] {
		f.host(host).freeze(true)
	}
	return nil
}

// freezeSomeForAWhile freezes a third of the hosts for 4 s.
func freezeSomeForAWhile(f *modelFleet) map[string]time.Time {
	since := map[string]time.Time{}
	for i, name := range f.names {
		if i%3 == 0 {
			f.host(name).freeze(true)
			since[name] = time.Now().Add(4 * time.Second)
		}
	}
	go func() {
		time.Sleep(4 * time.Second)
		for name := range since {
			f.host(name).freeze(false)
		}
	}()
	return since
}

// freezeDuringTheChange freezes hosts while they serve others.
func freezeDuringTheChange(f *modelFleet) map[string]time.Time {
	since := map[string]time.Time{}
	for i, name := range f.names {
		if i%5 == 0 {
			since[name] = time.Now().Add(4 * time.Second)
		}
	}
	go func() {
		time.Sleep(1200 * time.Millisecond)
		for name := range since {
			f.host(name).freeze(true)
		}
		time.Sleep(2800 * time.Millisecond)
		for name := range since {
			f.host(name).freeze(false)
		}
	}()
	return since
}

// restartSome starts a third of the hosts again, without a configuration.
func restartSome(f *modelFleet) map[string]time.Time {
	since := map[string]time.Time{}
	for i, name := range f.names {
		if i%3 == 0 {
			old := f.host(name)
			old.freeze(true)
			h := &modelHost{f: f, name: name, up: old.up, down: old.down, started: time.Now(), inForce: map[uint64]time.Time{}}
			f.run(h)
			f.setHost(h)
			since[name] = time.Now()
		}
	}
	return since
}

func storeAway(d time.Duration) func(f *modelFleet) map[string]time.Time {
	return func(f *modelFleet) map[string]time.Time {
		f.mu.Lock()
		f.away = true
		f.mu.Unlock()
		time.AfterFunc(d, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.away = false
		})
		since := map[string]time.Time{}
		for _, name := range f.names {
			since[name] = time.Now().Add(d)
		}
		return since
	}
}

func storeSlow(d time.Duration) func(f *modelFleet) map[string]time.Time {
	return func(f *modelFleet) map[string]time.Time {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.storeDelay = d
		return nil
	}
}

// storeBehind keeps the store from showing the change for 3 s.
func storeBehind(f *modelFleet) map[string]time.Time {
	f.mu.Lock()
	f.shown = f.version
	f.mu.Unlock()
	time.AfterFunc(3*time.Second, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.shown = 0
		close(f.changed)
		f.changed = make(chan struct{})
	})
	since := map[string]time.Time{}
	for _, name := range f.names {
		since[name] = time.Now().Add(3 * time.Second)
	}
	return since
}

// Guards against changes that come late, or not at all, by the size of the document, the links,
// the data centre, and whatever happens to hosts, notices and the store meanwhile.
func TestWayOfAChange(t *testing.T) {
	const inTime = applyDeadline
	for _, d := range []modelDay{
		{name: "a line, 10 hosts", hosts: 10, bits: 10e6, bound: inTime},
		{name: "a line, 33 hosts", hosts: 33, bits: 10e6, bound: inTime},
		{name: "a line, 100 hosts", hosts: 100, bits: 10e6, bound: inTime},
		{name: "1,400 routes, 10 hosts", hosts: 10, bits: 10e6, addition: true, bound: inTime},
		{name: "1,400 routes, 33 hosts", hosts: 33, bits: 10e6, addition: true, bound: inTime},
		{name: "1,400 routes, 100 hosts", hosts: 100, bits: 10e6, addition: true, bound: inTime},
		{name: "all routes, 33 hosts", hosts: 33, bits: 10e6, full: true, bound: inTime},
		{name: "all routes, 100 hosts", hosts: 100, bits: 10e6, full: true, bound: inTime},
		{name: "a line, links of 5 Mbit/s", hosts: 33, bits: 5e6, bound: inTime},
		{name: "a fifth of the datagrams lost", hosts: 33, bits: 10e6, addition: true, lost: 0.2, bound: inTime},
		{name: "readers frozen", hosts: 33, bits: 10e6, addition: true, disturb: freezeReaders, bound: inTime},
		{name: "a third frozen for 4 s", hosts: 33, bits: 10e6, addition: true, disturb: freezeSomeForAWhile, bound: inTime},
		{name: "a fifth frozen on the way", hosts: 33, bits: 10e6, addition: true, disturb: freezeDuringTheChange, bound: inTime},
		{name: "a third restarted", hosts: 33, bits: 10e6, addition: true, disturb: restartSome, bound: inTime},
		{name: "store away for 5 s", hosts: 33, bits: 10e6, addition: true, disturb: storeAway(5 * time.Second), bound: inTime},
		{name: "store takes 400 ms", hosts: 33, bits: 10e6, addition: true, disturb: storeSlow(400 * time.Millisecond), bound: inTime},
		// The time that the store takes is added to the page's.
		{name: "store takes 900 ms", hosts: 33, bits: 10e6, addition: true, disturb: storeSlow(900 * time.Millisecond), bound: inTime + 900*time.Millisecond},
		{name: "store behind for 3 s", hosts: 33, bits: 10e6, addition: true, disturb: storeBehind, bound: inTime},
	} {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			median, last := d.play(t)
			t.Logf("in force after %s (median), %s (last)", median.Round(10*time.Millisecond), last.Round(10*time.Millisecond))
			assert.Check(t, last <= d.bound, "last after %s", last)
		})
	}
}
