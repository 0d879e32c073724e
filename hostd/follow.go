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
)

// Times of the calls to the store.
const (
	// storeTimeout bounds a call beyond what it asks the store to wait. The
	// store answers in milliseconds.
	storeTimeout = 600 * time.Millisecond
	// configWait is how long a feed of the configuration waits. Its answer also
	// proves that the configuration is fresh, so it must come well within the
	// bound for withdrawn keys, with time for one more try.
	configWait = 1500 * time.Millisecond
	// longWait is how long a feed of the configuration waits at a host that gets
	// the proof from others. It stays below the history that the store keeps.
	longWait = 14 * time.Second
	// hostsWait is how long a feed of the hosts waits; a new host that is
	// learnt of late only gets less work.
	hostsWait = 8 * time.Second
	// hostsPause lets several changes of hosts share one answer.
	hostsPause = 700 * time.Millisecond
	// minStorePause and maxStorePause bound the pause after a failed call.
	minStorePause = 50 * time.Millisecond
	maxStorePause = 500 * time.Millisecond
)

// RunConfig follows the operators' table until ctx ends.
func (c *Control) RunConfig(ctx context.Context) error {
	f := &feed{c: c, table: karpithaz.OperatorTable, at: &c.configAt}
	for ctx.Err() == nil {
		wait := configWait
		if !c.isReader() {
			wait = longWait
		}
		f.step(ctx, wait)
	}
	return nil
}

// RunHosts follows the hosts' rows until ctx ends. A host that has readers to
// ask reads them once and then learns of changes from those.
func (c *Control) RunHosts(ctx context.Context) error {
	f := &feed{c: c, table: hostsTable, at: &c.hostsAt}
	for ctx.Err() == nil {
		if !f.started || c.isReader() {
			f.step(ctx, hostsWait)
		}
		pause.For(ctx, hostsPause)
	}
	return nil
}

// storePause doubles with each failure and is spread, so that the fleet does
// not call in step.
func storePause(failures int) time.Duration {
	p := min(minStorePause<<min(failures, 8), maxStorePause)
	return p/2 + rand.N(p/2)
}

// feed follows one table.
type feed struct {
	c     *Control
	table string
	// at is the version up to which changes have been taken in, by whichever
	// way.
	at *atomic.Uint64
	// started is set once the whole table has been read.
	started  bool
	failures int
	clock    storeClock
}

// step makes one reading, and pauses after a failure. After a failure it asks
// without waiting, on a new connection.
func (f *feed) step(ctx context.Context, wait time.Duration) {
	if f.failures > 0 {
		wait = 0
	}
	err := f.read(ctx, wait)
	switch {
	case err == nil:
		f.recovered()
	case errors.Is(err, karpithaz.ErrHistoryGone):
		f.c.log.Logger().Warn("store has dropped its history; reading anew", "table", f.table)
		f.started = false
	case ctx.Err() == nil:
		f.failed(err)
		pause.For(ctx, storePause(f.failures))
	}
}

// read makes one reading and brings it into force.
func (f *feed) read(ctx context.Context, wait time.Duration) error {
	asked := boottime.Now()
	var r karpithaz.Reading
	var err error
	whole := !f.started
	if whole {
		r, err = f.c.store.Range(ctx, f.table, "", storeTimeout)
	} else {
		r, err = f.c.store.Feed(ctx, f.table, f.at.Load(), wait, storeTimeout)
	}
	if err != nil {
		return err
	}
	f.started = true
	n := news{table: f.table, whole: whole, rows: r.Rows, version: r.Version}
	n.proof = f.table == karpithaz.OperatorTable
	n.vouched = r.Version
	n.asOf = f.clock.answered(asked, boottime.Now(), r.StoreMillis)
	f.c.tell(ctx, n)
	return nil
}

func (f *feed) failed(err error) {
	f.failures++
	f.c.metrics.Add("store_failures", 1)
	if f.failures == 1 {
		f.c.log.Logger().Warn("store lost; working on with what is known", "table", f.table, "err", err)
	}
}

func (f *feed) recovered() {
	f.c.metrics.Add("store_answers", 1)
	if f.failures > 0 {
		f.c.log.Logger().Info("store regained", "table", f.table, "failures", f.failures)
		f.failures = 0
	}
}

// storeClock maps the store's clock to the host's, by the quickest answer so
// far. An answer that was long on its way then counts from when it was given,
// and one that the store held back counts later than its question.
type storeClock struct {
	offset boottime.Instant
	known  bool
}

// answered returns when the store gave an answer: not before it was asked,
// and not later than the answer's own time stamp allows.
func (s *storeClock) answered(asked, received boottime.Instant, storeMillis int64) boottime.Instant {
	stamp := boottime.Instant(time.Duration(storeMillis) * time.Millisecond)
	if offset := received - stamp; !s.known || offset < s.offset {
		s.offset, s.known = offset, true
	}
	return min(max(asked, stamp+s.offset), received)
}
