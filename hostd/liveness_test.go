package hostd

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A reader is cut off, or stands still, from 10 s to 15 s. Then each host polls it
// again within two seconds, but for one that has died at 10 s.
func TestReaderThatWasCutOffTakesNoLiveHostForSilent(t *testing.T) {
	const hosts = 24
	var names []string
	for i := range hosts {
		names = append(names, fmt.Sprintf("h%d", i))
	}
	dead := names[hosts-1]
	for _, frozen := range []bool{false, true} {
		t.Run(fmt.Sprintf("frozen %v", frozen), func(t *testing.T) {
			tracker := &livenessTracker{}
			start := time.Now()
			var removedAt time.Duration
			for at := time.Duration(0); at < 25*time.Second; at += 100 * time.Millisecond {
				now := start.Add(at)
				away := at >= 10*time.Second && at < 15*time.Second
				for i, host := range names {
					polls := (at/(100*time.Millisecond)+time.Duration(i))%20 == 0 // every 2 s
					if polls && !away && !(host == dead && at >= 10*time.Second) {
						tracker.recordContact(host, now)
					}
				}
				if away && frozen || at%(800*time.Millisecond) != 0 {
					continue
				}
				for _, host := range tracker.silentHosts(names, names[0], now) {
					assert.Equal(t, host, dead, "at %s", at)
					removedAt = at
				}
				if removedAt != 0 {
					break
				}
			}
			assert.Assert(t, removedAt > 15*time.Second && removedAt < 22*time.Second, "%s", removedAt)
		})
	}
}
