package transfer

import (
	"context"
	"sync/atomic"
)

// Meter counts the bytes that a transfer has received. It is safe for concurrent use, and a
// nil Meter counts nothing.
type Meter struct {
	bytes atomic.Int64
	// parent, if any, counts them as well.
	parent *Meter
}

type meterKey struct{}

// WithMeter returns a context whose exchanges (package link) are counted by m.
func WithMeter(ctx context.Context, m *Meter) context.Context {
	return context.WithValue(ctx, meterKey{}, m)
}

// MeterOf returns the meter of a context, or nil.
func MeterOf(ctx context.Context) *Meter {
	m, _ := ctx.Value(meterKey{}).(*Meter)
	return m
}

// Add counts n bytes.
func (m *Meter) Add(n int) {
	for ; m != nil; m = m.parent {
		m.bytes.Add(int64(n))
	}
}

// Bytes returns the number of bytes received.
func (m *Meter) Bytes() int64 {
	if m == nil {
		return 0
	}
	return m.bytes.Load()
}
