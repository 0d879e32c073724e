package member_test

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/internal/measure"
	"github.com/gooseberryshed/gooseberryshed/member"
)

func TestEncodedMessagesRoundTrip(t *testing.T) {
	want := member.FinishRequest{
		Host:    "a",
		Changes: member.Changes{{Daemon: measure.NewRecord(1, 3, time.Unix(5, 0))}, {Base: 4, SuspicionAge: time.Second, Daemon: member.Daemon{Host: "b"}}},
		Wants:   member.Wants{{Key: member.KeyOf("c"), Incarnation: 1 << 62, Version: 300}, {Key: member.KeyOf("d")}},
	}
	raw, err := json.Marshal(want)
	assert.NilError(t, err)
	var got member.FinishRequest
	assert.NilError(t, json.Unmarshal(raw, &got))
	assert.DeepEqual(t, got, want)
	assert.ErrorContains(t, json.Unmarshal([]byte(`{"r":"AAAA"}`), &got), "run the same version")
}
