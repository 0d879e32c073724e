package admission

import "time"

// Pace bounds how many requests go to a target in any second. It is not safe
// for concurrent use.
type Pace struct {
	sent []time.Time
}

// Allow counts a request sent now, unless bound of them were sent within the
// last second. A bound of 0 or less is none.
func (p *Pace) Allow(now time.Time, bound int) bool {
	expired := 0
	for expired < len(p.sent) && now.Sub(p.sent[expired]) >= time.Second {
		expired++
	}
	p.sent = p.sent[expired:]
	if bound > 0 && len(p.sent) >= bound {
		return false
	}
	p.sent = append(p.sent, now)
	return true
}

// ClearsIn is how long until the oldest request of the last second is a second
// old.
func (p *Pace) ClearsIn(now time.Time) time.Duration {
	if len(p.sent) == 0 {
		return 0
	}
	return max(p.sent[0].Add(time.Second).Sub(now), 0)
}
