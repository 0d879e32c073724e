package forward

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/gooseberryshed/gooseberryshed/headers"
	"github.com/gooseberryshed/gooseberryshed/wire"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// Defaults for ServerOptions, and limits of the HTTP server.
const (
	DefaultInterimInterval = 400 * time.Millisecond
	DefaultCheckInterval   = 100 * time.Millisecond
	DefaultStallTimeout    = 40 * time.Second
	DefaultMaxBody         = 16 << 20 // bytes
	serverIdleTimeout      = 90 * time.Second
	serverReadTimeout      = 30 * time.Second
	serverWriteTimeout     = time.Hour // allows large responses to slow callers
	// serverHeaderBytes exceeds the largest response header, so that no part of a
	// header is flushed before the first part of the body.
	serverHeaderBytes = 32 << 10
	// maxBuffered is the size in bytes of the largest response that is buffered
	// completely.
	maxBuffered = 32 << 10
)

// ServerOptions configures a Server. Defaults replace zero values.
type ServerOptions struct {
	// Secrets are the accepted cluster secrets. At least one is required.
	Secrets []string
	// Forwarder runs the attempts. Required.
	Forwarder wire.Forwarder
	// InterimInterval is the interval of interim responses, rounded up to a
	// multiple of CheckInterval. Default 400 ms.
	InterimInterval time.Duration
	// CheckInterval is the interval at which the client's connection is checked.
	// Default 100 ms.
	CheckInterval time.Duration
	// StallTimeout is how long a client may accept no data of a streamed
	// response. It must exceed the write timeout of ingresses for callers.
	// Default 40 s.
	StallTimeout time.Duration
	// MaxBody limits the size of a request body in bytes. Default 16 MiB.
	MaxBody int
}

// ServerStats holds the counters of a Server.
type ServerStats struct {
	Attempts    int64
	Unauthentic int64
	Malformed   int64
	Interim     int64 // interim responses sent
	Abandoned   int64 // attempts whose client closed the connection
	Errors      int64 // failed connections
}

// Server receives attempts from other daemons.
type Server struct {
	opts    ServerOptions
	signers []*signer
	count   struct {
		attempts, unauthentic, malformed, interim, abandoned, errors atomic.Int64
	}
}

// NewServer returns a Server; HTTP returns the HTTP server to listen with.
func NewServer(opts ServerOptions) *Server {
	if opts.InterimInterval <= 0 {
		opts.InterimInterval = DefaultInterimInterval
	}
	if opts.CheckInterval <= 0 {
		opts.CheckInterval = DefaultCheckInterval
	}
	if opts.StallTimeout <= 0 {
		opts.StallTimeout = DefaultStallTimeout
	}
	if opts.MaxBody <= 0 {
		opts.MaxBody = DefaultMaxBody
	}
	s := &Server{opts: opts}
	for _, secret := range opts.Secrets {
		s.signers = append(s.signers, newSigner(secret))
	}
	return s
}

func (s *Server) Stats() ServerStats {
	return ServerStats{
		Attempts:    s.count.attempts.Load(),
		Unauthentic: s.count.unauthentic.Load(),
		Malformed:   s.count.malformed.Load(),
		Interim:     s.count.interim.Load(),
		Abandoned:   s.count.abandoned.Load(),
		Errors:      s.count.errors.Load(),
	}
}

// errorCounter counts connection errors instead of logging them.
type errorCounter struct{ n *atomic.Int64 }

// Printf implements fasthttp.Logger.
func (c errorCounter) Printf(string, ...any) { c.n.Add(1) }

// HTTP returns an HTTP server that serves attempts with Handle.
func (s *Server) HTTP() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               s.Handle,
		Logger:                errorCounter{&s.count.errors},
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		NoDefaultContentType:  true,
		CloseOnShutdown:       true,
		ReduceMemoryUsage:     true, // many peers with few requests each
		MaxRequestBodySize:    s.opts.MaxBody,
		ReadBufferSize:        serverHeaderBytes,
		WriteBufferSize:       serverHeaderBytes,
		ReadTimeout:           serverReadTimeout,
		WriteTimeout:          serverWriteTimeout,
		IdleTimeout:           serverIdleTimeout,
		// Multipart bodies must be forwarded byte for byte.
		DisablePreParseMultipartForm: true,
	}
}

// Handle authenticates and runs one attempt.
func (s *Server) Handle(rc *fasthttp.RequestCtx) {
	s.count.attempts.Add(1)
	h := &rc.Request.Header
	id := string(h.Peek(fieldAttempt))
	if !verify(h, s.signers) {
		s.count.unauthentic.Add(1)
		writeRefusal(&rc.Response, id, wire.Refuse(wire.ReasonUnauthenticatedPeer, "the MAC of the attempt is missing or does not match any cluster secret of the receiving host"))
		return
	}
	att, err := readAttempt(h)
	if err != nil {
		s.count.malformed.Add(1)
		writeRefusal(&rc.Response, id, wire.Refuse(wire.ReasonBadRequest, "%s", err))
		return
	}
	headers.CleanRequest(h)
	s.run(rc, att)
}

func (s *Server) run(rc *fasthttp.RequestCtx, att wire.Attempt) {
	ctx, cancel := context.WithCancel(context.Background())
	w := s.startMonitor(rc.Conn(), cancel)
	response, err := s.opts.Forwarder.Forward(ctx, att, &rc.Request)
	if err != nil {
		w.stop()
		cancel()
		writeRefusal(&rc.Response, att.ID.String(), asRefusal(err))
		return
	}
	s.reply(rc, att, response, w, cancel)
}

// reply passes the response to the HTTP server. A small response is buffered
// first, so that a truncated one becomes a refusal; others are streamed.
func (s *Server) reply(rc *fasthttp.RequestCtx, att wire.Attempt, response *wire.Response, w *monitor, cancel context.CancelFunc) {
	body := &monitoredBody{ReadCloser: response.Body, monitor: w, cancel: cancel}
	id := att.ID.String()
	resp := &rc.Response
	buffered := response.Length > 0 && response.Length <= maxBuffered && !rc.IsHead()
	var data []byte
	if buffered {
		var err error
		data, err = readBuffered(body, response.Length)
		if err != nil {
			writeRefusal(resp, id, wire.RefuseUnknown(wire.ReasonTargetFailed, "reading the target's response body of %d bytes failed: %s", response.Length, err))
			return
		}
	}
	response.Header.CopyTo(&resp.Header)
	meta := reply{epoch: response.Epoch, load: response.Load, length: -1}
	switch {
	case buffered:
		resp.SetBodyRaw(data)
	case rc.IsHead() || response.Length == 0:
		w.stopInterim()
		resp.SetBodyStream(body, response.Length)
	default:
		meta.length = response.Length
		resp.SetBodyStream(body, chunked)
	}
	meta.write(&resp.Header, id)
}

// chunked is the length that makes the HTTP server send the body in chunks and
// flush each of them, so that the client receives data without delay.
const chunked = -1

func readBuffered(body *monitoredBody, length int) ([]byte, error) {
	defer body.Close()
	data := make([]byte, length)
	if _, err := io.ReadFull(body, data); err != nil {
		return nil, err
	}
	// One more read verifies that the body ends here.
	var surplus [1]byte
	switch _, err := io.ReadFull(body.ReadCloser, surplus[:]); err {
	case io.EOF:
		return data, nil
	case nil:
		return nil, errors.Errorf("the response body is longer than the declared %d bytes", length)
	default:
		return nil, errors.Wrapf(err, "verify that the response body ends after %d bytes", length)
	}
}

func asRefusal(err error) *wire.Refusal {
	if ref := wire.AsRefusal(err); ref != nil {
		return ref
	}
	return wire.RefuseUnknown(wire.ReasonTargetFailed, "%s", err)
}

// monitoredBody stops the monitor and cancels the attempt's context when the body
// is closed.
type monitoredBody struct {
	io.ReadCloser
	monitor *monitor
	cancel  context.CancelFunc
}

// Read implements io.Reader. The HTTP server sends the header only after the
// first read returns; interim responses are sent until then.
func (b *monitoredBody) Read(p []byte) (int, error) {
	b.monitor.writing.Store(false)
	n, err := b.ReadCloser.Read(p)
	b.monitor.stopInterim()
	b.monitor.writeStarted(n)
	return n, err
}

// Close implements io.Closer.
func (b *monitoredBody) Close() error {
	b.monitor.stop()
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}
