package forward

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gooseberryshed/gooseberryshed/link"
)

// monitor supervises the client's connection while an attempt runs. It sends
// interim responses until the response header is ready, cancels the attempt if
// the client closes the connection, and aborts the connection if the client
// accepts no data of the response for too long, for example because its host has
// failed.
type monitor struct {
	server   *Server
	conn     net.Conn
	cancel   context.CancelFunc
	done     chan struct{}
	stopOnce sync.Once

	// writing is set while the HTTP server writes a part of the response, since
	// the time in writeSince.
	writing    atomic.Bool
	writeSince atomic.Int64 // Unix nanoseconds

	mu             sync.Mutex // held while writing an interim response
	interimStopped bool
}

var interimResponse = []byte("HTTP/1.1 102 Processing\r\n\r\n")

func (s *Server) startMonitor(conn net.Conn, cancel context.CancelFunc) *monitor {
	m := &monitor{server: s, conn: conn, cancel: cancel, done: make(chan struct{})}
	go m.loop()
	return m
}

func (m *monitor) loop() {
	ticker := time.NewTicker(m.server.opts.CheckInterval)
	defer ticker.Stop()
	nextInterim := time.Now().Add(m.server.opts.InterimInterval)
	for {
		select {
		case <-m.done:
			return
		case now := <-ticker.C:
			if link.Peek(m.conn) != link.PeerIdle || m.isStalled(now) {
				m.abort()
				return
			}
			if !now.Before(nextInterim) {
				m.sendInterim()
				nextInterim = now.Add(m.server.opts.InterimInterval)
			}
		}
	}
}

// writeStarted records that a part of the response is about to be written.
func (m *monitor) writeStarted(n int) {
	if n > 0 {
		m.writeSince.Store(time.Now().UnixNano())
		m.writing.Store(true)
	}
}

func (m *monitor) isStalled(now time.Time) bool {
	return m.writing.Load() && now.Sub(time.Unix(0, m.writeSince.Load())) > m.server.opts.StallTimeout
}

// abort cancels the attempt and interrupts a write in progress.
func (m *monitor) abort() {
	m.server.count.abandoned.Add(1)
	m.cancel()
	m.conn.SetDeadline(time.Unix(1, 0)) //nolint:errcheck // only a closed connection fails
}

func (m *monitor) sendInterim() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.interimStopped {
		return
	}
	m.server.count.interim.Add(1)
	m.conn.Write(interimResponse) //nolint:errcheck // the next check detects a broken connection
}

// stopInterim ends the interim responses. After it returns, none is being written.
func (m *monitor) stopInterim() {
	m.mu.Lock()
	m.interimStopped = true
	m.mu.Unlock()
}

// stop stops the monitor. After it returns, no interim response is being written.
func (m *monitor) stop() {
	m.stopInterim()
	m.stopOnce.Do(func() { close(m.done) })
}
