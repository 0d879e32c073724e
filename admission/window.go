package admission

import "time"

// SlidingWindow is a rate limiter: it bounds the number of requests to a target
// in any one second. It is not safe for concurrent use.
type SlidingWindow struct {
	sent []time.Time
}

// Allow reports whether a request may be sent now and counts it if so. It
// returns false if bound requests were sent within the last second. A bound of 0
// or less means no limit.
func (p *SlidingWindow) Allow(now time.Time, bound int) bool {
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

// RetryAfter is the time until the oldest request in the window leaves it.
func (p *SlidingWindow) RetryAfter(now time.Time) time.Duration {
	if len(p.sent) == 0 {
		return 0
	}
	return max(p.sent[0].Add(time.Second).Sub(now), 0)
}
