package gate

import "context"

// Drain refuses new attempts and returns when all admitted attempts have ended,
// including their response bodies, or when ctx ends.
func (g *Gate) Drain(ctx context.Context) error {
	g.mu.Lock()
	if !g.draining {
		g.draining = true
		g.signalDrained()
	}
	g.mu.Unlock()
	select {
	case <-g.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// signalDrained completes a drain if no attempt is active. The caller must hold
// the lock.
func (g *Gate) signalDrained() {
	if !g.draining || g.active > 0 {
		return
	}
	select {
	case <-g.drained:
	default:
		close(g.drained)
	}
}
