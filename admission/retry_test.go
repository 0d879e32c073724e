package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRetryDelayHasJitterAndPriority(t *testing.T) {
	assert.Equal(t, RetryDelay(0, 0, 0), minRetryAfter)
	assert.Assert(t, RetryDelay(time.Second, 0, 0.99) < RetryDelay(time.Second, 3, 0.99))
	assert.Assert(t, RetryDelay(time.Second, 1, 0) < RetryDelay(time.Second, 1, 0.9))
	assert.Assert(t, RetryDelay(time.Hour, 99, 1) <= (maxRetryAfter+LowestPriority*retryAfterPerPriority)*3/2)
}
