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

func start(t testing.TB, secrets ...string) (addr string, srv *Server) {
	t.Helper()
	id, err := peertls.New(secrets)
	assert.NilError(t, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv = NewServer(id.Server())
	silent := make(chan struct{})
	t.Cleanup(func() { close(silent) })
	srv.Handle("silent", Typed(func(context.Context, echo) (echo, error) {
		<-silent
		return echo{}, nil
	}))
	srv.Handle("echo", Typed(func(_ context.Context, p echo) (echo, error) { return p, nil }))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go srv.Serve(ctx, l)
	return l.Addr().String(), srv
}

func client(t testing.TB, secrets ...string) *Client {
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

func TestCallEchoes(t *testing.T) {
	addr, _ := start(t, secretA)
	var got echo
	assert.NilError(t, client(t, secretA).Call(context.Background(), addr, "echo", echo{"hi"}, &got))
	assert.Equal(t, got.Text, "hi")
}

func TestOtherSecretIsRefused(t *testing.T) {
	addr, srv := start(t, secretA)
	err := client(t, secretB).Call(context.Background(), addr, "echo", echo{"hi"}, nil)
	assert.Assert(t, err != nil)
	assert.Equal(t, srv.Calls(), int64(0))
}

func TestRotationAcceptsBothSecrets(t *testing.T) {
	addr, _ := start(t, secretB, secretA)
	assert.NilError(t, client(t, secretA, secretB).Call(context.Background(), addr, "echo", echo{"hi"}, nil))
}

func TestUnknownMethodNamesRemedy(t *testing.T) {
	addr, _ := start(t, secretA)
	err := client(t, secretA).Call(context.Background(), addr, "nope", echo{}, nil)
	assert.ErrorContains(t, err, "upgrade this daemon")
}

func TestOversizedMessageIsRefused(t *testing.T) {
	addr, _ := start(t, secretA)
	big := echo{Text: string(make([]byte, MaxMessageBytes))}
	err := client(t, secretA).Call(context.Background(), addr, "echo", big, nil)
	assert.ErrorContains(t, err, "exceeds")
}

// TestSilentConnectionIsReplaced proves that a connection that has gone silent
// is given up after one timed-out call.
func TestSilentConnectionIsReplaced(t *testing.T) {
	addr, _ := start(t, secretA)
	c := client(t, secretA)
	assert.NilError(t, c.Call(context.Background(), addr, "echo", echo{"a"}, nil))
	first := c.peer(addr).conn
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, c.Call(ctx, addr, "silent", echo{"b"}, nil), context.DeadlineExceeded)
	assert.NilError(t, c.Call(context.Background(), addr, "echo", echo{"c"}, nil))
	assert.Assert(t, c.peer(addr).conn != first)
}

// TestCallersDoNotQueueBehindASilentPeer proves that many callers of a peer that
// accepts but never answers all fail by their own deadlines.
func TestCallersDoNotQueueBehindASilentPeer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	c := client(t, secretA)
	const callers = 50
	const patience = 100 * time.Millisecond
	started := time.Now()
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			c.Call(ctx, l.Addr().String(), "echo", echo{}, nil)
		})
	}
	wg.Wait()
	// One after another they would take callers*patience.
	assert.Assert(t, time.Since(started) < callers*patience/2)
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
	addr, _ := start(b, secretA)
	c := client(b, secretA)
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
