package hostd

import (
	"time"

	"github.com/gooseberryshed/gooseberryshed/h1"
)

// Timing of a planned stop.
const (
	// callerDrainTime is how long callers may continue to arrive. The platform
	// checks readiness once a second and sends no more traffic after two failed
	// checks.
	callerDrainTime = 2900 * time.Millisecond
	// finalRefusalLead is how long before the time limit the requests that no
	// target is working on are refused. It leaves time to withdraw them at
	// their gates and to respond.
	finalRefusalLead = 1200 * time.Millisecond
	// lastAnswerLead is how long before the time limit the requests at which targets
	// still work are answered, as the end of the process would cut them. It is
	// shorter than targetAnswerLead.
	lastAnswerLead = 300 * time.Millisecond
	// exitLead is how long before the time limit the process ends, whatever is left.
	exitLead         = 100 * time.Millisecond
	stopPollInterval = 20 * time.Millisecond
)

// stop performs the planned stop: it reports not ready, refuses new work at the
// gate, lets callers leave, closes the listeners, and returns when all accepted
// requests are answered. Running work goes on until shortly before the platform is due
// to kill the process. Its time limit counts from the first signal.
func (h *Host) stop() {
	started := time.Now()
	limit := started.Add(h.settings.Bounds.ShutdownGracePeriod)
	h.log.Logger().Info("asked to stop", "bound_ms", h.settings.Bounds.ShutdownGracePeriod.Milliseconds())
	close(h.stopCh)
	h.gate.Stop()
	h.ingress.BeginStop(started)
	h.log.Logger().Info("stopping", "callers", h.servers.callers.ActiveRequests(), "gate", h.servers.gates.ActiveRequests())
	refused, closed, answered := false, false, false
	for now := started; now.Before(limit.Add(-exitLead)); now = time.Now() {
		ending := now.After(limit.Add(-finalRefusalLead))
		if !refused && ending {
			refused = true
			h.ingress.RefuseUnsent()
		}
		if !answered && now.After(limit.Add(-lastAnswerLead)) {
			answered = true
			h.ingress.EndRequests()
		}
		idle := h.servers.callers.ActiveRequests() == 0 && h.servers.gates.ActiveRequests() == 0
		if !closed && (idle && now.Sub(started) >= callerDrainTime || ending) {
			closed = true
			h.closeTraffic()
		}
		if closed && h.servers.callers.Settled() && h.servers.gates.Settled() {
			break
		}
		time.Sleep(stopPollInterval)
	}
	h.log.Logger().Info("stopped", "took_ms", time.Since(started).Milliseconds(),
		"callers", h.servers.callers.ActiveRequests(), "gate", h.servers.gates.ActiveRequests())
}

// closeTraffic closes the listeners for callers and other daemons.
func (h *Host) closeTraffic() {
	for _, l := range h.servers.traffic {
		if err := h1.CloseListener(l); err != nil {
			h.log.Logger().Warn("connections may have been reset when a listener closed", "err", err)
		}
	}
}
