package forward

import (
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// A body that is longer than declared is an error, not an empty answer.
func TestBufferedBodyOfAnotherLength(t *testing.T) {
	for _, c := range []struct {
		body   string
		length int
		want   string
	}{
		{"abc", 3, ""},
		{"abcdef", 3, "longer than the declared 3 bytes"},
		{"ab", 3, "unexpected EOF"},
	} {
		body := &monitoredBody{ReadCloser: io.NopCloser(strings.NewReader(c.body)), monitor: &monitor{done: make(chan struct{})}, cancel: func() {}}
		data, err := readBuffered(body, c.length)
		if c.want != "" {
			assert.ErrorContains(t, err, c.want)
			continue
		}
		assert.NilError(t, err)
		assert.Equal(t, string(data), c.body)
	}
}
