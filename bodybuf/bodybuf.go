// Package bodybuf reads a body into one buffer whose memory is taken from an account
// before it is allocated.
//
// A buffer that is allocated when a length is announced costs memory for bytes that may
// never arrive, and one that doubles takes up to three times its content while it is
// copied. Here a body of known length gets its whole buffer after its first FirstBytes
// have arrived; one of unknown length doubles, and both the old and the new buffer are
// counted meanwhile. Close to the limit on its size it gets the limit at once: the
// last doublings would need more memory than that.
package bodybuf

import (
	"io"

	"github.com/pkg/errors"
)

// ErrTooLarge is returned for a body above the limit.
var ErrTooLarge = errors.New("the body is larger than the limit; send less")

const (
	// FirstBytes is the size of the first buffer of a body of known length: the usual
	// upload of 60 KB is read without a copy.
	FirstBytes = 64 << 10
	// firstUnknown is the size of the first buffer of a body of unknown length.
	firstUnknown = 4 << 10
	// doublingBytes is the size up to which a buffer doubles in any case, and lastStep is
	// how many times larger the last buffer above that may be. A buffer of a quarter of the
	// limit and the last one together take a quarter more than the limit, where the last
	// doubling would take half more.
	doublingBytes = 1 << 20
	lastStep      = 4
)

// Meter counts the memory of a body.
type Meter interface {
	// Grow takes n bytes, or returns an error if they are not available.
	Grow(n int64) error
	// Shrink returns n bytes.
	Shrink(n int64)
}

// Read reads r to its end. length is the announced length, or negative if it is not known;
// fewer bytes may follow. limit bounds the size. What the meter has taken for the result
// stays taken, also after an error.
func Read(r io.Reader, length, limit int, m Meter) ([]byte, error) {
	if length > limit {
		return nil, ErrTooLarge
	}
	known := length >= 0
	if known {
		limit = length
	}
	var buf []byte
	for {
		if len(buf) == limit {
			return buf, expectEnd(r)
		}
		if len(buf) == cap(buf) {
			var err error
			if buf, err = grow(buf, limit, known, m); err != nil {
				return nil, err
			}
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case err == io.EOF:
			return buf, nil
		case err != nil:
			return nil, err
		}
	}
}

// expectEnd checks that a body that has reached its limit ends.
func expectEnd(r io.Reader) error {
	var one [1]byte
	for {
		n, err := r.Read(one[:])
		switch {
		case n > 0:
			return ErrTooLarge
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
}

// grow returns a larger buffer with the same content.
func grow(buf []byte, limit int, known bool, m Meter) ([]byte, error) {
	next := nextCapacity(cap(buf), limit, known)
	if err := m.Grow(int64(next)); err != nil {
		return nil, err
	}
	larger := make([]byte, len(buf), next)
	copy(larger, buf)
	m.Shrink(int64(cap(buf)))
	return larger[:len(buf):next], nil
}

// nextCapacity returns the size of the buffer after one of the given size.
func nextCapacity(have, limit int, known bool) int {
	switch {
	case known && have == 0:
		return min(limit, FirstBytes)
	case known, have >= doublingBytes && have >= limit/lastStep:
		return limit
	}
	return min(limit, max(2*have, firstUnknown))
}
