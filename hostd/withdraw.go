package hostd

import (
	"context"
	"math/rand/v2"
)

// questionWithdraw asks a gate to withdraw an attempt.
const questionWithdraw = "withdraw"

// relays is how many other hosts are asked to pass a withdrawal on when the
// path to a gate is cut.
const relays = 2

// withdrawals takes attempts back at gates, so that "not run" can be said.
type withdrawals struct {
	host string
	gate *Gate
	view func() *View
	ask  func(ctx context.Context, addr string, q datagram) (datagram, error)
}

// withdraw reports whether an attempt has gone to the target of a host, or may
// have. When it has not, it never will. life is that of the gate's process when
// the attempt was sent: a later one knows nothing of it. The error tells that
// the gate cannot be reached.
func (w *withdrawals) withdraw(ctx context.Context, host, attempt string, life int64) (sent bool, err error) {
	if host == w.host {
		return w.gate.Withdraw(attempt, w.gate.life), nil
	}
	q := datagram{Kind: questionWithdraw, Name: attempt, Host: host, Life: life}
	view := w.view()
	t, ok := view.TargetOf(host)
	if !ok {
		return false, errNoAnswer
	}
	if a, err := w.ask(ctx, t.Control, q); err == nil && a.Known {
		return a.Yes, nil
	}
	for _, relay := range w.others(view, host) {
		if a, err := w.ask(ctx, relay.Control, q); err == nil && a.Known {
			return a.Yes, nil
		}
	}
	return false, errNoAnswer
}

// others chooses hosts that may reach a host.
func (w *withdrawals) others(view *View, host string) []Target {
	var out []Target
	names := view.hostNames()
	for _, i := range rand.Perm(len(names)) {
		if names[i] == host || names[i] == w.host || len(out) == relays {
			continue
		}
		if t, ok := view.TargetOf(names[i]); ok {
			out = append(out, t)
		}
	}
	return out
}

// answer answers another host's question, or passes it on.
func (w *withdrawals) answer(ctx context.Context, q datagram) datagram {
	if q.Host == w.host {
		return datagram{Known: true, Yes: w.gate.Withdraw(q.Name, q.Life)}
	}
	t, ok := w.view().TargetOf(q.Host)
	if !ok {
		return datagram{}
	}
	a, err := w.ask(ctx, t.Control, q)
	if err != nil {
		return datagram{}
	}
	return a
}
