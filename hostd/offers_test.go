package hostd

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/wire"
)

// An order whose answer arrived just as its host refused what no target had accepted was
// refused as not run, although it had run.
func TestOrderAnsweredAsTheStopEndsIsNotRefusedAsNotRun(t *testing.T) {
	g := &scriptedGates{}
	in := newTestIngress(t, g, "h1")
	g.forward = func(_ context.Context, _ Target, _ Forward, onSend func()) Reply {
		onSend()
		<-in.refuseUnsent
		return replyWithStatus(200)
	}
	g.withdraw = func(string, string, int64) (bool, error) { return true, nil }
	var orders sync.WaitGroup
	statuses := make([]int, 2000)
	for i := range statuses {
		orders.Go(func() {
			x := newExchange(fmt.Sprintf("o%d", i), "POST", "/order/1", 3*time.Second)
			in.Handle(context.Background(), x)
			statuses[i] = x.Response.StatusCode()
		})
	}
	for len(g.offered()) < len(statuses) {
		time.Sleep(time.Millisecond)
	}
	in.RefuseUnsent()
	orders.Wait()
	refused := 0
	for _, status := range statuses {
		if status != 200 {
			refused++
		}
	}
	assert.Equal(t, refused, 0, "of %d orders that ran", len(statuses))
}

func TestRunStateFollowsFromEveryOffer(t *testing.T) {
	for _, c := range []struct {
		name string
		// runs are the results of offers to different hosts, "" for an open one.
		runs      []wire.RunState
		sent      bool
		withdrawn bool
		notRun    bool
	}{
		{"no offer", nil, false, true, true},
		{"all refused", []wire.RunState{wire.NotRun, wire.NotRun}, false, false, true},
		{"answered", []wire.RunState{wire.Ran}, false, true, false},
		{"unknown, then refused", []wire.RunState{wire.Unknown, wire.NotRun}, false, true, false},
		{"open and withdrawn", []wire.RunState{wire.NotRun, ""}, false, true, true},
		{"open and not withdrawn", []wire.RunState{""}, false, false, false},
		{"open and sent", []wire.RunState{""}, true, true, false},
		{"open beside one that ran", []wire.RunState{wire.Ran, ""}, false, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := &offers{}
			for i, run := range c.runs {
				x := o.begin(Target{ID: fmt.Sprint(i), Host: fmt.Sprint(i)}, 1)
				if c.sent {
					o.markSent(x)
				}
				if run != "" {
					o.end(x, run)
				}
			}
			assert.Equal(t, o.withdraw(func(offer) bool { return c.withdrawn }), c.notRun)
			assert.Assert(t, o.begin(Target{ID: "next", Host: "next"}, 1) == nil, "offered after the withdrawal")
		})
	}
}

// A withdrawal takes time, and another offer of the request may be answered meanwhile.
func TestOfferThatEndsDuringAWithdrawalCounts(t *testing.T) {
	o := &offers{}
	hedge, first := o.begin(Target{ID: "a", Host: "a"}, 1), o.begin(Target{ID: "b", Host: "b"}, 1)
	notRun := o.withdraw(func(x offer) bool {
		if x.Host == "a" {
			o.end(first, wire.Ran)
		}
		return true
	})
	assert.Assert(t, !notRun)
	o.end(hedge, wire.NotRun)
	assert.Equal(t, o.runState(), wire.Unknown)
}
