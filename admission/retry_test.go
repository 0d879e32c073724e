package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRetryDelayHasJitterAndPriority(t *testing.T) {
	assert.Equal(t, ComeBack(0, 0, 0), minRetryAfter)
	assert.Assert(t, ComeBack(time.Second, 0, 0.99) < ComeBack(time.Second, 3, 0.99))
	assert.Assert(t, ComeBack(time.Second, 1, 0) < ComeBack(time.Second, 1, 0.9))
	assert.Assert(t, ComeBack(time.Hour, 99, 1) <= (maxRetryAfter+LastPriority*retryAfterPerPriority)*3/2)
}
