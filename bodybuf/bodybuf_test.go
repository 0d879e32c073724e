package bodybuf

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

type testMeter struct{ limit, used, peak int64 }

var errShort = errors.New("short")

func (m *testMeter) Grow(n int64) error {
	if m.used+n > m.limit {
		return errShort
	}
	m.used += n
	m.peak = max(m.peak, m.used)
	return nil
}

func (m *testMeter) Shrink(n int64) { m.used -= n }

// Guards against bodies that are cut or mixed, and against buffers that are larger than
// what was taken for them.
func TestReadReturnsTheWholeBody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 3<<20).Draw(t, "bytes")
		body := make([]byte, n)
		for i := range body {
			body[i] = byte(i * 7)
		}
		length := -1
		if rapid.Bool().Draw(t, "known") {
			length = n
		}
		limit := n + rapid.IntRange(0, 4<<20).Draw(t, "room")
		m := &testMeter{limit: 1 << 30}
		var r io.Reader = bytes.NewReader(body)
		if n < 10_000 {
			r = iotest.OneByteReader(r)
		}
		got, err := Read(r, length, limit, m)
		if err != nil || !bytes.Equal(got, body) {
			t.Fatalf("%d of %d bytes, error %v", len(got), n, err)
		}
		if m.used != int64(cap(got)) || cap(got) > limit {
			t.Fatalf("%d bytes taken for a buffer of %d, limit %d", m.used, cap(got), limit)
		}
	})
}

// Guards against a last doubling that takes more than the limit and a quarter.
func TestPeakOfTheLargestBody(t *testing.T) {
	const limit = 64 << 20
	for _, length := range []int{-1, limit} {
		m := &testMeter{limit: 1 << 40}
		_, err := Read(io.LimitReader(zeros{}, limit), length, limit, m)
		assert.NilError(t, err)
		assert.Assert(t, m.peak <= limit+limit/lastStep, "%d bytes at the peak, length %d", m.peak, length)
	}
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// Guards against an announced length that takes memory before bytes arrive.
func TestAnnouncedLengthTakesLittleAtFirst(t *testing.T) {
	m := &testMeter{limit: 1 << 30}
	_, err := Read(io.MultiReader(bytes.NewReader(make([]byte, 100)), iotest.ErrReader(io.ErrUnexpectedEOF)), 16<<20, 16<<20, m)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.Equal(t, m.peak, int64(FirstBytes))
}

func TestReadRefusesWhatIsTooLargeOrDoesNotFit(t *testing.T) {
	m := &testMeter{limit: 1 << 30}
	_, err := Read(zeros{}, -1, 1<<20, m)
	assert.ErrorIs(t, err, ErrTooLarge)
	_, err = Read(zeros{}, 2<<20, 1<<20, m)
	assert.ErrorIs(t, err, ErrTooLarge)
	_, err = Read(zeros{}, -1, 1<<20, &testMeter{limit: 100 << 10})
	assert.ErrorIs(t, err, errShort)
}
