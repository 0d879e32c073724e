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

// Defaults of ServerOptions.
const (
	DefaultInterim     = 400 * time.Millisecond
	DefaultWatch       = 100 * time.Millisecond
	DefaultStall       = 40 * time.Second
	DefaultMaxBody     = 16 << 20 // bytes
	serverIdleTimeout  = 90 * time.Second
	serverReadTimeout  = 30 * time.Second
	serverWriteTimeout = time.Hour // a large answer to a slow caller
	// serverHeaderBytes exceeds the largest header of an answer, so that no
	// part of a header leaves the buffer before the body's first part.
	serverHeaderBytes = 32 << 10
	// maxBuffered is the largest answer that is read whole before it is sent.
	maxBuffered = 32 << 10
)

// ServerOptions configures a Server. Zero fields take the documented defaults.
type ServerOptions struct {
	// Secrets are the accepted cluster secrets. At least one must be given.
	Secrets []string
	// Next runs the attempts. It must be set.
	Next wire.Forwarder
	// Interim is the interval of interim answers, rounded up to a multiple of
	// Watch. Default 400 ms.
	Interim time.Duration
	// Watch is how often the client's end of the connection is looked at.
	// Default 100 ms.
	Watch time.Duration
	// Stall is how long a client may take none of a streamed answer. It must
	// exceed what ingresses allow their callers. Default 40 s.
	Stall time.Duration
	// MaxBody bounds a request body in bytes. Default 16 MiB.
	MaxBody int
}

// ServerStats counts the events of a server.
type ServerStats struct {
	Attempts    int64
	Unauthentic int64
	Malformed   int64
	Interim     int64 // interim answers sent
	Abandoned   int64 // attempts whose client closed the connection
	Errors      int64 // connections that broke
}

// Server takes attempts from other daemons.
type Server struct {
	opts    ServerOptions
	signers []*signer
	count   struct {
		attempts, unauthentic, malformed, interim, abandoned, errors atomic.Int64
	}
}

// NewServer returns a server; HTTP gives its listener side.
func NewServer(opts ServerOptions) *Server {
	if opts.Interim <= 0 {
		opts.Interim = DefaultInterim
	}
	if opts.Watch <= 0 {
		opts.Watch = DefaultWatch
	}
	if opts.Stall <= 0 {
		opts.Stall = DefaultStall
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

// Stats returns the counts so far.
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

// errorCounter counts what the HTTP server would log per connection.
type errorCounter struct{ n *atomic.Int64 }

// Printf implements fasthttp.Logger.
func (c errorCounter) Printf(string, ...any) { c.n.Add(1) }

// HTTP returns an HTTP server for the forward address.
func (s *Server) HTTP() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               s.Handle,
		Logger:                errorCounter{&s.count.errors},
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		NoDefaultContentType:  true,
		CloseOnShutdown:       true,
		ReduceMemoryUsage:     true, // many peers, each seldom
		MaxRequestBodySize:    s.opts.MaxBody,
		ReadBufferSize:        serverHeaderBytes,
		WriteBufferSize:       serverHeaderBytes,
		ReadTimeout:           serverReadTimeout,
		WriteTimeout:          serverWriteTimeout,
		IdleTimeout:           serverIdleTimeout,
		// A multipart body must pass through byte for byte.
		DisablePreParseMultipartForm: true,
	}
}

// Handle serves one attempt.
func (s *Server) Handle(rc *fasthttp.RequestCtx) {
	s.count.attempts.Add(1)
	h := &rc.Request.Header
	id := string(h.Peek(fieldAttempt))
	if !verify(h, s.signers) {
		s.count.unauthentic.Add(1)
		writeRefusal(&rc.Response, id, wire.Refuse(wire.ReasonUnauthentic, "the sender did not prove that it belongs to the cluster"))
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
	w := s.watch(rc.Conn(), cancel)
	answer, err := s.opts.Next.Forward(ctx, att, &rc.Request)
	if err != nil {
		w.stop()
		cancel()
		writeRefusal(&rc.Response, att.ID.String(), asRefusal(err))
		return
	}
	s.reply(rc, att, answer, w, cancel)
}

// reply hands the answer to the HTTP server. A small one is read to its end
// first, so that one cut short becomes a refusal; others are streamed.
func (s *Server) reply(rc *fasthttp.RequestCtx, att wire.Attempt, answer *wire.Answer, w *watch, cancel context.CancelFunc) {
	body := &watchedBody{ReadCloser: answer.Body, w: w, cancel: cancel}
	id := att.ID.String()
	resp := &rc.Response
	small := answer.Length > 0 && answer.Length <= maxBuffered && !rc.IsHead()
	var data []byte
	if small {
		var err error
		data, err = readSmall(body, answer.Length)
		if err != nil {
			writeRefusal(resp, id, wire.RefuseUnknown(wire.ReasonTargetFailed, "answer cut short: %s", err))
			return
		}
	}
	answer.Header.CopyTo(&resp.Header)
	told := reply{epoch: answer.Epoch, load: answer.Load, length: -1}
	switch {
	case small:
		resp.SetBodyRaw(data)
	case rc.IsHead() || answer.Length == 0:
		w.headerReady()
		resp.SetBodyStream(body, answer.Length)
	default:
		told.length = answer.Length
		resp.SetBodyStream(body, chunked)
	}
	told.write(&resp.Header, id)
}

// chunked makes the HTTP server send chunks and flush each, so that the client
// sees progress as it is made.
const chunked = -1

func readSmall(body *watchedBody, length int) ([]byte, error) {
	defer body.Close()
	data := make([]byte, length)
	if _, err := io.ReadFull(body, data); err != nil {
		return nil, err
	}
	// The end of the answer is verified by one more read.
	var surplus [1]byte
	if _, err := body.ReadCloser.Read(surplus[:]); err != io.EOF {
		return nil, errors.Wrap(err, "no end where it should be")
	}
	return data, nil
}

func asRefusal(err error) *wire.Refusal {
	if ref := wire.AsRefusal(err); ref != nil {
		return ref
	}
	return wire.RefuseUnknown(wire.ReasonTargetFailed, "%s", err)
}

// watchedBody ends the watch and the attempt's context with the body.
type watchedBody struct {
	io.ReadCloser
	w      *watch
	cancel context.CancelFunc
}

// Read implements io.Reader. The HTTP server holds the header back until the
// first read returns; interim answers go on until then.
func (b *watchedBody) Read(p []byte) (int, error) {
	b.w.waiting.Store(false)
	n, err := b.ReadCloser.Read(p)
	b.w.headerReady()
	b.w.written(n)
	return n, err
}

// Close implements io.Closer.
func (b *watchedBody) Close() error {
	b.w.stop()
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}
