package limit

import (
	"math"
	"time"
)

// Terms are what an owner may grant of one workspace: tokens per second and the
// most tokens at once.
type Terms struct {
	Rate float64
	Cap  float64
}

// Scale returns the terms multiplied by a fraction.
func (t Terms) Scale(fraction float64) Terms {
	return Terms{Rate: t.Rate * fraction, Cap: t.Cap * fraction}
}

// Bucket is one owner's token bucket of one workspace. Its zero value is not
// usable; see NewBucket.
type Bucket struct {
	updatedAt       time.Time
	level    float64
	reserved float64
	rate     float64
}

// NewBucket returns a bucket with a level that a former owner gave up, or 0.
func NewBucket(now time.Time, t Terms, level float64) Bucket {
	return Bucket{updatedAt: now, level: clamp(level, t.Cap), rate: t.Rate}
}

// Level returns the tokens at the last update.
func (b *Bucket) Level() float64 { return b.level }

// Update accrues tokens up to now. Over the time since the last update it uses
// the lower of the former and the present rate, so a change mints nothing.
func (b *Bucket) Update(now time.Time, t Terms) {
	elapsed := now.Sub(b.updatedAt).Seconds()
	if elapsed > 0 {
		b.level += elapsed * math.Min(b.rate, t.Rate)
		b.updatedAt = now
	}
	b.rate = t.Rate
	b.level = clamp(b.level, t.Cap-b.reserved)
}

// Take removes up to n whole tokens and returns how many it got.
func (b *Bucket) Take(now time.Time, t Terms, n int) int {
	b.Update(now, t)
	got := min(n, wholeTokens(b.level))
	b.level -= float64(got)
	return got
}

// Give removes up to want tokens for another owner, at most the larger half of
// the whole tokens, so that the giver keeps serving its own callers.
func (b *Bucket) Give(now time.Time, t Terms, want int) int {
	b.Update(now, t)
	spare := (wholeTokens(b.level) + 1) / 2
	got := min(want, spare)
	b.level -= float64(got)
	return got
}

// Reserve sets room aside for up to want tokens of another owner and returns
// for how many. Release or Deposit must follow.
func (b *Bucket) Reserve(now time.Time, t Terms, want int) int {
	b.Update(now, t)
	room := wholeTokens(t.Cap - b.level - b.reserved)
	got := min(want, room)
	b.reserved += float64(got)
	return got
}

// Release ends a reservation whose tokens will not be accepted any more.
func (b *Bucket) Release(reserved int) {
	b.reserved = math.Max(0, b.reserved-float64(reserved))
}

// Deposit ends a reservation and adds the tokens received for it.
func (b *Bucket) Deposit(now time.Time, t Terms, reserved, got int) {
	b.Release(reserved)
	b.level += float64(min(got, reserved))
	b.Update(now, t)
}

// Wait returns the time until one whole token has accrued at the given rate,
// which may be that of the whole workspace.
func (b *Bucket) Wait(rate float64) time.Duration {
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

// maxRetryAfter bounds the advice on when to try again.
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
