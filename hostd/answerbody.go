package hostd

import (
	"bytes"
	"io"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/gooseberryshed/gooseberryshed/link"
)

const (
	// maxAnswerBytes is the maximum size of one answer.
	maxAnswerBytes = 16 << 20
	// answerMemoryShare is the share of the process's memory that answers may
	// use while they are being read. A target that sends without end reaches it
	// with a few requests.
	answerMemoryShare = 0.25
	// defaultAnswerMemory replaces answerMemoryShare if the platform sets no
	// memory limit.
	defaultAnswerMemory = 64 << 20
	// readStep is how much of an answer is read at a time.
	readStep = 16 << 10
)

var errAnswerTooLarge = errors.Errorf("the answer is longer than %d bytes or does not end; check the target", maxAnswerBytes)

// byteBudget bounds the bytes of all answers that are being read.
type byteBudget struct {
	limit int64
	used  atomic.Int64
}

// newAnswerBudget returns the budget of a process with the given memory limit in
// bytes, 0 for none.
func newAnswerBudget(memory int64) *byteBudget {
	if memory <= 0 {
		return &byteBudget{limit: defaultAnswerMemory}
	}
	return &byteBudget{limit: int64(answerMemoryShare * float64(memory))}
}

// take reserves n bytes. It returns false if the budget is exhausted.
func (b *byteBudget) take(n int64) bool {
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

func (b *byteBudget) release(n int64) { b.used.Add(-n) }

// readBody reads the whole body of a response and closes it. It fails if the body
// exceeds maxAnswerBytes or the budget.
func readBody(resp *link.Response, budget *byteBudget) ([]byte, error) {
	defer resp.Body.Close()
	var buf bytes.Buffer
	taken := int64(0)
	defer func() { budget.release(taken) }()
	for {
		n, err := io.CopyN(&buf, resp.Body, readStep)
		if !budget.take(n) {
			return nil, errors.Errorf("answers being read exceed %d bytes together; check the target for answers that do not end", budget.limit)
		}
		taken += n
		switch {
		case err == io.EOF:
			return buf.Bytes(), nil
		case err != nil:
			return nil, err
		case taken > maxAnswerBytes-readStep:
			return nil, errAnswerTooLarge
		}
	}
}
