package hostd

import (
	"context"
	"time"
)

const (
	// maxStartWait is how long a request waits for a host that has just started to learn
	// the configuration and the other hosts. That takes 0.3 to 0.7 s while a whole fleet
	// starts; a host that needs longer does not reach the store or its peers.
	maxStartWait = time.Second
	// startWaitShare bounds that wait as a share of the time that the caller has, so that
	// a refused caller has time to try elsewhere.
	startWaitShare = 0.25
)

// startWait returns how long a request may wait for a host that has just started, if its
// caller has some time left.
func startWait(left time.Duration) time.Duration {
	return min(maxStartWait, time.Duration(startWaitShare*float64(left)))
}

// awaitReady waits until the host can serve requests for the first time since its start.
// After a restart of the whole fleet callers find no other host, so that a refusal at
// once would lose their requests.
func (e *exchange) awaitReady(ctx context.Context) {
	select {
	case <-e.in.control.ready:
		return
	default:
	}
	if e.in.stopBegan.Load() != nil {
		return
	}
	wait := maxStartWait
	if left := e.caller.TimeLeft; left > 0 {
		wait = startWait(left)
	}
	e.in.metrics.Add("requests_awaiting_start", 1)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-e.in.control.ready:
	case <-timer.C:
	case <-ctx.Done():
	}
	e.in.log.Decide("start-awaited", "id", e.caller.Attempt, "ready", e.in.control.View().Ready(), "waited_ms", time.Since(e.started).Milliseconds(), "max_wait_ms", wait.Milliseconds())
}

// signalReady closes ready once the host has its tables and a freshness proof.
func (c *Control) signalReady() {
	select {
	case <-c.ready:
	default:
		if c.View().Ready() && c.proven() {
			close(c.ready)
		}
	}
}
