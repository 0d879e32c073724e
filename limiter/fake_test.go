package limiter

import (
	"context"
	"encoding/json"
	"fmt"
	"iter"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryshed/gooseberryshed/member"
	"github.com/gooseberryshed/gooseberryshed/platform"
	"github.com/gooseberryshed/gooseberryshed/rpc"
)

// fakeClock is a clock controlled by tests.
type fakeClock struct {
	mu  sync.Mutex
	now time.Time
}

func newFakeClock() *fakeClock { return &fakeClock{now: time.Unix(1e9, 0)} }

func (c *fakeClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *fakeClock) Advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// fakeTable is an in-memory table with injected faults.
type fakeTable struct {
	mu          sync.Mutex
	rows        map[string]platform.Row
	nextVersion uint64
	writes      int
	unavailable bool
	loseReplies bool // commits take effect, but their replies are lost
}

func newFakeTable() *fakeTable { return &fakeTable{rows: map[string]platform.Row{}} }

func (t *fakeTable) Get(_ context.Context, key string) (platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.unavailable {
		return platform.Row{}, &platform.Error{Kind: platform.KindUnavailable, Op: "get " + key}
	}
	r, ok := t.rows[key]
	if !ok {
		return r, &platform.Error{Kind: platform.KindNotFound, Op: "get " + key}
	}
	return r, nil
}

func (t *fakeTable) Scan(_ context.Context, prefix, _ string, _ int) ([]platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.unavailable {
		return nil, &platform.Error{Kind: platform.KindUnavailable, Op: "scan " + prefix}
	}
	var rows []platform.Row
	for k, r := range t.rows {
		if strings.HasPrefix(k, prefix) {
			rows = append(rows, r)
		}
	}
	return rows, nil
}

func (t *fakeTable) Commit(_ context.Context, txn platform.Txn) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.unavailable {
		return &platform.Error{Kind: platform.KindUnavailable, Op: "commit"}
	}
	for _, p := range txn.Require {
		if t.rows[p.Key].Version != p.Version {
			return &platform.Error{Kind: platform.KindConflict, Op: "commit", Keys: []string{p.Key}}
		}
	}
	for _, w := range txn.Writes {
		t.nextVersion++
		t.writes++
		t.rows[w.Key] = platform.Row{Key: w.Key, Value: w.Value, Version: t.nextVersion}
	}
	if t.loseReplies {
		return &platform.Error{Kind: platform.KindUncertain, Op: "commit"}
	}
	return nil
}

// fakeNetwork carries RPCs between the services of a test.
type fakeNetwork struct {
	mu          sync.Mutex
	handlers    map[string]map[string]rpc.HandlerFunc
	unreachable map[string]bool // addresses that cannot be reached
	delay       func(addr, method string)
	calls       map[string]int
}

func newFakeNetwork() *fakeNetwork {
	return &fakeNetwork{
		handlers:    map[string]map[string]rpc.HandlerFunc{},
		unreachable: map[string]bool{},
		calls:       map[string]int{},
	}
}

func (m *fakeNetwork) setUnreachable(addr string, unreachable bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unreachable[addr] = unreachable
}

func (m *fakeNetwork) Call(ctx context.Context, addr, method string, params, result any) error {
	m.mu.Lock()
	h := m.handlers[addr][method]
	unreachable := m.unreachable[addr]
	delay := m.delay
	m.calls[method]++
	m.mu.Unlock()
	if unreachable || h == nil {
		return errors.Errorf("%s unreachable", addr)
	}
	in, err := json.Marshal(params)
	if err != nil {
		return err
	}
	res, err := h(ctx, in)
	if err != nil {
		return err
	}
	if delay != nil {
		delay(addr, method)
	}
	out, err := json.Marshal(res)
	if err != nil {
		return err
	}
	return json.Unmarshal(out, result)
}

type networkRegistrar struct {
	network *fakeNetwork
	addr    string
}

func (r networkRegistrar) Handle(method string, h rpc.HandlerFunc) {
	r.network.mu.Lock()
	defer r.network.mu.Unlock()
	if r.network.handlers[r.addr] == nil {
		r.network.handlers[r.addr] = map[string]rpc.HandlerFunc{}
	}
	r.network.handlers[r.addr][method] = h
}

// fakeConfig is an in-memory configuration.
type fakeConfig struct {
	revision    uint64
	since       uint64
	dataCentres []string
	limits      map[string]Limits
}

func (c *fakeConfig) Revision() uint64 { return c.revision }
func (c *fakeConfig) Workspace(name string) (Limits, bool) {
	l, ok := c.limits[name]
	return l, ok
}
func (c *fakeConfig) DataCentres() []string          { return c.dataCentres }
func (c *fakeConfig) Workspaces() iter.Seq[string]   { return maps.Keys(c.limits) }
func (c *fakeConfig) DataCentresLastChanged() uint64 { return c.since }

// fleet is a set of services with a shared fake table, network and clock.
type fleet struct {
	clock         *fakeClock
	table         *fakeTable
	network       *fakeNetwork
	config        *fakeConfig
	peers         []member.Daemon
	services      map[string]*Service
	graceFraction float64
	shards        int
}

func newFleet(cfg *fakeConfig, hostsPerDC int) *fleet {
	return newFleetWith(cfg, hostsPerDC, DefaultGraceFraction)
}

func newFleetWith(cfg *fakeConfig, hostsPerDC int, graceFraction float64) *fleet {
	return newFleetShards(cfg, hostsPerDC, graceFraction, 2)
}

func newFleetShards(cfg *fakeConfig, hostsPerDC int, graceFraction float64, shards int) *fleet {
	f := &fleet{
		graceFraction: graceFraction,
		shards:        shards,
		clock:         newFakeClock(),
		table:         newFakeTable(),
		network:       newFakeNetwork(),
		config:        cfg,
		services:      map[string]*Service{},
	}
	for _, dc := range cfg.dataCentres {
		for i := range hostsPerDC {
			host := fmt.Sprintf("%s-%d", dc, i)
			f.peers = append(f.peers, member.Daemon{
				Host: host, DataCentre: dc, Incarnation: 1, State: member.StateServing, RPCAddr: host + ":1",
			})
		}
	}
	for _, p := range f.peers {
		f.start(p)
	}
	return f
}

func (f *fleet) start(self member.Daemon) *Service {
	s := New(Options{
		Self:   self,
		Table:  f.table,
		RPC:    f.network,
		Config: func() Config { return f.config },
		Peers:  func() []member.Daemon { return f.peers },
		Clock:  f.clock.Now,
		Shards: f.shards,

		GraceFraction: f.graceFraction,
	})
	s.Register(networkRegistrar{network: f.network, addr: self.RPCAddr})
	f.services[self.Host] = s
	return s
}

// step runs one step of each service except those named.
func (f *fleet) step(except ...string) {
	for _, p := range f.peers {
		skip := false
		for _, e := range except {
			skip = skip || e == p.Host
		}
		if !skip {
			f.services[p.Host].Step(context.Background())
		}
	}
}

// eventually waits for a condition that another goroutine brings about.
func (f *fleet) eventually(ok func() bool) bool {
	for range 1000 {
		if ok() {
			return true
		}
		time.Sleep(time.Millisecond)
	}
	return false
}
