package hostd

import (
	"context"
	"math/rand/v2"
)

// queryWithdraw asks a gate to withdraw an attempt.
const queryWithdraw = "withdraw"

// maxRelays is how many other hosts are asked to relay a withdrawal if the gate
// cannot be reached directly.
const maxRelays = 2

// withdrawals withdraws attempts at gates, which proves that a request has not
// run.
type withdrawals struct {
	host  string
	gate  *Gate
	view  func() *View
	query func(ctx context.Context, addr string, q datagram) (datagram, error)
}

// withdraw reports whether an attempt was sent to the target of a host, or may
// have been. If it returns false, the attempt will never be sent. incarnation
// is that of the gate's process when the attempt was offered, as a later
// process does not know the attempt. An error means that the gate cannot be
// reached.
func (w *withdrawals) withdraw(ctx context.Context, host, attempt string, incarnation int64) (sent bool, err error) {
	if host == w.host {
		return w.gate.Withdraw(attempt, w.gate.incarnation), nil
	}
	q := datagram{Kind: queryWithdraw, Name: attempt, Host: host, To: host, Incarnation: incarnation}
	view := w.view()
	t, ok := view.TargetOf(host)
	if !ok {
		return false, errNoAnswer
	}
	if a, err := w.query(ctx, t.Control, q); err == nil && a.Authoritative {
		return a.Result, nil
	}
	q.Relay = true
	for _, relay := range w.relayCandidates(view, host) {
		q.To = relay.Host
		if a, err := w.query(ctx, relay.Control, q); err == nil && a.Authoritative {
			return a.Result, nil
		}
	}
	return false, errNoAnswer
}

// relayCandidates returns random hosts to relay a query to host.
func (w *withdrawals) relayCandidates(view *View, host string) []Target {
	var out []Target
	names := view.hostNames()
	for _, i := range rand.Perm(len(names)) {
		if names[i] == host || names[i] == w.host || len(out) == maxRelays {
			continue
		}
		if t, ok := view.TargetOf(names[i]); ok {
			out = append(out, t)
		}
	}
	return out
}

// answer answers another host's query, or relays it if asked to. A query that is not to
// be relayed was sent to the address of a host that has gone: relayed, it would come back
// to this host for as long as the view shows that address.
func (w *withdrawals) answer(ctx context.Context, q datagram) datagram {
	if q.Host == w.host {
		return datagram{Authoritative: true, Result: w.gate.Withdraw(q.Name, q.Incarnation)}
	}
	t, ok := w.view().TargetOf(q.Host)
	if !ok || !q.Relay {
		return datagram{}
	}
	q.Relay, q.To = false, q.Host
	a, err := w.query(ctx, t.Control, q)
	if err != nil {
		return datagram{}
	}
	return a
}
