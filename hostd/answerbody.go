package hostd

import (
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryshed/gooseberryshed/bodybuf"
	"github.com/gooseberryshed/gooseberryshed/link"
	"github.com/gooseberryshed/gooseberryshed/memory"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
)

const (
	// maxAnswerBytes is the maximum size of one answer.
	maxAnswerBytes = 16 << 20
	// answerWait is how long an answer waits for memory before it is given up. It is above
	// memory.MinAge, after which slow readers are closed, and below the time after which a
	// target cuts off an answer that is not read.
	answerWait = 1500 * time.Millisecond
	// answerRetryInterval is how often it tries.
	answerRetryInterval = 50 * time.Millisecond
)

var (
	errAnswerTooLarge = errors.Errorf("the answer is longer than %d bytes or does not end; check the target", maxAnswerBytes)
	errAnswerMemory   = errors.New("answers and requests in progress use the memory set aside for them; check for callers that read slowly and for answers that do not end")
)

// newAccount returns the account of memory of a process.
func newAccount(s *karpithaz.Settings) *memory.Account {
	return memory.NewAccount(memory.LimitsFor(s.MemoryBytes, s.MaxDescriptors))
}

// answerMeter takes the memory of an answer. It waits for memory for a while, since the
// target has run the request.
type answerMeter struct {
	lease *memory.Lease
	until time.Time
}

func (m answerMeter) Grow(n int64) error {
	for {
		now := time.Now()
		victims, err := m.lease.Grow(now, n)
		memory.CloseAll(victims)
		switch {
		case err == nil:
			return nil
		case now.After(m.until):
			return errAnswerMemory
		}
		time.Sleep(answerRetryInterval)
	}
}

func (m answerMeter) Shrink(n int64) { m.lease.Shrink(n) }

// readBody reads the whole body of a response and closes it. It fails if the body
// exceeds maxAnswerBytes or the account. The lease of the body must be released.
func readBody(resp *link.Response, account *memory.Account) ([]byte, *memory.Lease, error) {
	defer resp.Body.Close()
	lease := account.Lease()
	length := resp.Length
	if length > maxAnswerBytes {
		length = -1 // none of it follows if it answers HEAD
	}
	body, err := bodybuf.Read(resp.Body, length, maxAnswerBytes, answerMeter{lease, time.Now().Add(answerWait)})
	if errors.Is(err, bodybuf.ErrTooLarge) {
		err = errAnswerTooLarge
	}
	if err != nil {
		lease.Release()
		return nil, nil, err
	}
	return body, lease, nil
}

// readWhole is readBody for a response that is used at once.
func readWhole(resp *link.Response, account *memory.Account) ([]byte, error) {
	body, lease, err := readBody(resp, account)
	if err == nil {
		lease.Release()
	}
	return body, err
}
