package hostd

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

// A workspace sends several times what the targets can serve. Orders of small workspaces
// used to be refused as often as its own.
func TestSmallWorkspacesAreServedBesideABusyOne(t *testing.T) {
	f := newFleet(t, 2)
	f.workspaces = []standin.Workspace{{Name: "busy", Key: "key-busy"}, {Name: "small", Key: "key-small"}, {Name: "smaller", Key: "key-smaller"}}
	f.configure(2)
	f.awaitRevision(2)
	for _, h := range f.hosts {
		h.target.SetWork(100 * time.Millisecond) // 80 requests a second
	}
	var mu sync.Mutex
	sent, answered := map[string]int{}, map[string]int{}
	var calls sync.WaitGroup
	begun := time.Now()
	send := func(workspace string, perSecond int) {
		for i := range 7 * perSecond {
			time.Sleep(time.Until(begun.Add(time.Duration(i) * time.Second / time.Duration(perSecond))))
			h := f.hosts[rand.IntN(len(f.hosts))]
			calls.Go(func() {
				r, err := h.call(standin.Call{Attempt: fmt.Sprint(workspace, "-", i), Method: "POST", URI: "/order/1", Key: "key-" + workspace})
				assert.Check(t, err == nil && (r.Status == 200 || r.Status == 503), "status %d: %v", r.Status, err)
				if time.Since(begun) < 2*time.Second {
					return // the gates learn the use
				}
				mu.Lock()
				defer mu.Unlock()
				sent[workspace]++
				if r.Status == 200 {
					answered[workspace]++
				}
			})
		}
	}
	for workspace, perSecond := range map[string]int{"busy": 110, "small": 15, "smaller": 10} {
		calls.Go(func() { send(workspace, perSecond) })
	}
	calls.Wait()
	share := func(workspace string) float64 { return float64(answered[workspace]) / float64(sent[workspace]) }
	t.Logf("answered: busy %.2f, small %.2f, smaller %.2f", share("busy"), share("small"), share("smaller"))
	assert.Check(t, share("small") > share("busy")+0.1)
	assert.Check(t, share("smaller") > share("busy")+0.1)
	assert.Check(t, strings.Contains(f.hosts[0].logs.String(), `"msg":"over-share"`))
}
