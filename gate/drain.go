package gate

import "context"

// Drain refuses new attempts and returns when all that were admitted have
// ended, answers' bodies included, or ctx has ended.
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

// signalDrained ends a drain when nothing is active; the lock is held.
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
