package limit

import (
	"math"
	"time"
)

// Params are the parameters of an owner's bucket of one workspace: the fill
// rate in tokens per second and the capacity.
type Params struct {
	Rate     float64
	Capacity float64
}

// Scale returns the parameters multiplied by a fraction.
func (p Params) Scale(fraction float64) Params {
	return Params{Rate: p.Rate * fraction, Capacity: p.Capacity * fraction}
}

// Bucket is an owner's token bucket of one workspace. The zero value is not
// usable; see NewBucket.
type Bucket struct {
	updatedAt time.Time
	level     float64
	reserved  float64
	rate      float64
}

// NewBucket returns a bucket with the level handed over by a former owner, or
// 0.
func NewBucket(now time.Time, p Params, level float64) Bucket {
	return Bucket{updatedAt: now, level: clamp(level, p.Capacity), rate: p.Rate}
}

// Level returns the tokens at the last update.
func (b *Bucket) Level() float64 { return b.level }

// Update accrues tokens up to now. For the time since the last update it uses
// the lower of the previous and the new rate, so that a change of parameters
// adds no extra tokens.
func (b *Bucket) Update(now time.Time, p Params) {
	elapsed := now.Sub(b.updatedAt).Seconds()
	if elapsed > 0 {
		b.level += elapsed * math.Min(b.rate, p.Rate)
		b.updatedAt = now
	}
	b.rate = p.Rate
	b.level = clamp(b.level, p.Capacity-b.reserved)
}

// Take removes up to n whole tokens and returns the number removed.
func (b *Bucket) Take(now time.Time, p Params, n int) int {
	b.Update(now, p)
	got := min(n, wholeTokens(b.level))
	b.level -= float64(got)
	return got
}

// TransferOut removes up to want tokens for another owner, at most the larger
// half of the whole tokens, so that the sender can keep serving its own
// callers.
func (b *Bucket) TransferOut(now time.Time, p Params, want int) int {
	b.Update(now, p)
	spare := (wholeTokens(b.level) + 1) / 2
	got := min(want, spare)
	b.level -= float64(got)
	return got
}

// Reserve reserves room for up to want tokens from another owner and returns
// the number reserved. It must be followed by Release or Deposit.
func (b *Bucket) Reserve(now time.Time, p Params, want int) int {
	b.Update(now, p)
	room := wholeTokens(p.Capacity - b.level - b.reserved)
	got := min(want, room)
	b.reserved += float64(got)
	return got
}

// Release cancels a reservation whose tokens will not be accepted any more.
func (b *Bucket) Release(reserved int) {
	b.reserved = math.Max(0, b.reserved-float64(reserved))
}

// Deposit ends a reservation and adds the tokens received for it.
func (b *Bucket) Deposit(now time.Time, p Params, reserved, got int) {
	b.Release(reserved)
	b.level += float64(min(got, reserved))
	b.Update(now, p)
}

// RetryAfter returns the time until one whole token has accrued at the given
// rate, which may be the rate of the whole workspace.
func (b *Bucket) RetryAfter(rate float64) time.Duration {
	missing := 1 - b.level
	if missing <= 0 {
		return 0
	}
	if rate <= 0 {
		return maxRetryAfter
	}
	wait := time.Duration(missing / rate * float64(time.Second))
	return min(wait, maxRetryAfter)
}

// maxRetryAfter is the upper bound of RetryAfter.
const maxRetryAfter = time.Minute

// tokenEpsilon absorbs rounding when a level is compared with whole tokens.
const tokenEpsilon = 1e-9

func wholeTokens(level float64) int {
	if level <= 0 {
		return 0
	}
	return int(math.Floor(level + tokenEpsilon))
}

func clamp(level, limit float64) float64 {
	return math.Max(0, math.Min(level, limit))
}
