package hostd

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

// Guards against running an upload a second time after its target has lost the answer.
func TestUploadWhoseAnswerIsLostRunsOnce(t *testing.T) {
	f := newFleet(t, 2)
	f.routes = append(f.routes, standin.Route{Name: "scan", Host: testHost, Prefix: "/scan/", Kind: "upload", Service: "svc", Timeout: 3 * time.Second, Objective: time.Second})
	f.configure(2)
	f.awaitRevision(2)
	for _, h := range f.hosts {
		h.target.SetLosing(true)
	}
	body := strings.Repeat("scanned receipt ", 360<<10/16)
	r, err := f.hosts[0].call(standin.Call{Attempt: "u1", Method: "POST", URI: "/scan/7", Key: testKey, Body: body, Timeout: 3 * time.Second})
	assert.NilError(t, err)
	assert.Equal(t, r.Status, 502)
	assert.Equal(t, f.runsOf("u1"), 1)
}
