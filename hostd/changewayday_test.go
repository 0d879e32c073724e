package hostd

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// modelDay plays one change after a large document has been in force everywhere.
type modelDay struct {
	name           string
	hosts          int // of each of three data centres
	bits           float64
	lost           float64
	full, addition bool // all of the document is new, or a sixth of it, instead of a line
	// disturb is called right before the change and returns from when on each host counts.
	disturb func(f *modelFleet) map[string]time.Time
	bound   time.Duration
}

func (d modelDay) play(t *testing.T) (median, last time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := &modelFleet{t: t, ctx: ctx, hosts: map[string]*modelHost{}, roundTrip: 2 * time.Millisecond, rate: d.bits / 8,
			changed: make(chan struct{}), storeDelay: 4 * time.Millisecond, random: rand.New(rand.NewPCG(1, 2))}
		defer func() {
			cancel()
			for _, h := range f.hosts {
				h.freeze(false)
			}
			time.Sleep(time.Minute) // queries and their timers end
		}()
		base := f.pad(142 << 10)
		f.put(modelDocument(1, base))
		for _, dc := range []string{"dc-a", "dc-b", "dc-c"} {
			for i := range d.hosts {
				f.names = append(f.names, fmt.Sprintf("%s/%d", dc, i))
			}
		}
		for _, name := range f.names {
			f.add(name)
		}
		go f.watch()
		time.Sleep(30 * time.Second)
		f.times(1, time.Now(), nil)
		f.lost = d.lost
		since := map[string]time.Time{}
		if d.disturb != nil {
			since = d.disturb(f)
		}
		written := time.Now()
		switch {
		case d.full:
			f.put(modelDocument(2, f.pad(142<<10)))
		case d.addition:
			f.put(modelDocument(2, base, f.pad(24<<10)))
		default:
			f.put(modelDocument(2, base))
		}
		time.Sleep(40 * time.Second)
		times := f.times(2, written, since)
		if len(times) == 0 {
			times = []time.Duration{time.Since(written)} // no host has it
		}
		median, last = times[len(times)/2], times[len(times)-1]
	})
	return median, last
}
