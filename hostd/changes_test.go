package hostd

import (
	"encoding/json"
	"strconv"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/decisions"
	"github.com/gooseberryshed/gooseberryshed/metrics"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
)

func getChanges(t *testing.T, c *Control, path string, gzip bool) ([]byte, int) {
	t.Helper()
	var req fasthttp.Request
	var resp fasthttp.Response
	req.Header.SetRequestURI(path)
	if gzip {
		req.Header.Set(fasthttp.HeaderAcceptEncoding, "gzip")
	}
	assert.Assert(t, c.serveChanges(&req, &resp))
	body := resp.Body()
	if gzip && resp.StatusCode() == fasthttp.StatusOK {
		var err error
		assert.Equal(t, string(resp.Header.ContentEncoding()), "gzip")
		body, err = fasthttp.AppendGunzipBytes(nil, body)
		assert.NilError(t, err)
	}
	return body, resp.StatusCode()
}

// A response that is kept for one view states the version of that view, also if it
// was made before the version was raised: hosts that took it would otherwise never
// have a freshness proof for the view.
func TestChangesAreEncodedOnceForAView(t *testing.T) {
	c := NewControl("h", "dc", nil, nil, decisions.New(&logBuffer{}), metrics.New())
	publish := func(version uint64) {
		view := newView(nil, nil, nil, true, time.Now())
		view.operatorVersion = version
		view.operatorRows = map[string]karpithaz.Row{"k": {Table: karpithaz.OperatorTable, Key: "k", Version: version, Value: []byte(strconv.FormatUint(version, 10))}}
		c.view.Store(view)
	}
	read := func(after string, gzip bool) operatorChanges {
		var out operatorChanges
		body, status := getChanges(t, c, operatorChangesPath+after, gzip)
		assert.Equal(t, status, fasthttp.StatusOK)
		assert.NilError(t, json.Unmarshal(body, &out))
		return out
	}
	c.configAt.Store(5)
	publish(7)
	first := read("0", true)
	assert.Equal(t, first.Version, uint64(7))
	c.configAt.Store(7)
	assert.DeepEqual(t, read("0", true), first)
	assert.DeepEqual(t, read("0", false), first)
	assert.Equal(t, len(read("7", true).Rows), 0)
	assert.Equal(t, len(c.encoded.byKey), 2)
	publish(9)
	assert.Equal(t, read("0", true).Version, uint64(9))
	assert.Equal(t, len(c.encoded.byKey), 1)
	_, status := getChanges(t, c, operatorChangesPath+"x", true)
	assert.Equal(t, status, fasthttp.StatusBadRequest)
	for after := range 3 * maxEncodedChanges {
		read(strconv.Itoa(after), true)
	}
	assert.Assert(t, len(c.encoded.byKey) <= maxEncodedChanges)
}
