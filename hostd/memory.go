package hostd

// showMemory registers the figures of the account of memory.
func (h *Host) showMemory() {
	account := h.client.memory
	h.metrics.Gauge("memory_used_bytes", func() int64 { return account.Stats().Used })
	h.metrics.Gauge("memory_peak_bytes", func() int64 { return account.Stats().Peak })
	h.metrics.Gauge("memory_claims_refused", func() int64 { return account.Stats().Refused })
	h.metrics.Gauge("connections_open", func() int64 { return int64(account.Stats().Connections) })
	h.metrics.Gauge("connections_refused", func() int64 { return account.Stats().Unaccepted })
}

// logEvicted records that a connection was closed to make room for others.
func (h *Host) logEvicted(remote string, held int64, rate float64) {
	h.metrics.Add("connections_closed_for_memory", 1)
	s := h.client.memory.Stats()
	h.log.Decide("connection-closed", "remote", remote, "held_bytes", held, "bytes_per_s", int64(rate), "used_bytes", s.Used, "connections", s.Connections)
}
