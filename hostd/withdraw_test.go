package hostd

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A withdrawal for a host whose address another host had been given was relayed by the
// latter to itself, without end.
func TestWithdrawalAtAReusedAddressIsNotRelayedInACircle(t *testing.T) {
	gone := Target{ID: "i-gone", Host: "gone", Control: "127.0.0.1:1"}
	view := newView(nil, nil, map[string]Target{"gone": gone}, true, time.Now())
	queries := 0
	w := &withdrawals{host: "successor", view: func() *View { return view }}
	w.query = func(ctx context.Context, _ string, q datagram) (datagram, error) {
		if queries++; queries > 100 {
			return datagram{}, errNoAnswer
		}
		return w.answer(ctx, q), nil // the address of the host that has gone is now this host's
	}
	a, err := w.query(context.Background(), gone.Control, datagram{Kind: queryWithdraw, Name: "a", Host: "gone"})
	assert.NilError(t, err)
	assert.Assert(t, !a.Authoritative)
	assert.Equal(t, queries, 1)

	queries = 0
	a = w.answer(context.Background(), datagram{Kind: queryWithdraw, Name: "a", Host: "gone", Relay: true})
	assert.Assert(t, !a.Authoritative)
	assert.Equal(t, queries, 1, "a query that is relayed goes to its host once")
}
