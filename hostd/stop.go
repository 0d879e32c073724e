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
	// stopOverrun is how long running work is awaited after the platform's time
	// limit. The platform kills the process at its limit, which it may count
	// from a later signal than the one received. Until then no work is aborted.
	stopOverrun = 3 * time.Second
	// finalRefusalLead is how long before the time limit the requests that no
	// target is working on are refused. It leaves time to withdraw them at
	// their gates and to respond.
	finalRefusalLead = 1200 * time.Millisecond
	stopPollInterval = 20 * time.Millisecond
)

// RestartStop restarts the time limit of a planned stop. The platform has
// repeated its signal and counts its own limit from then.
func (h *Host) RestartStop() {
	h.log.Logger().Info("asked to stop", "bound_ms", h.settings.Bounds.ShutdownGracePeriod.Milliseconds())
	h.stopRequested.Store(time.Now().UnixNano())
}

// stopDeadline returns when the platform kills the process.
func (h *Host) stopDeadline() time.Time {
	return time.Unix(0, h.stopRequested.Load()).Add(h.settings.Bounds.ShutdownGracePeriod)
}

// stop performs the planned stop: it reports not ready, refuses new work at the
// gate, lets callers leave, closes the listeners, and returns when all accepted
// requests are answered. Running work is not aborted before the platform is due to
// kill the process.
func (h *Host) stop() {
	started := time.Now()
	h.RestartStop()
	close(h.stopCh)
	h.gate.Stop()
	h.ingress.BeginStop(started)
	h.log.Logger().Info("stopping", "callers", h.servers.callers.ActiveRequests(), "gate", h.servers.gates.ActiveRequests())
	refused, closed := false, false
	for now := started; now.Before(h.stopDeadline().Add(stopOverrun)); now = time.Now() {
		ending := now.After(h.stopDeadline().Add(-finalRefusalLead))
		if !refused && ending {
			refused = true
			h.ingress.RefuseUnsent()
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
