package boottime

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestClockAdvances(t *testing.T) {
	a := Now()
	time.Sleep(20 * time.Millisecond)
	d := Now().Sub(a)
	assert.Assert(t, d >= 20*time.Millisecond && d < 2*time.Second, "%s", d)
	assert.Equal(t, a.Add(time.Second).Sub(a), time.Second)
}
