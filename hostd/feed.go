package hostd

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryshed/gooseberryshed/boottime"
	"github.com/gooseberryshed/gooseberryshed/internal/pause"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/storepoll"
	"github.com/gooseberryshed/gooseberryshed/transfer"
)

// Timing of calls to the store.
const (
	// storeTimeout bounds a write, and the silence of the store beyond the wait that a read
	// requests. The store answers in milliseconds.
	storeTimeout = 600 * time.Millisecond
	// storeGiveUp is the silence after which a call of a read is ended. Meanwhile others are
	// begun beside it: a slow store still answers the first one, and a connection that has gone
	// silent delays no other.
	storeGiveUp = 3600 * time.Millisecond
	// maxCallsAtOnce and maxCalls bound the calls of one read.
	maxCallsAtOnce = 6
	maxCalls       = 50
	// configPollWait is the long-poll wait for configuration changes. A reply
	// also proves that the configuration is current, so it must arrive well
	// within the time limit for revoked keys, with time for one retry.
	configPollWait = 1500 * time.Millisecond
	// configFromPeersTimeout is how long a starting host waits for its readers to
	// become known and to give it the configuration, before it reads the store.
	configFromPeersTimeout = 4 * time.Second
	// rolePollInterval is how often a host that is not a reader checks whether it
	// has become one.
	rolePollInterval = 500 * time.Millisecond
	// startPollPause is the mean pause between reads of the hosts table while a
	// host does not know its readers: the hosts of a starting fleet appear within
	// a second or two.
	startPollPause = 1500 * time.Millisecond
	// hostsPollWait is the long-poll wait for changes of hosts. A new host that
	// is discovered late only receives less work meanwhile.
	hostsPollWait = 8 * time.Second
	// hostsPollPause lets several changes of hosts arrive in one reply.
	hostsPollPause = 700 * time.Millisecond
	// minStoreBackoff and maxStoreBackoff bound the back-off after a failed
	// call.
	minStoreBackoff = 50 * time.Millisecond
	maxStoreBackoff = time.Second
)

// storeLimits bound the calls of one read of the store.
var storeLimits = transfer.Limits{Silence: storeTimeout, GiveUp: storeGiveUp, Running: maxCallsAtOnce}

// RunConfig polls the operators' table until ctx ends.
func (c *Control) RunConfig(ctx context.Context) error {
	f := &tableFeed{c: c, table: karpithaz.OperatorTable, version: &c.configAt}
	started := time.Now().Add(c.firstReadDelay)
	for ctx.Err() == nil {
		rank, hosts := c.rank()
		noConfig := c.View().Config == nil
		switch {
		case hosts > 0 && storepoll.IsReader(rank, hosts), noConfig && time.Since(started) > configFromPeersTimeout:
			f.poll(ctx, configPollWait)
		case noConfig:
			pause.For(ctx, startTurnPause)
		default:
			pause.For(ctx, rolePollInterval)
		}
	}
	return nil
}

// RunHosts polls the hosts table until ctx ends. A host that is not a reader
// loads the table once and then receives changes from the readers.
func (c *Control) RunHosts(ctx context.Context) error {
	f := &tableFeed{c: c, table: hostsTable, version: &c.hostsAt}
	pause.For(ctx, c.firstReadDelay)
	for ctx.Err() == nil {
		rank, hosts := c.rank()
		switch {
		case !f.loaded:
			if f.poll(ctx, 0); !f.loaded {
				continue // poll has backed off
			}
		case hosts < storepoll.Readers:
			pause.For(ctx, startPollPause/2+rand.N(startPollPause))
			f.poll(ctx, 0)
			continue
		case storepoll.IsReader(rank, hosts), c.actsAsReader.Load():
			f.poll(ctx, hostsPollWait)
		}
		pause.For(ctx, hostsPollPause)
	}
	return nil
}

// storeBackoff doubles with each failure and is randomized, so that the hosts
// of the fleet do not call in step.
func storeBackoff(failures int) time.Duration {
	p := min(minStoreBackoff<<min(failures, 8), maxStoreBackoff)
	return p/2 + rand.N(p/2)
}

// tableFeed polls one table.
type tableFeed struct {
	c     *Control
	table string
	// version is the version up to which changes have been applied, from the
	// store or from readers.
	version *atomic.Uint64
	// loaded is set once the whole table has been read.
	loaded   bool
	failures int
	// tries are the reads since the last one that succeeded.
	tries atomic.Int64
	// clock is the store's in an era; a restored store may have another one.
	clock storeClock
	era   uint64
}

// poll reads once and backs off after a failure. The call after a failure does
// not wait for changes, so that it returns early on a new connection.
func (f *tableFeed) poll(ctx context.Context, wait time.Duration) {
	if f.failures > 0 {
		wait = 0
	}
	err := f.read(ctx, wait)
	switch {
	case err == nil:
		f.recordSuccess()
	case errors.Is(err, karpithaz.ErrHistoryExpired):
		f.c.log.Logger().Warn("store has dropped its history; reloading the table", "table", f.table)
		f.loaded = false
	case ctx.Err() == nil:
		f.recordFailure(err)
		pause.For(ctx, storeBackoff(f.failures))
	}
}

// read reads once and applies the result.
func (f *tableFeed) read(ctx context.Context, wait time.Duration) error {
	asked := boottime.Now()
	ctx, reception := f.c.begin(ctx, &f.tries)
	full := !f.loaded
	r, err := f.call(ctx, full, wait)
	received := reception.end(err)
	if err != nil {
		f.c.log.Decide("store-not-read", "table", f.table, "received_bytes", received.bytes, "after_ms", received.took.Milliseconds(), "tries", received.tries, "err", err)
		return err
	}
	f.loaded = true
	if era := karpithaz.EraOf(r.Version); era != f.era {
		f.era, f.clock = era, storeClock{}
	}
	n := tableUpdate{table: f.table, full: full, rows: r.Rows, version: r.Version, received: received}
	n.proof = f.table == karpithaz.OperatorTable
	n.provenVersion = r.Version
	n.provenAt = f.clock.answeredAt(asked, boottime.Now(), r.StoreClockMillis)
	f.c.submit(ctx, n)
	return nil
}

// errStoreSilent reports that the store has not answered in its usual time.
var errStoreSilent = errors.New("no answer from the store yet; asking again on another connection")

// storeAnswer is the store's answer to a call, which may be an error.
type storeAnswer struct {
	rows karpithaz.RowsResponse
	err  error
}

// call reads the table, or its changes if it waits for some. While the store is silent, further
// calls are made beside the first one, without a wait.
func (f *tableFeed) call(ctx context.Context, full bool, wait time.Duration) (karpithaz.RowsResponse, error) {
	calls := 0
	a, err := transfer.First(ctx, storeLimits, func() (transfer.Source[storeAnswer], bool) {
		if calls++; calls > maxCalls {
			return transfer.Source[storeAnswer]{}, false
		}
		if calls > 1 {
			wait = 0
			f.tries.Add(1)
			f.recordFailure(errStoreSilent)
		}
		wait := wait
		return transfer.Source[storeAnswer]{Wait: wait, Get: func(ctx context.Context) (storeAnswer, error) {
			var a storeAnswer
			if full {
				a.rows, a.err = f.c.store.Range(ctx, f.table, "", storeGiveUp)
			} else {
				a.rows, a.err = f.c.store.Feed(ctx, f.table, f.version.Load(), wait, storeGiveUp)
			}
			if errors.Is(context.Cause(ctx), transfer.ErrSilent) {
				return a, a.err
			}
			return a, nil // an error of the store ends the read, which is followed by a back-off
		}}, true
	})
	if err != nil {
		return a.rows, err
	}
	return a.rows, a.err
}

func (f *tableFeed) recordFailure(err error) {
	f.failures++
	f.c.metrics.Add("store_failures", 1)
	if f.failures == 1 {
		f.c.log.Logger().Warn("store lost; continuing with the last known state", "table", f.table, "err", err)
	}
}

func (f *tableFeed) recordSuccess() {
	f.c.metrics.Add("store_answers", 1)
	if f.failures > 0 {
		f.c.log.Logger().Info("store regained", "table", f.table, "failures", f.failures)
		f.failures = 0
	}
}
