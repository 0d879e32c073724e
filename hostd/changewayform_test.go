package hostd

import (
	"context"
	"time"

	"github.com/gooseberryshed/gooseberryshed/transfer"
)

// What of the model depends on the form in which hosts give each other changes.

func modelReceived(ctx context.Context, bytes int) { transfer.MeterOf(ctx).Add(bytes) }

// modelTimeout bounds a call of the store: only its silence is bounded.
func modelTimeout(ctx context.Context, _ time.Duration) (context.Context, context.CancelFunc) {
	return context.WithCancel(ctx)
}

func modelAnswer(c *Control, q datagram) datagram {
	switch q.Kind {
	case queryVersions:
		return c.reportVersions(q.Host)
	case queryChanged:
		return c.recordNotice(q)
	case queryHeld:
		return c.line.confirm(q.Host)
	}
	return datagram{}
}

func modelFetch(ctx context.Context, h, from *modelHost, after uint64) (operatorChanges, error) {
	base := h.c.knownConfig()
	asker := changesAsker{Host: h.name}
	if base != nil {
		asker.Base = base.Digest
	}
	r, err := from.c.answerInLine(ctx, asker, after)
	if err != nil {
		return operatorChanges{}, err
	}
	if r.data == nil {
		modelReceived(ctx, 1)
		r.ended(true)
		return operatorChanges{}, &elsewhereError{host: r.line.To}
	}
	sent := carryOver(ctx, len(r.data), from.up, h.down)
	r.ended(sent)
	if !sent || !h.awake(ctx) {
		return operatorChanges{}, ctx.Err()
	}
	var line lineAnswer
	if r.line != nil {
		line = *r.line
	}
	return readChanges(r.data, line, base, after)
}
