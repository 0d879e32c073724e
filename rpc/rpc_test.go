package rpc

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/peertls"
)

type echo struct {
	Text string `json:"text"`
}

func startServer(t testing.TB, secrets ...string) (addr string, srv *Server) {
	t.Helper()
	id, err := peertls.New(secrets)
	assert.NilError(t, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv = NewServer(id.Server())
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	srv.Handle("silent", Typed(func(context.Context, echo) (echo, error) {
		<-release
		return echo{}, nil
	}))
	srv.Handle("echo", Typed(func(_ context.Context, p echo) (echo, error) { return p, nil }))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go srv.Serve(ctx, l)
	return l.Addr().String(), srv
}

func newTestClient(t testing.TB, secrets ...string) *Client {
	t.Helper()
	id, err := peertls.New(secrets)
	assert.NilError(t, err)
	c := NewClient(id.Client(), nil)
	t.Cleanup(c.Close)
	return c
}

const (
	secretA = "0123456789abcdef-a"
	secretB = "0123456789abcdef-b"
)

func TestCallReturnsReply(t *testing.T) {
	addr, _ := startServer(t, secretA)
	var got echo
	assert.NilError(t, newTestClient(t, secretA).Call(context.Background(), addr, "echo", echo{"hi"}, &got))
	assert.Equal(t, got.Text, "hi")
}

func TestUnknownSecretIsRejected(t *testing.T) {
	addr, srv := startServer(t, secretA)
	err := newTestClient(t, secretB).Call(context.Background(), addr, "echo", echo{"hi"}, nil)
	assert.Assert(t, err != nil)
	assert.Equal(t, srv.Calls(), int64(0))
}

func TestRotationAcceptsBothSecrets(t *testing.T) {
	addr, _ := startServer(t, secretB, secretA)
	assert.NilError(t, newTestClient(t, secretA, secretB).Call(context.Background(), addr, "echo", echo{"hi"}, nil))
}

func TestUnknownMethodSuggestsUpgrade(t *testing.T) {
	addr, _ := startServer(t, secretA)
	err := newTestClient(t, secretA).Call(context.Background(), addr, "nope", echo{}, nil)
	assert.ErrorContains(t, err, "upgrade this daemon")
}

func TestOversizedMessageIsRejected(t *testing.T) {
	addr, _ := startServer(t, secretA)
	big := echo{Text: string(make([]byte, MaxMessageBytes))}
	err := newTestClient(t, secretA).Call(context.Background(), addr, "echo", big, nil)
	assert.ErrorContains(t, err, "exceeds")
}

// TestUnresponsiveConnectionIsReplaced checks that a connection without replies
// is closed after one call that timed out, and the next call dials a new one.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	addr, _ := startServer(t, secretA)
	c := newTestClient(t, secretA)
	assert.NilError(t, c.Call(context.Background(), addr, "echo", echo{"a"}, nil))
	first := c.peer(addr).conn
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, c.Call(ctx, addr, "silent", echo{"b"}, nil), context.DeadlineExceeded)
	assert.NilError(t, c.Call(context.Background(), addr, "echo", echo{"c"}, nil))
	assert.Assert(t, c.peer(addr).conn != first)
}

// TestCallersDoNotQueueBehindUnresponsivePeer checks that concurrent callers of
// a peer that accepts connections but never responds each fail at their own deadline.
func TestCallersDoNotQueueBehindUnresponsivePeer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	c := newTestClient(t, secretA)
	const callers = 50
	const timeout = 100 * time.Millisecond
	started := time.Now()
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			c.Call(ctx, l.Addr().String(), "echo", echo{}, nil)
		})
	}
	wg.Wait()
	// In sequence they would take callers*patience.
	assert.Assert(t, time.Since(started) < callers*timeout/2)
}

func FuzzReadObject(f *testing.F) {
	f.Add([]byte{2, '{', '}'})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Add([]byte{5, '{'})
	f.Fuzz(func(t *testing.T, data []byte) {
		a, b := net.Pipe()
		go func() {
			a.Write(data)
			a.Close()
		}()
		var v echo
		newStream(b).ReadObject(&v)
		b.Close()
	})
}

func BenchmarkCall(b *testing.B) {
	addr, _ := startServer(b, secretA)
	c := newTestClient(b, secretA)
	ctx := context.Background()
	assert.NilError(b, c.Call(ctx, addr, "echo", echo{"a"}, nil))
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			var got echo
			if err := c.Call(ctx, addr, "echo", echo{"hello"}, &got); err != nil {
				b.Fatal(err)
			}
		}
	})
}
