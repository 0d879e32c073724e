package gate

import "context"

// Drain refuses new attempts and returns when all that were admitted have
// ended, answers' bodies included, or ctx has ended.
func (g *Gate) Drain(ctx context.Context) error {
	g.mu.Lock()
	if !g.draining {
		g.draining = true
		g.wakeDrain()
	}
	g.mu.Unlock()
	select {
	case <-g.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// wakeDrain ends a drain when nothing is active; the lock is held.
func (g *Gate) wakeDrain() {
	if !g.draining || g.active > 0 {
		return
	}
	select {
	case <-g.idle:
	default:
		close(g.idle)
	}
}
