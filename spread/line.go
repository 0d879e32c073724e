package spread

import "slices"

// Width is the number of hosts that are served at once: while one of them has yet to confirm
// that it has the change, the link is used for the other.
const Width = 2

// Ticket identifies a request in a line.
type Ticket uint64

// entry is a request in a line.
type entry struct {
	ticket Ticket
	host   string
}

// Line is the line of requests for a change at a host that has it. It is not safe for
// concurrent use.
type Line struct {
	last     Ticket
	serving  []entry
	waiting  []entry
	holders  []string
	nextHold int
}

// Release is what a request that has waited is told: that it is served now, or that it is to
// go to another host that has the change.
type Release struct {
	Ticket Ticket
	// To is that other host, or empty if the request is served.
	To string
}

// Ask adds a request of a host. It is served at once, or waits until Done releases it.
func (l *Line) Ask(host string) (t Ticket, served bool) {
	l.last++
	e := entry{l.last, host}
	if len(l.serving) < Width {
		l.serving = append(l.serving, e)
		return e.ticket, true
	}
	l.waiting = append(l.waiting, e)
	return e.ticket, false
}

// Leave removes a request that waits no longer. It returns false if the request does not wait,
// because it has been released.
func (l *Line) Leave(t Ticket) bool {
	i := slices.IndexFunc(l.waiting, func(e entry) bool { return e.ticket == t })
	if i < 0 {
		return false
	}
	l.waiting = slices.Delete(l.waiting, i, i+1)
	return true
}

// Done ends the serving of a request and returns the requests that it releases. has is set if
// the host has the change now.
func (l *Line) Done(t Ticket, has bool) []Release {
	i := slices.IndexFunc(l.serving, func(e entry) bool { return e.ticket == t })
	if i < 0 {
		return nil
	}
	host := l.serving[i].host
	l.serving = slices.Delete(l.serving, i, i+1)
	var out []Release
	if len(l.waiting) > 0 {
		next := l.waiting[0]
		l.waiting = slices.Delete(l.waiting, 0, 1)
		l.serving = append(l.serving, next)
		out = append(out, Release{Ticket: next.ticket})
	}
	if !has {
		return out
	}
	if !slices.Contains(l.holders, host) {
		l.holders = append(l.holders, host)
	}
	// The later half goes, as the earlier one is served here sooner.
	kept := l.waiting[:len(l.waiting)/2]
	for _, e := range l.waiting[len(kept):] {
		out = append(out, Release{Ticket: e.ticket, To: host})
	}
	l.waiting = slices.Clone(kept)
	return out
}

// DoneBy is Done for all requests of a host that are being served, which has the change now.
func (l *Line) DoneBy(host string) []Release {
	var out []Release
	for _, e := range slices.Clone(l.serving) {
		if e.host == host {
			out = append(out, l.Done(e.ticket, true)...)
		}
	}
	return out
}

// Holder returns a host that has taken the change from here, a different one each time.
func (l *Line) Holder() (host string, ok bool) {
	if len(l.holders) == 0 {
		return "", false
	}
	l.nextHold++
	return l.holders[l.nextHold%len(l.holders)], true
}

// Renew forgets who has the change, as there is a newer one.
func (l *Line) Renew() { l.holders, l.nextHold = nil, 0 }

// Lengths returns how many requests are being served and how many wait.
func (l *Line) Lengths() (serving, waiting int) { return len(l.serving), len(l.waiting) }
