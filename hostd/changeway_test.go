package hostd

import (
	"context"
	"encoding/base64"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryshed/gooseberryshed/decisions"
	"github.com/gooseberryshed/gooseberryshed/metrics"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

// The way of a change, from the store to the last host, is played without a network: hosts are
// Controls, links carry bytes in simulated time, and hosts freeze, stop and start. The age of
// freshness proofs is not simulated: its clock is the machine's.

// modelLink carries bytes at a rate, in the order in which they come.
type modelLink struct {
	rate float64 // bytes a second
	mu   sync.Mutex
	free time.Time
}

const modelChunk = 8 << 10

// carry carries bytes over links and reports whether ctx lasted.
func carryOver(ctx context.Context, bytes int, links ...*modelLink) bool {
	for ; bytes > 0; bytes -= modelChunk {
		n := min(bytes, modelChunk)
		until := time.Now()
		for _, l := range links {
			l.mu.Lock()
			l.free = maxTime(l.free, time.Now()).Add(time.Duration(float64(n) / l.rate * float64(time.Second)))
			until = maxTime(until, l.free)
			l.mu.Unlock()
		}
		if !sleepUntil(ctx, until) {
			return false
		}
		modelReceived(ctx, n)
	}
	return ctx.Err() == nil
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	select {
	case <-time.After(time.Until(at)):
		return true
	case <-ctx.Done():
		return false
	}
}

// modelHost is a host of the model.
type modelHost struct {
	f        *modelFleet
	name     string
	c        *Control
	up, down *modelLink
	mu       sync.Mutex
	// frozen is not nil while the host stands still, and closed when it goes on.
	frozen  chan struct{}
	started time.Time
	// inForce is when the host had each revision.
	inForce map[uint64]time.Time
}

// awake waits until the host does not stand still.
func (h *modelHost) awake(ctx context.Context) bool {
	for {
		h.mu.Lock()
		frozen := h.frozen
		h.mu.Unlock()
		if frozen == nil {
			return ctx.Err() == nil
		}
		select {
		case <-frozen:
		case <-ctx.Done():
			return false
		}
	}
}

func (h *modelHost) freeze(frozen bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case frozen && h.frozen == nil:
		h.frozen = make(chan struct{})
	case !frozen && h.frozen != nil:
		close(h.frozen)
		h.frozen = nil
	}
}

func (h *modelHost) isFrozen() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.frozen != nil
}

// modelFleet is the fleet and its store.
type modelFleet struct {
	t     *testing.T
	ctx   context.Context
	names []string
	// hostsMu guards hosts and what is known of them in inForce.
	hostsMu sync.Mutex
	hosts   map[string]*modelHost
	// roundTrip is that between hosts, and lost the share of notices that are lost.
	roundTrip time.Duration
	lost      float64
	rate      float64

	mu      sync.Mutex
	rows    []karpithaz.Row
	version uint64
	changed chan struct{}
	// storeDelay is how long the store takes, away keeps it from answering, and shown is the
	// version up to which it shows changes, or 0 for all of them.
	storeDelay time.Duration
	away       bool
	shown      uint64
	random     *rand.Rand
}

// modelDocument is a document of a few routes with long names, which are what compression leaves
// of one of 8,000: base for the document, and one for each change of a large part.
func modelDocument(revision int, base string, parts ...string) []byte {
	list := defaultRoutes()
	for _, name := range append([]string{base}, parts...) {
		list = append(list, standin.Route{Name: name, Host: testHost, Prefix: "/" + name[:8] + "/", Kind: "idempotent", Service: "svc"})
	}
	return standin.EncodeConfig(revision, []string{"svc"}, list, nil)
}

// storeBytes is the size of the store's response with a document of 8,000 routes, in base64.
const storeBytes = 970_000

func (f *modelFleet) pad(bytes int) string {
	data := make([]byte, bytes*3/4)
	for i := range data {
		data[i] = byte(f.random.Uint32())
	}
	return base64.URLEncoding.EncodeToString(data)
}

func (f *modelFleet) put(value []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	f.rows = []karpithaz.Row{{Table: karpithaz.OperatorTable, Key: karpithaz.ConfigKey, Version: f.version, Value: value}}
	close(f.changed)
	f.changed = make(chan struct{})
}

// modelStore is the store as one host sees it.
type modelStore struct{ h *modelHost }

func (s modelStore) Commit(context.Context, karpithaz.Tx, time.Duration) (karpithaz.RowsResponse, error) {
	return karpithaz.RowsResponse{}, errors.New("not played")
}

func (s modelStore) Range(ctx context.Context, table, _ string, timeout time.Duration) (karpithaz.RowsResponse, error) {
	return s.Feed(ctx, table, 0, 0, timeout)
}

func (s modelStore) Feed(ctx context.Context, _ string, after uint64, wait, timeout time.Duration) (karpithaz.RowsResponse, error) {
	f := s.h.f
	ctx, cancel := modelTimeout(ctx, wait+timeout)
	defer cancel()
	if !s.h.awake(ctx) {
		return karpithaz.RowsResponse{}, ctx.Err()
	}
	sent := time.Now()
	for {
		f.mu.Lock()
		version, rows, changed, away := f.version, f.rows, f.changed, f.away
		if f.shown > 0 {
			version = min(version, f.shown)
		}
		delay := f.storeDelay
		f.mu.Unlock()
		if away {
			<-ctx.Done()
			return karpithaz.RowsResponse{}, ctx.Err()
		}
		rows = slices.DeleteFunc(slices.Clone(rows), func(r karpithaz.Row) bool { return r.Version <= after || r.Version > version })
		if len(rows) == 0 && time.Since(sent) < wait {
			select {
			case <-changed:
			case <-time.After(time.Until(sent.Add(wait))):
			case <-ctx.Done():
				return karpithaz.RowsResponse{}, ctx.Err()
			}
			continue
		}
		bytes := 200
		if len(rows) > 0 {
			bytes = storeBytes
		}
		if !sleepUntil(ctx, time.Now().Add(delay)) || !carryOver(ctx, bytes, s.h.down) || !s.h.awake(ctx) {
			return karpithaz.RowsResponse{}, ctx.Err()
		}
		return karpithaz.RowsResponse{Rows: rows, Version: max(version, after)}, nil
	}
}

// modelPeers are the other hosts as one host sees them. A gate has the name of its host.
type modelPeers struct{ h *modelHost }

func (p modelPeers) query(ctx context.Context, addr string, q datagram) (datagram, error) {
	for _, pause := range queryTimeouts {
		to := p.h.f.host(addr)
		p.h.f.mu.Lock()
		lost := p.h.f.random.Float64() < p.h.f.lost
		p.h.f.mu.Unlock()
		if lost || to == nil || to.isFrozen() || p.h.isFrozen() {
			if !sleepUntil(ctx, time.Now().Add(pause)) {
				return datagram{}, ctx.Err()
			}
			continue
		}
		sleepUntil(ctx, time.Now().Add(p.h.f.roundTrip))
		return modelAnswer(to.c, q), nil
	}
	return datagram{}, errNoAnswer
}

func (p modelPeers) hostChanges(context.Context, string, uint64) (hostChanges, error) {
	return hostChanges{}, errors.New("not played")
}

func (p modelPeers) operatorChanges(ctx context.Context, gate string, after uint64) (operatorChanges, error) {
	from := p.h.f.host(gate)
	if !sleepUntil(ctx, time.Now().Add(p.h.f.roundTrip)) || !p.h.awake(ctx) || !from.awake(ctx) {
		return operatorChanges{}, ctx.Err()
	}
	return modelFetch(ctx, p.h, from, after)
}

// add starts a host. It knows the others, whose rows do not change.
func (f *modelFleet) add(name string) {
	h := &modelHost{f: f, name: name, up: &modelLink{rate: f.rate}, down: &modelLink{rate: f.rate}, started: time.Now(), inForce: map[uint64]time.Time{}}
	f.run(h)
	f.setHost(h)
}

// host returns the host with a name, or nil.
func (f *modelFleet) host(name string) *modelHost {
	f.hostsMu.Lock()
	defer f.hostsMu.Unlock()
	return f.hosts[name]
}

// setHost adds a host, or replaces the one with its name.
func (f *modelFleet) setHost(h *modelHost) {
	f.hostsMu.Lock()
	defer f.hostsMu.Unlock()
	f.hosts[h.name] = h
}

func (f *modelFleet) run(h *modelHost) {
	dc := strings.SplitN(h.name, "/", 2)[0]
	h.c = NewControl(h.name, dc, modelStore{h}, modelPeers{h}, decisions.New(&logBuffer{}), metrics.New())
	hosts := map[string]Target{}
	for _, name := range f.names {
		hosts[name] = Target{ID: "i-" + name, Service: "svc", Host: name, DataCentre: strings.SplitN(name, "/", 2)[0], Gate: name, Control: name, Slots: 1}
	}
	h.c.hosts, h.c.hostsLoaded = hosts, true
	h.c.publish()
	for _, run := range []func(context.Context) error{h.c.Run, h.c.RunConfig, h.c.RunReaderPolls, h.c.RunNotifications, h.c.RunNotices} {
		go run(f.ctx) //nolint:errcheck // ends with ctx
	}
}

// watch records when hosts have new revisions, until ctx ends.
func (f *modelFleet) watch() {
	for f.ctx.Err() == nil {
		f.recordInForce()
		sleepUntil(f.ctx, time.Now().Add(5*time.Millisecond))
	}
}

func (f *modelFleet) recordInForce() {
	f.hostsMu.Lock()
	defer f.hostsMu.Unlock()
	for _, h := range f.hosts {
		if cfg := h.c.View().Config; cfg != nil {
			if _, known := h.inForce[cfg.Revision]; !known {
				h.inForce[cfg.Revision] = time.Now()
			}
		}
	}
}

// times returns after which time hosts had a revision or a later one, sorted, counted from the
// latest of when it was written and when a host was started or woken up.
func (f *modelFleet) times(revision uint64, written time.Time, since map[string]time.Time) []time.Duration {
	f.hostsMu.Lock()
	defer f.hostsMu.Unlock()
	var out []time.Duration
	for name, h := range f.hosts {
		if h.isFrozen() {
			continue
		}
		first := time.Time{}
		for r, at := range h.inForce {
			if r >= revision && (first.IsZero() || at.Before(first)) {
				first = at
			}
		}
		from := maxTime(written, since[name])
		if first.IsZero() {
			f.t.Errorf("%s does not have revision %d after %s", name, revision, time.Since(written))
			continue
		}
		out = append(out, max(first.Sub(from), 0))
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}
