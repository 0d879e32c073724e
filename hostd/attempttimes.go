package hostd

import "time"

// attemptTimes is a set of attempts with the times at which they were added.
type attemptTimes map[string]time.Time

const (
	// attemptRetention is how long an attempt is kept. It is longer than any
	// caller waits.
	attemptRetention = 2 * time.Minute
	// attemptSweepInterval is the number of entries between removals of expired
	// ones.
	attemptSweepInterval = 1024
)

func (s attemptTimes) has(id string) bool {
	_, ok := s[id]
	return ok
}

func (s attemptTimes) add(id string, now time.Time) {
	s[id] = now
	if len(s)%attemptSweepInterval != 0 {
		return
	}
	for old, at := range s {
		if now.Sub(at) > attemptRetention {
			delete(s, old)
		}
	}
}

func (s attemptTimes) remove(id string) { delete(s, id) }
