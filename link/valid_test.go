package link_test

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/internal/standin/rawanswer"
	"github.com/gooseberryshed/gooseberryshed/link"
	"github.com/gooseberryshed/gooseberryshed/respsyntax"
)

// validity compares what a pool passes on with the grammar.
type validity struct {
	pool   *link.Pool
	target *rawanswer.Target
	answer []byte
	piece  int
}

func newValidity(t testing.TB) *validity {
	t.Helper()
	v := &validity{pool: link.New(link.Options{})}
	var err error
	v.target, err = rawanswer.Start(func(*fasthttp.RequestHeader, int) (string, int, bool) { return string(v.answer), v.piece, true })
	assert.NilError(t, err)
	t.Cleanup(v.target.Close)
	t.Cleanup(v.pool.Close)
	return v
}

// check sends an answer to the pool in pieces. It fails unless the answer is passed on just if
// it is valid as received, and then whole.
func (v *validity) check(t testing.TB, answer []byte, piece int) {
	t.Helper()
	v.answer, v.piece = answer, piece
	want, valid := rawanswer.Parse(answer)
	resp, err := v.pool.Do(context.Background(), v.target.Addr(), request("GET"), link.RequestOptions{
		NewConnection: true, AllowUnframed: true, Deadline: time.Now().Add(10 * time.Second), IdleTimeout: 10 * time.Second,
	})
	var body []byte
	if err == nil {
		body, err = io.ReadAll(resp.Body)
	}
	switch {
	case err == nil && !valid:
		t.Fatalf("passed on with status %d and body %q, and not valid: %q", resp.Header.StatusCode(), body, answer)
	case err == nil:
		assert.Equal(t, resp.Header.StatusCode(), want.Status, "%q", answer)
		assert.Equal(t, string(body), want.Body, "%q", answer)
	case valid && !unsupported(err, answer):
		t.Fatalf("valid, and not passed on: %v: %q", err, answer)
	}
}

// unsupported reports whether an answer was refused as it announces trailers that the parser
// does not allow.
func unsupported(err error, answer []byte) bool {
	var v *respsyntax.Violation
	return errors.As(err, &v) && v.Rule == respsyntax.RuleUnsupported && bytes.Contains(bytes.ToLower(answer), []byte("\r\ntrailer:"))
}

// maxFuzzed is the size of fuzzed answers, which is within all limits of a pool.
const maxFuzzed = 4 << 10

func FuzzPassedOnWasValidAsReceived(f *testing.F) {
	for _, cases := range [][]rawanswer.Case{rawanswer.Sound, rawanswer.Broken} {
		for _, c := range cases {
			for _, framing := range rawanswer.Framings {
				if c.Has(framing) {
					f.Add([]byte(c.Bytes(framing, "")), uint8(0))
				}
			}
		}
	}
	f.Add([]byte("HTTP/1.1 204 No Content\r\n\r\n"), uint8(3))
	f.Add([]byte("HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n"), uint8(0))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTrailer: Content-Length\r\nContent-Length: 0\r\n\r\n"), uint8(0))
	f.Add([]byte("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"), uint8(0))
	v := newValidity(f)
	f.Fuzz(func(t *testing.T, answer []byte, piece uint8) {
		if len(answer) > maxFuzzed {
			return
		}
		v.check(t, answer, int(piece))
	})
}

// TestPassedOnWasValidAsReceived is a short run of the fuzz target's property with the same
// answers each time.
func TestPassedOnWasValidAsReceived(t *testing.T) {
	const seed, answers = 40, 6000
	t.Logf("seed %d", seed)
	r := rand.New(rand.NewPCG(seed, seed))
	v := newValidity(t)
	for range answers {
		v.check(t, rawanswer.Mutate(r, ""), r.IntN(4)*r.IntN(4))
	}
}
