package answer

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestCheckReportsIDAndCompleteness(t *testing.T) {
	body := Body("r1", 1000)
	id, whole := Check(body)
	assert.Equal(t, id, "r1")
	assert.Assert(t, whole)
	for _, cut := range []int{0, 1, 2, 500, len(body) - 1} {
		_, whole := Check(body[:cut])
		assert.Assert(t, !whole, "cut at %d", cut)
	}
	_, whole = Check(append(body, Body("r2", 10)...))
	assert.Assert(t, !whole)
}
