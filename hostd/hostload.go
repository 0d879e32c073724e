package hostd

import (
	"context"
	"sync"
	"time"

	"github.com/gooseberryshed/gooseberryshed/decisions"
	"github.com/gooseberryshed/gooseberryshed/hostload"
	"github.com/gooseberryshed/gooseberryshed/internal/pause"
	"github.com/gooseberryshed/gooseberryshed/metrics"
)

// hostLoadInterval is the time between measurements of the timer: few enough for a host
// with 0.16 of a core.
const hostLoadInterval = 200 * time.Millisecond

// hostLoad measures the processor and the link of this host.
type hostLoad struct {
	log     *decisions.Log
	metrics *metrics.Registry

	mu      sync.Mutex
	monitor hostload.Monitor
	told    float64
}

func (h *hostLoad) run(ctx context.Context) error {
	for due := time.Now().Add(hostLoadInterval); pause.For(ctx, time.Until(due)); due = time.Now().Add(hostLoadInterval) {
		h.tick(time.Now(), due)
	}
	return nil
}

func (h *hostLoad) tick(now, due time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.monitor.Tick(now, due)
	s := h.monitor.Shortage()
	if s == h.told {
		return
	}
	if h.told == 0 {
		h.metrics.Add("host_short", 1)
	}
	h.log.Decide("host-short", "shortage", s, "before", h.told, "timer_late_ms", h.monitor.Lateness().Milliseconds(), "writes_blocked", h.monitor.Blocked())
	h.told = s
}

// sent records an answer to another daemon.
func (h *hostLoad) sent(bytes int, took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.monitor.Sent(bytes, took)
}

func (h *hostLoad) shortage() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.monitor.Shortage()
}
