package hostd

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

// All targets of a service shed a third of what arrives. Orders get the retries, of which
// reads used to spend as many, and targets get no more requests than the budget allows.
func TestOrdersGetTheRetriesOfAFleet(t *testing.T) {
	f := newFleet(t, 3)
	f.routes = rankedRoutes()
	f.configure(2)
	f.awaitRevision(2)
	for _, h := range f.hosts {
		h.target.SetShedding(0.35)
		h.target.SetWork(2 * time.Millisecond)
	}
	const seconds, perSecond = 4, 60 // of each class
	var mu sync.Mutex
	refused, sent := map[string]int{}, 0
	var calls sync.WaitGroup
	call := func(class string, c standin.Call) {
		sent++
		h := f.hosts[rand.IntN(len(f.hosts))]
		calls.Go(func() {
			r, err := h.call(c)
			assert.Check(t, err == nil && (r.Status == 200 || r.Status == 503), "status %d: %v", r.Status, err)
			if r.Status == 503 {
				mu.Lock()
				refused[class]++
				mu.Unlock()
			}
		})
	}
	ticker := time.NewTicker(time.Second / perSecond)
	defer ticker.Stop()
	for i := range seconds * perSecond {
		<-ticker.C
		call("order", standin.Call{Attempt: fmt.Sprint("order-", i), Method: "POST", URI: "/order/1", Key: testKey})
		call("read", standin.Call{Attempt: fmt.Sprint("read-", i), URI: "/read/1", Key: testKey})
	}
	calls.Wait()
	arrived := 0
	for _, h := range f.hosts {
		arrived += h.target.Arrivals()
	}
	t.Logf("of %d each, refused: %v; %d arrivals for %d requests", seconds*perSecond, refused, arrived, sent)
	assert.Check(t, refused["order"] < refused["read"], "%v", refused)
	b := f.hosts[0].settings.Bounds
	assert.Check(t, float64(arrived) <= float64(sent)*(1+b.RetryBudgetRatio)+b.RetryBudgetSlack)
}
