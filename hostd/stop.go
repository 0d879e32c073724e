package hostd

import (
	"time"
)

// Times of a planned stop.
const (
	// callersLeave is how long callers may still come: the platform asks once a
	// second whether a host is ready, and sends no more after two refusals.
	callersLeave = 2900 * time.Millisecond
	// killMargin is kept from the platform's kill.
	killMargin = 300 * time.Millisecond
	// lastRefusals is how long before the end requests are refused that no target
	// works on: time to withdraw them at their gates and to answer.
	lastRefusals = 800 * time.Millisecond
	// stopPoll is how often the end of the work is looked for.
	stopPoll = 20 * time.Millisecond
)

// stop is the planned stop: say not ready, refuse new work at the gate, let
// callers leave, and end when all that was taken is answered. Work that still
// runs is not broken off before the platform's kill is due.
func (h *Host) stop() {
	started := time.Now()
	last := started.Add(h.set.Bounds.StopWithin - killMargin)
	close(h.stopped)
	h.gate.Stop()
	h.ingress.Leave(started, last)
	h.log.Logger().Info("stopping", "callers", h.servers.callers.Active(), "gate", h.servers.gates.Active())
	ending := time.AfterFunc(time.Until(last)-lastRefusals, h.ingress.End)
	defer ending.Stop()
	for now := started; now.Before(last); now = time.Now() {
		idle := h.servers.callers.Active() == 0 && h.servers.gates.Active() == 0
		if idle && now.Sub(started) >= callersLeave {
			break
		}
		time.Sleep(stopPoll)
	}
	h.log.Logger().Info("stopped", "took_ms", time.Since(started).Milliseconds(),
		"callers", h.servers.callers.Active(), "gate", h.servers.gates.Active())
}
