package hostd

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/decisions"
	"github.com/gooseberryshed/gooseberryshed/metrics"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

// senders are peers of which only one can be fetched from.
type senders struct {
	peers
	working string
	row     karpithaz.Row
}

func (s senders) operatorChanges(_ context.Context, gate string, _ uint64) (operatorChanges, error) {
	if gate != s.working {
		return operatorChanges{}, errors.New("no answer")
	}
	return operatorChanges{Version: s.row.Version, Rows: []karpithaz.Row{s.row}}, nil
}

func TestChangeIsFetchedFromAnotherSenderOfItsNotice(t *testing.T) {
	row := func(revision int) karpithaz.Row {
		return karpithaz.Row{Table: karpithaz.OperatorTable, Key: karpithaz.ConfigKey, Version: uint64(revision),
			Value: standin.EncodeConfig(revision, []string{"svc"}, defaultRoutes(), nil)}
	}
	c := NewControl("h", "dc", nil, senders{working: "gate-b", row: row(2)}, decisions.New(&logBuffer{}), metrics.New())
	c.hosts = map[string]Target{
		"a": {ID: "i-a", Service: "svc", Host: "a", DataCentre: "dc", Gate: "gate-a"},
		"b": {ID: "i-b", Service: "svc", Host: "b", DataCentre: "dc", Gate: "gate-b"},
	}
	c.apply(tableUpdate{table: karpithaz.OperatorTable, full: true, version: 1, rows: []karpithaz.Row{row(1)}, proof: true, provenVersion: 1, provenAt: 1})
	c.recordNotice(datagram{Host: "a", ConfigVersion: 2})
	c.recordNotice(datagram{Host: "b", ConfigVersion: 2})
	go c.Run(t.Context())        //nolint:errcheck // returns nil when ctx ends
	go c.RunNotices(t.Context()) //nolint:errcheck // returns nil when ctx ends
	deadline := time.Now().Add(2 * time.Second)
	for c.View().Config.Revision != 2 {
		assert.Assert(t, time.Now().Before(deadline), "revision %d", c.View().Config.Revision)
		time.Sleep(time.Millisecond)
	}
}
