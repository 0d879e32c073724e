package hostd

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

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
	// replyRetention is how long a reply is held after its end. A host detects
	// a silent connection earlier.
	replyRetention = 4 * time.Second
	// maxRetainedReply and maxRetainedReplies bound the bytes of one retained answer
	// and of all of them.
	maxRetainedReply   = 256 << 10
	maxRetainedReplies = 1 << 20
	// retainedReplyOverhead is counted for a retained reply besides its body.
	retainedReplyOverhead = 2 << 10
)

// runs holds the attempts of other hosts at a gate, and their replies for a while, so
// that a host whose connection has broken or gone silent gets the reply on another one.
// It has one entry for each attempt in progress; the retained replies are bounded.
type runs struct {
	// forbid keeps an attempt from being sent to the target from now on.
	forbid func(attempt string)

	mu        sync.Mutex
	byAttempt map[string]*attemptRun
	// retained are the finished runs, the oldest first, and bytes their size.
	retained []*attemptRun
	bytes    int
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
	finishedAt time.Time
	// connections is the number of connections that wait for the reply. Without any
	// the run is canceled.
	connections int
	cancel      context.CancelFunc
}

func newRuns(forbid func(attempt string)) *runs {
	return &runs{forbid: forbid, byAttempt: map[string]*attemptRun{}}
}

// start begins an attempt, for one connection. forward makes it. An offer of an attempt
// that is in progress is joined to that one, and one that is made again also to a reply.
func (rs *runs) start(f Forward, forward func(ctx context.Context, onSend func()) Reply) *attemptRun {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	again := f.Incarnation != 0
	old := rs.byAttempt[f.Attempt]
	if old != nil && old.Fingerprint == f.Fingerprint && (again || !old.finished()) {
		old.connections++
		old.again = old.again || again
		return old
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &attemptRun{Forward: f, again: again, sent: make(chan struct{}), done: make(chan struct{}), connections: 1, cancel: cancel}
	if old == nil || old.finished() && f.Repeatable {
		rs.byAttempt[f.Attempt] = r
	}
	go func() {
		defer cancel()
		rs.finish(r, forward(ctx, sync.OnceFunc(func() { close(r.sent) })))
	}()
	return r
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
	return len(r.reply.Answer.Body) + retainedReplyOverhead
}

// finish sets the reply of an attempt and retains it. A refusal that states that the
// request has not run is not retained, as the attempt can be made again. If it already has
// been, an earlier offer may yet arrive, and must not run after the refusal.
func (rs *runs) finish(r *attemptRun, reply Reply) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	defer close(r.done)
	r.reply, r.finishedAt = reply, time.Now()
	notRun := runStateOf(reply) == wire.NotRun
	if notRun && r.again && !r.Repeatable {
		rs.forbid(r.Attempt)
	}
	if rs.byAttempt[r.Attempt] != r {
		return
	}
	if notRun || r.size() > maxRetainedReply {
		delete(rs.byAttempt, r.Attempt)
		return
	}
	rs.retained = append(rs.retained, r)
	rs.bytes += r.size()
	rs.expire(r.finishedAt)
}

// sweep drops expired replies.
func (rs *runs) sweep(now time.Time) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.expire(now)
}

// expire drops the oldest replies while they are too old or too large together. rs.mu
// must be held.
func (rs *runs) expire(now time.Time) {
	n := 0
	for _, r := range rs.retained {
		if rs.bytes <= maxRetainedReplies && now.Sub(r.finishedAt) <= replyRetention {
			break
		}
		rs.bytes -= r.size()
		r.reply.Answer.release()
		if rs.byAttempt[r.Attempt] == r {
			delete(rs.byAttempt, r.Attempt)
		}
		n++
	}
	clear(rs.retained[:n])
	rs.retained = rs.retained[n:]
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
