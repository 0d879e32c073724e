package limiter

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/gooseberryshed/gooseberryshed/platform"
	"github.com/gooseberryshed/gooseberryshed/rpc"
)

// chaosTable is the table as seen by one host, with injected faults.
type chaosTable struct {
	c *chaos
	h *chaosHost
}

func (t chaosTable) out() error {
	if t.h.dropTable || t.c.table.unavailable {
		return &platform.Error{Kind: platform.KindUnavailable, Op: "table"}
	}
	return nil
}

func (t chaosTable) Get(ctx context.Context, key string) (platform.Row, error) {
	if err := t.out(); err != nil {
		return platform.Row{}, err
	}
	return t.c.table.Get(ctx, key)
}

func (t chaosTable) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if err := t.out(); err != nil {
		return nil, err
	}
	return t.c.table.Scan(ctx, prefix, after, limit)
}

func (t chaosTable) Commit(ctx context.Context, txn platform.Txn) error {
	if err := t.out(); err != nil {
		return err
	}
	f := t.c.tableFault
	t.c.tableFault = ""
	uncertain := &platform.Error{Kind: platform.KindUncertain, Op: "commit"}
	switch f {
	case "pause-before":
		t.c.pause(t.h)
	case "delay":
		t.c.delayed = append(t.c.delayed, txn)
		return uncertain
	case "swallow":
		return uncertain
	}
	err := t.c.table.Commit(ctx, txn)
	switch f {
	case "lose-reply":
		return uncertain
	case "pause-after":
		t.c.pause(t.h)
	}
	return err
}

// chaosCaller makes the RPCs of one host, with injected faults.
type chaosCaller struct {
	c *chaos
	h *chaosHost
}

func (m chaosCaller) Call(ctx context.Context, addr, method string, params, result any) error {
	var to *chaosHost
	for _, h := range m.c.hosts {
		if h.self.RPCAddr == addr {
			to = h
		}
	}
	if to == nil || to.stopped || to.dropInbound || m.h.dropOutbound {
		return errors.Errorf("%s unreachable", addr)
	}
	f := m.c.replyFault
	m.c.replyFault = ""
	var raw json.RawMessage
	err := m.c.network.Call(ctx, addr, method, params, &raw)
	if f == "pause-owner" {
		m.c.pause(to)
	}
	if f == "lose" || to.dropOutbound || m.h.dropInbound {
		return errors.New("reply lost")
	}
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, result)
}

var _ rpc.Caller = chaosCaller{}
