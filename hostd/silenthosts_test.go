package hostd

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/wire"
)

// Most hosts freeze. The targets of the others get the orders, although their
// senders have not found out about any of the frozen ones.
func TestOrdersReachLiveTargetsWhileMostHostsAreFrozen(t *testing.T) {
	var hosts []string
	for i := range 20 {
		hosts = append(hosts, fmt.Sprintf("h%d", i))
	}
	g := &scriptedGates{silent: hosts[:15]}
	g.forward = func(ctx context.Context, target Target, _ Forward, _ func()) Reply {
		if slices.Contains(g.silent, target.Host) {
			<-ctx.Done()
			return Reply{Refusal: wire.RefuseUnknown(wire.ReasonTimeout, "no reply")}
		}
		return replyWithStatus(200)
	}
	g.withdraw = func(string, string, int64) (bool, error) { return false, errNoAnswer }
	for i := range 20 {
		in := newTestIngress(t, g, hosts...)
		x := newExchange(fmt.Sprint("order-", i), "POST", "/order/1", 300*time.Millisecond)
		in.Handle(context.Background(), x)
		assert.Check(t, x.Response.StatusCode() == 200, "order %d: status %d", i, x.Response.StatusCode())
	}
	for _, host := range g.offered() {
		assert.Check(t, !slices.Contains(g.silent, host), "an order was offered to %s", host)
	}
}
