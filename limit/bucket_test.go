package limit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var t0 = time.Unix(1e9, 0)

func TestBucketStartsEmptyAndFillsToCapacity(t *testing.T) {
	params := Params{Rate: 2, Capacity: 5}
	b := NewBucket(t0, params, 0)
	assert.Equal(t, b.Take(t0, params, 1), 0)
	assert.Equal(t, b.RetryAfter(2), 500*time.Millisecond)
	assert.Equal(t, b.Take(t0.Add(time.Second), params, 5), 2)
	assert.Equal(t, b.Take(t0.Add(time.Minute), params, 9), 5)
}

func TestReservedRoomIsNotRefilled(t *testing.T) {
	params := Params{Rate: 10, Capacity: 5}
	b := NewBucket(t0, params, 2)
	assert.Equal(t, b.Reserve(t0, params, 9), 3)
	b.Update(t0.Add(time.Hour), params)
	assert.Equal(t, b.Level(), 2.0)
	b.Deposit(t0.Add(time.Hour), params, 3, 2)
	assert.Equal(t, b.Level(), 4.0)
}

func TestTransferOutKeepsTheSmallerHalf(t *testing.T) {
	params := Params{Rate: 0, Capacity: 5}
	b := NewBucket(t0, params, 5)
	assert.Equal(t, b.TransferOut(t0, params, 9), 3)
	assert.Equal(t, b.TransferOut(t0, params, 9), 1)
	assert.Equal(t, b.TransferOut(t0, params, 9), 1)
	assert.Equal(t, b.TransferOut(t0, params, 9), 0)
}

func TestChangeOfParamsAddsNoTokens(t *testing.T) {
	slow, fast := Params{Rate: 1, Capacity: 2}, Params{Rate: 100, Capacity: 200}
	b := NewBucket(t0, slow, 2)
	b.Update(t0.Add(time.Second), fast)
	assert.Equal(t, b.Level(), 3.0)
	b.Update(t0.Add(2*time.Second), slow)
	assert.Equal(t, b.Level(), 2.0)
}

func TestTakeOverPreservesTheSumOfFractions(t *testing.T) {
	p := Policy{LeaseDuration: time.Second, GraceFraction: 0.25, GracePeriod: time.Hour}
	a, b := Owner{Host: "a"}, Owner{Host: "b"}
	rec, ok := Record{}.TakeOver(a, p, OwnerMayBeActive, 1)
	assert.Assert(t, ok)
	_, ok = rec.TakeOver(b, p, OwnerMayBeActive, 1)
	assert.Assert(t, !ok)
	rec, ok = rec.TakeOver(b, p, OwnerLeaseExpired, 1)
	assert.Assert(t, ok)
	assert.Equal(t, rec.Fraction, 0.75)
	assert.Equal(t, rec.Reservations[0].Fraction, 0.25)
	rec, _ = rec.TakeOver(a, p, OwnerStopped, 1)
	assert.Equal(t, rec.Fraction, 0.75)
	never := func(Reservation) bool { return false }
	assert.Equal(t, rec.Renew(time.Minute, never, 1).Fraction, 0.75)
	assert.Equal(t, rec.Renew(2*time.Hour, never, 1).Fraction, 1.0)
}
