package pause

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestFor(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	assert.Assert(t, For(ctx, 0))
	assert.Assert(t, For(ctx, time.Nanosecond))
	cancel()
	assert.Assert(t, !For(ctx, 0))
	assert.Assert(t, !For(ctx, time.Hour))
}
