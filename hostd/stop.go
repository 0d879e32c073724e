package hostd

import (
	"time"
)

// Times of a planned stop.
const (
	// callersLeave is how long callers may still come: the platform asks once a
	// second whether a host is ready, and sends no more after two refusals.
	callersLeave = 2900 * time.Millisecond
	// overrun is how long after the platform's bound the work that still runs is
	// waited for. The platform kills at its bound, which it may count from a
	// later signal than the one that came; until then nothing is broken off.
	overrun = 3 * time.Second
	// lastRefusals is how long before the bound requests are refused that no target
	// works on: time to withdraw them at their gates and to answer.
	lastRefusals = 1200 * time.Millisecond
	// stopPoll is how often the end of the work is looked for.
	stopPoll = 20 * time.Millisecond
)

// StopAgain starts the time of a planned stop anew: the platform has sent its
// signal once more, and counts from then.
func (h *Host) StopAgain() {
	h.log.Logger().Info("asked to stop", "bound_ms", h.set.Bounds.StopWithin.Milliseconds())
	h.stopBegun.Store(time.Now().UnixNano())
}

// stopBound is when the platform kills what has not stopped.
func (h *Host) stopBound() time.Time {
	return time.Unix(0, h.stopBegun.Load()).Add(h.set.Bounds.StopWithin)
}

// stop is the planned stop: say not ready, refuse new work at the gate, let
// callers leave, and end when all that was taken is answered. Work that still
// runs is not broken off before the platform's kill is due.
func (h *Host) stop() {
	started := time.Now()
	h.StopAgain()
	close(h.stopped)
	h.gate.Stop()
	h.ingress.Leave(started)
	h.log.Logger().Info("stopping", "callers", h.servers.callers.Active(), "gate", h.servers.gates.Active())
	refused := false
	for now := started; now.Before(h.stopBound().Add(overrun)); now = time.Now() {
		idle := h.servers.callers.Active() == 0 && h.servers.gates.Active() == 0
		if idle && now.Sub(started) >= callersLeave {
			break
		}
		if !refused && now.After(h.stopBound().Add(-lastRefusals)) {
			refused = true
			h.ingress.End()
		}
		time.Sleep(stopPoll)
	}
	h.log.Logger().Info("stopped", "took_ms", time.Since(started).Milliseconds(),
		"callers", h.servers.callers.Active(), "gate", h.servers.gates.Active())
}
