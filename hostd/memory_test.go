package hostd

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/memory"
)

// Guards against answers that leave the account while a caller still reads them, and
// against those that never leave it: a reply that is retained stays until it is dropped,
// and one that is too large for that until its last copy has been written.
func TestReplyIsCountedWhileItIsInUse(t *testing.T) {
	for _, c := range []struct {
		name     string
		bytes    int64
		retained bool
	}{{"retained", maxRetainedReply / 2, true}, {"too large", 2 * maxRetainedReply, false}} {
		t.Run(c.name, func(t *testing.T) {
			account := memory.NewAccount(memory.Limits{Bytes: 64 << 20, LargeBytes: 64 << 20, Connections: 1})
			rs := newRuns(func(string) bool { return false })
			r := rs.start(Forward{Attempt: "a", Fingerprint: 1}, func(context.Context, func()) Reply {
				lease := account.Lease()
				_, err := lease.Grow(time.Now(), c.bytes)
				assert.Check(t, err)
				return Reply{Answer: newAnswer(make([]byte, c.bytes), lease)}
			})
			reply, ok := rs.serve(context.Background(), r, func(int) {})
			assert.Assert(t, ok)
			assert.Equal(t, account.Stats().Used, c.bytes, "the copy is not written yet")
			reply.Answer.lease.Release() // it has been written
			if c.retained {
				assert.Equal(t, account.Stats().Used, c.bytes)
				rs.sweep(time.Now().Add(time.Hour))
			}
			assert.Equal(t, account.Stats().Used, int64(0))
		})
	}
}
