package hostd

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/gooseberryshed/gooseberryshed/offerlog"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

// Times and sizes of the attempts that a gate holds for other hosts.
const (
	// heartbeatInterval is how often a gate tells that an attempt is in progress, by
	// an interim response: 102 if the attempt has been sent to the target, and 100 if
	// it waits for a slot.
	heartbeatInterval = 500 * time.Millisecond
	// reconnectGrace is how long an attempt goes on without a connection. The host that
	// made it offers it again within a few round trips.
	reconnectGrace = 100 * time.Millisecond
	// replyRetention is how long a reply is held at least after its end. A host detects
	// a silent connection earlier. A reply to an attempt that must not run twice is held
	// until the deadline of the attempt, as the path to its host may be cut for longer.
	replyRetention = 4 * time.Second
	// maxRetainedReply bounds the bytes of one retained answer, and maxRetainedReads and
	// maxRetainedReplies those of all answers to repeatable attempts and to others. The
	// latter is 2% of the memory of the smallest host, 184 MB, and holds the answers of
	// 40 orders a second of 1 KB for 30 s.
	maxRetainedReply   = 256 << 10
	maxRetainedReads   = 1 << 20
	maxRetainedReplies = 4 << 20
	// retainedReplyOverhead is counted for a retained reply besides its body.
	retainedReplyOverhead = 2 << 10
)

// runs holds the attempts of other hosts at a gate, and their replies for a while, so
// that a host whose connection has broken or gone silent gets the reply on another one.
// It has one entry for each attempt in progress; the retained replies are bounded.
type runs struct {
	// forbid keeps an attempt from being sent to the target from now on. It reports whether
	// it already has been.
	forbid func(attempt string) (sent bool)
	// onDropped is called with a run that must not be repeated and whose reply is not held
	// although it may be asked for.
	onDropped func(r *attemptRun)

	mu        sync.Mutex
	byAttempt map[string]*attemptRun
	// reads are the finished runs of repeatable attempts, and once those of others.
	reads, once retainedRuns
}

// retainedRuns are finished runs whose replies are held, in the order of their ends.
type retainedRuns struct {
	runs         []*attemptRun
	bytes, limit int
}

// attemptRun is an attempt of another host.
type attemptRun struct {
	Forward
	// again is set once the attempt has been offered again.
	again bool
	// sent is closed when the request is sent to the target, and done when reply is
	// set.
	sent, done chan struct{}
	reply      Reply
	// deadline is when the caller no longer waits, and heldUntil is when the reply is
	// dropped.
	deadline, heldUntil time.Time
	// connections is the number of connections that wait for the reply. Without any
	// the run is canceled.
	connections int
	cancel      context.CancelFunc
}

func newRuns(forbid func(attempt string) (sent bool)) *runs {
	return &runs{
		forbid:    forbid,
		onDropped: func(*attemptRun) {},
		byAttempt: map[string]*attemptRun{},
		reads:     retainedRuns{limit: maxRetainedReads},
		once:      retainedRuns{limit: maxRetainedReplies},
	}
}

// start begins an attempt, for one connection. forward makes it. An offer of an attempt
// that is in progress is joined to that one, and one that is made again also to a reply.
func (rs *runs) start(f Forward, forward func(ctx context.Context, onSend func()) Reply) *attemptRun {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	again := f.Incarnation != 0
	if r := rs.join(f); r != nil {
		return r
	}
	old := rs.byAttempt[f.Attempt]
	ctx, cancel := context.WithCancel(context.Background())
	deadline := time.Now().Add(time.Duration(f.TimeLeftMs) * time.Millisecond)
	r := &attemptRun{Forward: f, again: again, sent: make(chan struct{}), done: make(chan struct{}), deadline: deadline, connections: 1, cancel: cancel}
	if old == nil || old.finished() && f.Repeatable {
		rs.byAttempt[f.Attempt] = r
	}
	go func() {
		defer cancel()
		rs.finish(r, forward(ctx, sync.OnceFunc(func() { close(r.sent) })))
	}()
	return r
}

// join adds a connection to the run of an attempt. It returns nil if there is none that a
// connection of f may join. rs.mu must be held.
func (rs *runs) join(f Forward) *attemptRun {
	again := f.Incarnation != 0
	r := rs.byAttempt[f.Attempt]
	if r == nil || r.Fingerprint != f.Fingerprint || !again && r.finished() {
		return nil
	}
	r.connections++
	r.again = r.again || again
	return r
}

// find adds a connection to the run of an attempt, if there is one, and returns what the gate's
// record says of the attempt. A run may begin or end between the two; they are read until the
// record is the same before and after.
func (rs *runs) find(f Forward, recordOf func(attempt string) offerlog.Record) (*attemptRun, offerlog.Record) {
	for {
		before := recordOf(f.Attempt)
		rs.mu.Lock()
		r := rs.join(f)
		rs.mu.Unlock()
		if after := recordOf(f.Attempt); r != nil || after == before {
			return r, after
		}
	}
}

// leave removes a connection from an attempt.
func (rs *runs) leave(r *attemptRun) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if r.connections--; r.connections == 0 {
		r.cancel()
		if r.finished() && rs.byAttempt[r.Attempt] != r {
			r.reply.Answer.release() // it is not retained
		}
	}
}

func (r *attemptRun) finished() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// size returns the bytes of a reply that count towards the bound.
func (r *attemptRun) size() int {
	if r.reply.Answer == nil {
		return retainedReplyOverhead
	}
	return cap(r.reply.Answer.Body) + retainedReplyOverhead
}

// finish sets the reply of an attempt and retains it. A refusal that states that the
// request has not run is not retained, as the attempt can be made again. If it already has
// been, an earlier offer may yet arrive, and must not run after the refusal; the refusal then
// tells that the attempt is settled.
func (rs *runs) finish(r *attemptRun, reply Reply) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	defer close(r.done)
	now := time.Now()
	if runStateOf(reply) == wire.NotRun && r.again && !r.Repeatable {
		if reply.Settled = !rs.forbid(r.Attempt); !reply.Settled {
			reply.Refusal.Run = wire.Unknown
		}
	}
	r.reply, r.heldUntil = reply, now.Add(replyRetention)
	if rs.byAttempt[r.Attempt] != r {
		if r.connections == 0 {
			reply.Answer.release() // nobody waits for it any more
		}
		return
	}
	switch {
	case runStateOf(reply) == wire.NotRun:
		delete(rs.byAttempt, r.Attempt)
	case r.size() > maxRetainedReply:
		delete(rs.byAttempt, r.Attempt)
		if !r.Repeatable {
			rs.onDropped(r)
		}
		if r.connections == 0 {
			reply.Answer.release()
		}
	case r.Repeatable:
		rs.retain(&rs.reads, r, now)
	default:
		if r.deadline.After(r.heldUntil) {
			r.heldUntil = r.deadline
		}
		rs.retain(&rs.once, r, now)
	}
}

// sweep drops expired replies.
func (rs *runs) sweep(now time.Time) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	for _, held := range []*retainedRuns{&rs.reads, &rs.once} {
		kept := held.runs[:0]
		for _, r := range held.runs {
			if now.After(r.heldUntil) {
				rs.drop(held, r)
			} else {
				kept = append(kept, r)
			}
		}
		clear(held.runs[len(kept):])
		held.runs = kept
	}
}

// heldBytes returns the bytes of all replies that are held.
func (rs *runs) heldBytes() int64 {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return int64(rs.reads.bytes + rs.once.bytes)
}

// retain holds the reply of a run. The oldest replies are dropped if all are too large
// together. rs.mu must be held.
func (rs *runs) retain(held *retainedRuns, r *attemptRun, now time.Time) {
	held.runs = append(held.runs, r)
	held.bytes += r.size()
	n := 0
	for ; held.bytes > held.limit; n++ {
		old := held.runs[n]
		rs.drop(held, old)
		if !old.Repeatable && now.Before(old.heldUntil) {
			rs.onDropped(old)
		}
	}
	clear(held.runs[:n])
	held.runs = held.runs[n:]
}

// drop drops the reply of a run. rs.mu must be held.
func (rs *runs) drop(held *retainedRuns, r *attemptRun) {
	held.bytes -= r.size()
	r.reply.Answer.release()
	if rs.byAttempt[r.Attempt] == r {
		delete(rs.byAttempt, r.Attempt)
	}
}

// serve sends heartbeats on a connection until the attempt has a reply, and returns it.
// ok is false if the connection ends first.
func (rs *runs) serve(ctx context.Context, r *attemptRun, sendInterim func(status int)) (reply Reply, ok bool) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	status, sent := fasthttp.StatusContinue, r.sent
	for {
		select {
		case <-r.done:
			reply := rs.copyReply(r)
			rs.leave(r)
			return reply, true
		case <-ctx.Done():
			time.AfterFunc(reconnectGrace, func() { rs.leave(r) })
			return Reply{}, false
		case <-sent:
			status, sent = fasthttp.StatusProcessing, nil
		case <-ticker.C:
		}
		sendInterim(status)
	}
}

// copyReply returns a copy of a reply, as several connections may wait for it. The copy is
// a user of the answer's memory.
func (rs *runs) copyReply(r *attemptRun) Reply {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	reply := r.reply
	if r.reply.Answer != nil {
		reply.Answer = &Answer{Body: r.reply.Answer.Body, lease: r.reply.Answer.lease}
		if reply.Answer.lease != nil {
			reply.Answer.lease.Retain()
		}
		r.reply.Answer.Header.CopyTo(&reply.Answer.Header)
	}
	return reply
}
