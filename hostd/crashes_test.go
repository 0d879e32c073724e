package hostd

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

// A request that crashes every target that runs it is refused by all hosts
// after the third crash. Other requests are still served.
func TestRequestThatCrashesTargetsIsRefused(t *testing.T) {
	f := newFleet(t, 3)
	var all []*standin.Target
	runs := func() int {
		n := 0
		for _, target := range all {
			for _, r := range target.Runs() {
				if strings.Contains(r.Body, standin.CrashMarker) {
					n++
				}
			}
		}
		return n
	}
	for _, h := range f.hosts {
		all = append(all, h.target)
	}
	refused := 0
	for i := 0; i < 12 && refused < 2; i++ {
		h := f.hosts[i%len(f.hosts)]
		r, err := h.call(standin.Call{Attempt: fmt.Sprintf("c%d", i), Method: "POST", URI: "/order/1", Key: testKey, Body: standin.CrashMarker, Timeout: time.Second})
		assert.NilError(t, err)
		if r.Status == 503 && strings.Contains(r.Body, "quarantined") {
			refused++
		}
		time.Sleep(200 * time.Millisecond) // time to detect and report the death
		for n, h := range f.hosts {
			if conn, err := net.Dial("tcp", h.settings.TargetAddress); err == nil {
				conn.Close()
				continue
			}
			target, err := standin.StartTarget(fmt.Sprintf("i-%d-%d", n+1, i), "svc", h.settings.TargetAddress, 4, 20*time.Millisecond)
			assert.NilError(t, err)
			t.Cleanup(target.Close)
			all = append(all, target)
			h.target = target
			status, err := target.Announce(h.settings.AnnounceListen, "dc-a", "ready")
			assert.NilError(t, err)
			assert.Equal(t, status, 200)
		}
	}
	assert.Equal(t, refused, 2, "after %d runs", runs())
	assert.Assert(t, runs() <= quarantineDeaths, "%d runs", runs())
	f.await("others are served", func() bool {
		r, err := f.hosts[0].call(standin.Call{Attempt: "fine", Method: "POST", URI: "/order/1", Key: testKey, Body: "a bed"})
		return err == nil && r.Status == 200
	})
}
