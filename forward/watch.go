package forward

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gooseberryshed/gooseberryshed/link"
)

// watch looks after the client's connection while an attempt runs: it sends
// interim answers until the header is ready, cancels the attempt when the
// client closes the connection, and breaks the connection when the client
// takes nothing of the answer for too long, as one on a host that died.
type watch struct {
	s        *Server
	conn     net.Conn
	cancel   context.CancelFunc
	done     chan struct{}
	stopOnce sync.Once

	// waiting is set while the HTTP server writes a part of the answer, since
	// the time in since.
	waiting atomic.Bool
	since   atomic.Int64 // Unix nanoseconds

	mu    sync.Mutex // held while writing an interim answer
	ready bool
}

var interimAnswer = []byte("HTTP/1.1 102 Processing\r\n\r\n")

func (s *Server) watch(conn net.Conn, cancel context.CancelFunc) *watch {
	w := &watch{s: s, conn: conn, cancel: cancel, done: make(chan struct{})}
	go w.loop()
	return w
}

func (w *watch) loop() {
	ticker := time.NewTicker(w.s.opts.Watch)
	defer ticker.Stop()
	nextInterim := time.Now().Add(w.s.opts.Interim)
	for {
		select {
		case <-w.done:
			return
		case now := <-ticker.C:
			if link.Peek(w.conn) != link.PeerIdle || w.isStalled(now) {
				w.abandon()
				return
			}
			if !now.Before(nextInterim) {
				w.sendInterim()
				nextInterim = now.Add(w.s.opts.Interim)
			}
		}
	}
}

// written records that a part of the answer is about to be written.
func (w *watch) written(n int) {
	if n > 0 {
		w.since.Store(time.Now().UnixNano())
		w.waiting.Store(true)
	}
}

func (w *watch) isStalled(now time.Time) bool {
	return w.waiting.Load() && now.Sub(time.Unix(0, w.since.Load())) > w.s.opts.Stall
}

// abandon cancels the attempt and ends a write that is under way.
func (w *watch) abandon() {
	w.s.count.abandoned.Add(1)
	w.cancel()
	w.conn.SetDeadline(time.Unix(1, 0)) //nolint:errcheck // only a closed connection fails
}

func (w *watch) sendInterim() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ready {
		return
	}
	w.s.count.interim.Add(1)
	w.conn.Write(interimAnswer) //nolint:errcheck // the next look finds a broken connection
}

// headerReady ends the interim answers; none is being written afterwards.
func (w *watch) headerReady() {
	w.mu.Lock()
	w.ready = true
	w.mu.Unlock()
}

// stop ends the watch; no interim answer is being written afterwards.
func (w *watch) stop() {
	w.headerReady()
	w.stopOnce.Do(func() { close(w.done) })
}
