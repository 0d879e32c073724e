package metrics

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestText(t *testing.T) {
	r := New()
	r.Add("served", 2)
	r.Add("served", 1)
	r.Gauge("open", func() int64 { return 7 })
	for i := range 100 {
		r.Observe("request_time", time.Duration(i+1)*time.Millisecond)
	}
	r.Observe("request_time", time.Hour)
	var b strings.Builder
	assert.NilError(t, r.WriteText(&b))
	for _, line := range []string{"served 3\n", "open 7\n", "request_time_count 101\n"} {
		assert.Assert(t, strings.Contains(b.String(), line), b.String())
	}
	assert.Assert(t, strings.Contains(b.String(), "request_time_p50_us 51"), b.String())
}
