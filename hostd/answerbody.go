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
	// requestMemoryShare is the share of the process's memory that the bodies of
	// requests may use. While they arrive in chunks, their buffers take more than
	// twice as much.
	requestMemoryShare = 0.3
	// defaultRequestMemory replaces requestMemoryShare if the platform sets no memory
	// limit.
	defaultRequestMemory = 128 << 20
	// readStep is how much of an answer is read at a time.
	readStep = 16 << 10
)

var errAnswerTooLarge = errors.Errorf("the answer is longer than %d bytes or does not end; check the target", maxAnswerBytes)

// byteBudget bounds the bytes of all answers that are being read, or of all bodies of
// requests that are being read or handled.
type byteBudget struct {
	limit int64
	used  atomic.Int64
}

// newByteBudget returns a share of the memory limit of a process in bytes, or byDefault
// if it has none.
func newByteBudget(memory int64, share float64, byDefault int64) *byteBudget {
	if memory <= 0 {
		return &byteBudget{limit: byDefault}
	}
	return &byteBudget{limit: int64(share * float64(memory))}
}

// newAnswerBudget returns the budget of answers.
func newAnswerBudget(memory int64) *byteBudget {
	return newByteBudget(memory, answerMemoryShare, defaultAnswerMemory)
}

// newRequestBudget returns the budget of the bodies of requests.
func newRequestBudget(memory int64) *byteBudget {
	return newByteBudget(memory, requestMemoryShare, defaultRequestMemory)
}

// Take implements h1.Budget.
func (b *byteBudget) Take(n int64) bool {
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

// Release implements h1.Budget.
func (b *byteBudget) Release(n int64) { b.used.Add(-n) }

// readBody reads the whole body of a response and closes it. It fails if the body
// exceeds maxAnswerBytes or the budget.
func readBody(resp *link.Response, budget *byteBudget) ([]byte, error) {
	defer resp.Body.Close()
	var buf bytes.Buffer
	taken := int64(0)
	defer func() { budget.Release(taken) }()
	for {
		n, err := io.CopyN(&buf, resp.Body, readStep)
		if !budget.Take(n) {
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
