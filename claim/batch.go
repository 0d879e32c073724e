package claim

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryshed/gooseberryshed/platform"
)

// maxBatchBytes bounds the total size of the values in one transaction.
const maxBatchBytes = 256 << 10

// change is a conditional write of one row.
type change struct {
	key     string
	version uint64
	value   []byte
	remove  bool
	done    chan error
}

// committer batches changes into transactions.
type committer struct {
	table platform.Table
	opts  Options

	mu       sync.Mutex
	pending  []*change
	inFlight int

	txns, rows, conflicts atomic.Int64
}

// commit applies a change and returns a *platform.Error on failure, or an
// *Error if the queue is full.
func (c *committer) commit(ctx context.Context, ch *change) error {
	ch.done = make(chan error, 1)
	if !c.enqueue(ch) {
		return &Error{Kind: KindQueueFull}
	}
	select {
	case err := <-ch.done:
		return err
	case <-ctx.Done():
		return &platform.Error{Kind: platform.KindUncertain, Op: "commit " + ch.key, Err: ctx.Err()}
	}
}

func (c *committer) enqueue(ch *change) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) >= c.opts.MaxPending {
		return false
	}
	c.pending = append(c.pending, ch)
	if c.inFlight < c.opts.MaxInFlight {
		c.inFlight++
		go c.flushLoop()
	}
	return true
}

// flushLoop commits batches until the queue is empty.
func (c *committer) flushLoop() {
	for {
		time.Sleep(c.opts.BatchWindow)
		batch := c.nextBatch()
		if len(batch) == 0 {
			return
		}
		c.flush(batch)
	}
}

// nextBatch removes the changes of the next transaction from the queue, in
// order: at most one per row, within the limits on count and size.
func (c *committer) nextBatch() []*change {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) == 0 {
		c.inFlight--
		return nil
	}
	var batch, rest []*change
	rows := map[string]bool{}
	bytes := 0
	for _, ch := range c.pending {
		fits := bytes == 0 || bytes+len(ch.value) <= maxBatchBytes
		if len(batch) >= c.opts.MaxBatch || rows[ch.key] || !fits {
			rest = append(rest, ch)
			continue
		}
		rows[ch.key] = true
		bytes += len(ch.value)
		batch = append(batch, ch)
	}
	c.pending = rest
	return batch
}

// flush commits a batch. Changes whose preconditions fail are removed and the
// rest is retried.
func (c *committer) flush(batch []*change) {
	for len(batch) > 0 {
		err := c.send(batch)
		if !platform.IsKind(err, platform.KindConflict) {
			completeAll(batch, err)
			return
		}
		var remaining []*change
		for _, ch := range batch {
			if len(batch) == 1 || hasConflict(err, ch.key) {
				c.conflicts.Add(1)
				ch.done <- err
				continue
			}
			remaining = append(remaining, ch)
		}
		if len(remaining) == len(batch) {
			c.flushIndividually(batch)
			return
		}
		batch = remaining
	}
}

// flushIndividually commits each change in its own transaction, for a table
// that does not report which rows conflict.
func (c *committer) flushIndividually(batch []*change) {
	for _, ch := range batch {
		ch.done <- c.send([]*change{ch})
	}
}

func (c *committer) send(batch []*change) error {
	txn := platform.Txn{}
	for _, ch := range batch {
		txn.Require = append(txn.Require, platform.Precondition{Key: ch.key, Version: ch.version})
		txn.Writes = append(txn.Writes, platform.Write{Key: ch.key, Value: ch.value, Delete: ch.remove})
	}
	c.txns.Add(1)
	c.rows.Add(int64(len(batch)))
	ctx, cancel := context.WithTimeout(context.Background(), c.opts.TableTimeout)
	defer cancel()
	return c.table.Commit(ctx, txn)
}

func completeAll(batch []*change, err error) {
	for _, ch := range batch {
		ch.done <- err
	}
}

func hasConflict(err error, key string) bool {
	var pe *platform.Error
	if !errors.As(err, &pe) {
		return false
	}
	for _, k := range pe.Keys {
		if k == key {
			return true
		}
	}
	return false
}
