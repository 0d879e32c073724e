package daemon

import (
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/respsyntax"
)

func TestInvalidAnswersAreCountedAndLoggedOnceASecond(t *testing.T) {
	var out strings.Builder
	a := NewInvalidAnswers(log.NewWithOptions(&out, log.Options{Formatter: log.LogfmtFormatter}))
	var head respsyntax.Head
	_, err := head.Scan([]byte("HTTP/1.1 200 OK\r\nX Y: 1\r\n\r\n"))
	var v *respsyntax.Violation
	assert.Assert(t, errors.As(err, &v))
	for range 3 {
		a.targets.record("127.0.0.1:7", v)
	}
	a.Store("127.0.0.1:8", v)
	assert.Equal(t, a.Counts(), InvalidCounts{Targets: 3, Store: 1})
	assert.Equal(t, strings.Count(out.String(), "invalid answer refused"), 2, out.String())
	for _, want := range []string{"from=target", "address=127.0.0.1:7", "rule=field-name", `source="RFC 9112 section 5.1"`, `bytes="\"X \""`, "offset=18", "from=store"} {
		assert.Assert(t, strings.Contains(out.String(), want), "%s is missing in %s", want, out.String())
	}
}
